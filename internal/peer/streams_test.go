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

// ending is a socket whose reads fail, and which notes the state of a stream's reader when
// the multiplexer hears of it.
type ending struct {
	net.Conn
	once   sync.Once
	before func()
}

// Read calls before once, right before the multiplexer hears of the end of the socket.
func (ending *ending) Read(data []byte) (int, error) {
	count, err := ending.Conn.Read(data)
	if err != nil {
		ending.once.Do(ending.before)
	}
	return count, err
}

// TestStreamsEndFirst guards against readers that occupy a processor while a session ends:
// each must have returned, or be about to, before the session hears that its socket is gone.
func TestStreamsEndFirst(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	var open streams
	returned := make(chan struct{})
	conn := &ending{Conn: newBatchConn(near, &open)}
	conn.before = func() {
		select {
		case <-returned:
		case <-time.After(5 * time.Second):
			t.Error("the reader of a stream waits while the session ends")
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
			t.Error("the stream was read after its end")
		}
	}()
	far.Close()
	<-session.CloseChan()
}
