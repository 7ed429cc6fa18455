package h1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSilentUpstream guards against a sound upstream whose connection is closed since its machine
// was silent for a second, and against one that has gone for good and whose connection stays.
func TestSilentUpstream(t *testing.T) {
	const answered = 3500 * time.Millisecond
	cases := []struct {
		name string
		// The machine of the upstream ignores all segments from the one time until the other
		// one, after it has received the request or, if before is set, before that.
		from, until time.Duration
		before      bool
		survives    bool
	}{
		{"the request is not acknowledged for 0.9 s", 0, 900 * time.Millisecond, true, true},
		{"the request is not acknowledged for 1.3 s", 0, 1300 * time.Millisecond, true, true},
		{"the first probe is lost in a silence of 0.4 s", 800 * time.Millisecond, 1200 * time.Millisecond, false, true},
		{"the first probe is lost in a silence of 1 s", 500 * time.Millisecond, 1500 * time.Millisecond, false, true},
		{"the request is never acknowledged", 0, time.Hour, true, false},
		{"no probe is answered", 0, time.Hour, false, false},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				if conn, err := listener.Accept(); err == nil {
					accepted <- conn.(*net.TCPConn)
				}
			}()
			var pool Pool
			defer pool.Close()
			conn, err := pool.Get(t.Context(), Key{Address: listener.Addr().String()}, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			upstream := <-accepted
			defer upstream.Close()
			if entry.before {
				ignoreInput(t, upstream, true)
			}
			sent := time.Now()
			if _, err := conn.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil); err != nil {
				t.Fatal(err)
			}
			go serveSilently(t, upstream, sent, entry.from, entry.until, answered)
			response, err := conn.ReadResponse(http.MethodGet)
			if err == nil {
				response.Body.Close()
			}
			if survives := err == nil; survives != entry.survives {
				t.Errorf("after %v: %v", time.Since(sent), err)
			}
			if !entry.survives && time.Since(sent) > answered {
				t.Errorf("the connection was closed only after %v", time.Since(sent))
			}
		})
	}
}

// serveSilently ignores all segments for a time and sends the response at the time answered.
func serveSilently(t *testing.T, upstream *net.TCPConn, sent time.Time, from, until, answered time.Duration) {
	wait := func(at time.Duration) bool {
		select {
		case <-time.After(time.Until(sent.Add(at))):
			return true
		case <-t.Context().Done():
			return false
		}
	}
	if !wait(from) {
		return
	}
	ignoreInput(t, upstream, true)
	if !wait(until) {
		return
	}
	ignoreInput(t, upstream, false)
	if request, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if wait(answered) {
		_, _ = fmt.Fprint(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// ignoreInput makes the socket drop each segment that arrives, as if it had been lost on the way,
// or ends that.
func ignoreInput(t *testing.T, conn *net.TCPConn, ignore bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	err = raw.Control(func(fd uintptr) {
		if ignore {
			err = unix.SetsockoptSockFprog(int(fd), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		} else {
			err = unix.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	})
	if err != nil {
		t.Error(err)
	}
}
