package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// endless marks, in a scripted response, the text after it as repeated until the connection
// is closed.
const endless = "ENDLESS"

// maxWritten bounds the bytes that a case may take from an upstream: the largest body and
// the buffers of a connection.
const maxWritten = 16 << 20

// scriptedUpstream accepts connections and answers each request on them with the next
// response.
type scriptedUpstream struct {
	responses []string
	conns     atomic.Int32
	next      atomic.Int32
	// written is the number of bytes of responses that were written.
	written atomic.Int64
}

func (upstream *scriptedUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		upstream.conns.Add(1)
		go upstream.answer(conn)
	}
}

func (upstream *scriptedUpstream) answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := upstream.responses[int(upstream.next.Add(1)-1)%len(upstream.responses)]
		start, repeated, isEndless := strings.Cut(text, endless)
		if !upstream.write(conn, start) || !isEndless {
			continue
		}
		repeated = strings.Repeat(repeated, 1+4096/len(repeated))
		for upstream.write(conn, repeated) {
		}
		return
	}
}

func (upstream *scriptedUpstream) write(conn net.Conn, text string) bool {
	count, err := io.WriteString(conn, text)
	upstream.written.Add(int64(count))
	return err == nil
}

// TestScripts guards against responses that are read without a bound: each case lists the
// responses of an upstream, separated by lines of two dashes, and as many calls are made.
// It also guards against the reuse of a connection on which part of a response is unread.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runCase(t, data.Input)
		})
	})
}

// TestUnreadResponse guards against a connection that is used again although part of a
// response is unread: the next caller would read the rest as the response to its request.
func TestUnreadResponse(t *testing.T) {
	is := is.New(t)
	upstream := &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst half"}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go upstream.serve(listener)
	var pool Pool
	defer pool.Close()
	key := Key{Address: listener.Addr().String()}
	for range 2 {
		conn, err := pool.Get(t.Context(), key, 0)
		is.NoErr(err)
		_, err = conn.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
		is.NoErr(err)
		response, err := conn.ReadResponse(http.MethodGet) //nolint:bodyclose // the rest of the body stays unread
		is.NoErr(err)
		is.True(!conn.Reused())
		half := make([]byte, len("first half"))
		_, err = io.ReadFull(response.Body, half)
		is.NoErr(err)
		pool.Put(key, conn)
	}
}

func runCase(t *testing.T, input string) string {
	upstream := &scriptedUpstream{}
	for part := range strings.SplitSeq(input+"\n", "--\n") {
		part = strings.ReplaceAll(strings.TrimSuffix(part, "\n"), "\n", "\r\n")
		upstream.responses = append(upstream.responses, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(part))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go upstream.serve(listener)
	var pool Pool
	defer pool.Close()
	var out strings.Builder
	key := Key{Upstream: core.UpstreamID("u"), Address: listener.Addr().String()}
	for range upstream.responses {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h"}
		answer, err := pool.Call(ctx, key, request, nil)
		cancel()
		if err != nil {
			fmt.Fprintf(&out, "error: %s\n", strings.ReplaceAll(err.Error(), key.Address, "ADDRESS"))
			continue
		}
		fmt.Fprintf(&out, "%d %q\n", answer.Status, answer.Body)
	}
	fmt.Fprintf(&out, "connections: %d\n", upstream.conns.Load())
	if written := upstream.written.Load(); written > maxWritten {
		t.Errorf("%d bytes of responses were taken, want at most %d", written, maxWritten)
	}
	return out.String()
}
