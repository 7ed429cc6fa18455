package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/policy/intake"
)

// clientTimeout bounds the reads of the tests, far above what they wait for.
const clientTimeout = 10 * time.Second

// serve starts a server for callers and returns its address.
func serve(t *testing.T, guard *Guard, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = guard.Serve(server, listener, intake.Callers) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// client is a connection to a server of a test.
type client struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	return &client{t, conn, bufio.NewReader(conn)}
}

func (client *client) send(text string) {
	client.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		client.Fatal(err)
	}
}

// status returns the status of the next response, and 0 if the connection ends before.
func (client *client) status() int {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// ended reports whether the server has closed the connection, within the timeout.
func (client *client) ended() bool {
	_, err := client.reader.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(clientTimeout); !holds(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold")
		}
	}
}

// pass lets time pass for the guard.
func (guard *Guard) pass(length time.Duration) { guard.ticks.Add(int64(length / tick)) }

// open returns the number of counted connections of callers.
func (guard *Guard) count() int {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	return guard.table.Count(intake.Callers)
}

const ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func respond(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }

// TestHeads guards against heads with very many short fields: of one request, and of many
// requests whose heads are held at the same time, also those that are not complete. A head is
// counted until its response has ended.
func TestHeads(t *testing.T) {
	is := is.New(t)
	const lines = 20
	head := strings.TrimSuffix(ordinary, "\r\n") + strings.Repeat("a:\r\n", lines)
	cost := intake.HeadCost(len(head), lines+2)
	guard := &Guard{Limits: intake.Limits{HeadFields: lines + 3, Heads: 2*cost + cost/2}}
	address := serve(t, guard, respond)

	many := connect(t, address)
	many.send(head + "a:\r\nb:\r\n")
	is.Equal(many.status(), http.StatusRequestHeaderFieldsTooLarge)
	for range 5 { // one after the other they have room
		single := connect(t, address)
		for range 2 {
			single.send(head + "\r\n")
			is.Equal(single.status(), http.StatusOK)
			waitUntil(t, func() bool { return guard.heads.Load() == 0 })
		}
		single.Close()
	}
	waitUntil(t, func() bool { return guard.count() == 0 })
	is.Equal(guard.heads.Load(), int64(0))

	first, second := connect(t, address), connect(t, address)
	first.send(head)
	second.send(head)
	waitUntil(t, func() bool { return guard.heads.Load() == 2*int64(cost) })
	third := connect(t, address)
	third.send(head)
	is.Equal(third.status(), http.StatusServiceUnavailable)
	first.send("\r\n")
	is.Equal(first.status(), http.StatusOK)
	second.send("\r\n")
	is.Equal(second.status(), http.StatusOK)
	waitUntil(t, func() bool { return guard.heads.Load() == 0 })
}

// TestConnections guards against connections beyond the limit, and against dropping a client
// that waits for its response in place of one that makes no progress: 4 callers fill the
// connections, of which one waits for a response, one sends a body, one a head, and one is idle.
func TestConnections(t *testing.T) {
	is := is.New(t)
	guard := &Guard{Limits: intake.Limits{Connections: 4}}
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	address := serve(t, guard, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			begun <- struct{}{}
			<-release
		}
		_, _ = io.Copy(io.Discard, request.Body)
	})
	waiting := connect(t, address)
	waiting.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	sending := connect(t, address)
	sending.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 4000))
	heading := connect(t, address)
	heading.send("GET / HT")
	idle := connect(t, address)
	idle.send(ordinary)
	is.Equal(idle.status(), http.StatusOK)
	waitUntil(t, func() bool {
		guard.lock.Lock()
		defer guard.lock.Unlock()
		blocked := 0
		for conn := range guard.conns {
			if conn.reading.Load() != 0 {
				blocked++
			}
		}
		return blocked == 3
	})

	refused := connect(t, address)
	is.Equal(refused.status(), http.StatusServiceUnavailable) // all others have just made progress
	guard.pass(2 * time.Second)
	for i, dropped := range []*client{sending, heading, idle} { // the one that holds most first
		newer := connect(t, address)
		newer.send(ordinary)
		is.Equal(newer.status(), http.StatusOK)
		is.True(dropped.ended())
		is.Equal(guard.count(), 4)
		if i < 2 { // makes room for the next drop to be among the old ones
			guard.lock.Lock()
			for conn := range guard.conns {
				if conn.RemoteAddr().String() == newer.LocalAddr().String() {
					conn.Keep()
				}
			}
			guard.lock.Unlock()
		}
	}
	close(release)
	is.Equal(waiting.status(), http.StatusOK)
}

// TestReaders guards against responses to clients that do not read, which stay in memory, and
// against the end of a stream that only pauses between its events.
func TestReaders(t *testing.T) {
	is := is.New(t)
	guard := &Guard{}
	next := make(chan struct{})
	address := serve(t, guard, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/large" {
			_, _ = writer.Write(make([]byte, 64<<20))
			return
		}
		for range 3 {
			_, _ = io.WriteString(writer, "data: a\n\n")
			_ = http.NewResponseController(writer).Flush()
			<-next
		}
	})
	stream := connect(t, address)
	stream.send(ordinary)
	stopped := connect(t, address)
	stopped.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	waitUntil(t, func() bool { return guard.count() == 2 })
	guard.pass(intake.DefaultStall / 2)
	guard.sweep()
	is.Equal(guard.count(), 2)
	waitUntil(t, func() bool { // the kernel may still have taken a part of the response before
		guard.pass(intake.DefaultStall + tick)
		guard.sweep()
		return guard.count() == 1
	})
	for range 3 {
		next <- struct{}{}
	}
	is.Equal(stream.status(), http.StatusOK)
}

// TestBody guards against a body that arrives in single bytes, which would hold its memory until
// the timeout of its route, and against refusing one that makes progress.
func TestBody(t *testing.T) {
	is := is.New(t)
	guard := &Guard{Limits: intake.Limits{Stall: 200 * time.Millisecond}}
	result := make(chan string, 1)
	address := serve(t, guard, func(writer http.ResponseWriter, request *http.Request) {
		body, free := guard.Body(writer, request, time.Time{})
		defer free()
		content, err := io.ReadAll(body)
		result <- fmt.Sprint(len(content), errors.Is(err, os.ErrDeadlineExceeded))
	})
	steady := connect(t, address)
	steady.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10240\r\n\r\n")
	for range 10 {
		<-time.After(50 * time.Millisecond)
		steady.send(strings.Repeat("x", 1024))
	}
	is.Equal(<-result, "10240 false")
	slow := connect(t, address)
	slow.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10240\r\n\r\n")
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for sent := 0; ; sent++ {
		select {
		case ended := <-result:
			is.True(strings.HasSuffix(ended, " true"))
			is.True(sent < 100)
			return
		case <-ticker.C:
			_, _ = io.WriteString(slow, "x")
		}
	}
}

// BenchmarkRead measures what the guard adds to a read and a write.
func BenchmarkRead(b *testing.B) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	conn := &Conn{Conn: nothing{server}, guard: &Guard{}, plain: true}
	conn.phase.Store(phaseServing)
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = conn.Read(buffer)
		_, _ = conn.Write(buffer)
	}
}

// nothing is a connection that reads and writes without effect.
type nothing struct{ net.Conn }

func (nothing) Read(buffer []byte) (int, error)  { return len(buffer), nil }
func (nothing) Write(buffer []byte) (int, error) { return len(buffer), nil }

// BenchmarkAdmit measures the choice of the connection that is dropped among 1,308 idle ones, as
// many as an entry VM of 184 MB may have.
func BenchmarkAdmit(b *testing.B) {
	guard := &Guard{Limits: intake.Limits{Connections: 1308}}
	for {
		conn := &Conn{Conn: nothing{}, guard: guard, class: intake.Callers}
		conn.reading.Store(1)
		if !guard.admit(conn) {
			break
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if guard.admit(&Conn{guard: guard, class: intake.Callers}) {
			b.Fatal("admitted")
		}
	}
}
