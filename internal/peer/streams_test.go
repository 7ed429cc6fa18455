package peer

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

// hookedConn is a connection that calls a function when a read fails, before the
// multiplexer receives the error.
type hookedConn struct {
	net.Conn
	once    sync.Once
	onError func()
}

// Read calls onError once, immediately before it returns the first error.
func (hookedConn *hookedConn) Read(data []byte) (int, error) {
	count, err := hookedConn.Conn.Read(data)
	if err != nil {
		hookedConn.once.Do(hookedConn.onError)
	}
	return count, err
}

// TestStreamReadsFailBeforeSessionEnd guards against stream readers that busy-loop while a
// session shuts down: every read must return before the session receives the read error
// of its socket.
func TestStreamReadsFailBeforeSessionEnd(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	var open streamSet
	returned := make(chan struct{})
	conn := &hookedConn{Conn: newBatchConn(near, &open)}
	conn.onError = func() {
		select {
		case <-returned:
		case <-time.After(5 * time.Second):
			t.Error("a stream read is still blocked while the session ends")
		}
	}
	session, err := yamux.Client(conn, sessionConfig())
	is.NoErr(err)
	stream, err := session.OpenStream()
	is.NoErr(err)
	open.add(stream)
	go func() {
		defer close(returned)
		if _, err := stream.Read(make([]byte, 1)); err == nil {
			t.Error("a read of the closed stream succeeded")
		}
	}()
	far.Close()
	<-session.CloseChan()
}
