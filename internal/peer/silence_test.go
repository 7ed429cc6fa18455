package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// stallingProxy forwards connections to a VM. It can stop forwarding in one direction
// without closing a connection.
type stallingProxy struct {
	target string
	// stalled stops the forwarding of data to the VM.
	stalled atomic.Bool
}

func (proxy *stallingProxy) listen(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.forward(t.Context(), conn)
		}
	}()
	return listener.Addr().String()
}

func (proxy *stallingProxy) forward(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	vm, err := net.Dial("tcp", proxy.target)
	if err != nil {
		return
	}
	defer vm.Close()
	go func() { _, _ = io.Copy(conn, vm) }()
	buffer := make([]byte, 4096)
	for {
		count, err := conn.Read(buffer)
		if proxy.stalled.Load() {
			<-ctx.Done() // forward neither data nor the end of the connection
			return
		}
		if _, writeErr := vm.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestOneWayPartition guards against calls that block forever on a link that loses all
// data in one direction, and against handlers that keep running after such a loss.
func TestOneWayPartition(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	handler := testHandler{arrived: make(chan struct{}), cancelled: make(chan struct{})}
	t.Cleanup(Serve(listener, identity("vm-1", "secret"), handler, discardLogger()))
	proxy := &stallingProxy{target: listener.Addr().String()}
	client, closeClient := NewClient(identity("vm-2", "secret"), map[core.VMID]string{"vm-1": proxy.listen(t)}, discardLogger())
	t.Cleanup(closeClient)
	_, err = client.Call(t.Context(), "vm-1", queryRequest())
	is.NoErr(err)

	forwarded := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), "vm-1", &wire.Request{Body: &wire.Request_Forward{Forward: &wire.Forward{}}})
		forwarded <- err
	}()
	<-handler.arrived // a call sent after the partition would never arrive and never be cancelled
	proxy.stalled.Store(true)
	start := time.Now()

	var unreachable *UnreachableError
	is.True(errors.As(<-forwarded, &unreachable))
	is.True(unreachable.Sent)                                             // its outcome is unknown
	is.True(time.Since(start) < 2*(pingInterval+pingTimeout))             // the ping detected the partition
	<-handler.cancelled                                                   // the accepting side detected it as well
	is.True(time.Since(start) < linkIdleTimeout+pingInterval+time.Second) // within the idle timeout

	_, err = client.Call(t.Context(), "vm-1", queryRequest())
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.Sent) // a new connection was dialled and does not open
	start = time.Now()
	_, err = client.Call(t.Context(), "vm-1", queryRequest())
	is.True(err != nil)
	is.True(time.Since(start) < dialTimeout/2) // calls to an unreachable peer fail without waiting

	proxy.stalled.Store(false)
	for err != nil {
		<-time.After(redialInterval)
		_, err = client.Call(t.Context(), "vm-1", queryRequest())
	}
}

// recordingConn is a connection that records the written data.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
	closed  bool
	// readsEnded is set by a read deadline in the past.
	readsEnded bool
}

// Write records the data.
func (recorder *recordingConn) Write(data []byte) (int, error) { return recorder.written.Write(data) }

// SetWriteDeadline does nothing.
func (recorder *recordingConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline records whether the deadline is in the past.
func (recorder *recordingConn) SetReadDeadline(at time.Time) error {
	recorder.readsEnded = !at.IsZero() && at.Before(time.Now())
	return nil
}

// Close records that the connection was closed.
func (recorder *recordingConn) Close() error {
	recorder.closed = true
	return nil
}

// TestBatchConn guards against data that batching loses, duplicates or reorders, and
// against writes before Close that are discarded.
func TestBatchConn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := &recordingConn{}
		conn := newBatchConn(recorder, &streamSet{})
		var want bytes.Buffer
		for _, data := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 64)).Draw(t, "writes") {
			want.Write(data)
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
		}
		if conn.Close() != nil {
			t.Fatal("Close returned an error")
		}
		<-conn.done // the socket is closed asynchronously, see TestCloseDoesNotWait
		if !recorder.closed {
			t.Fatal("the socket was not closed")
		}
		if !bytes.Equal(recorder.written.Bytes(), want.Bytes()) {
			t.Fatalf("recorded %d bytes, want %d, or their content differs", recorder.written.Len(), want.Len())
		}
		// A write after Close is discarded, and only Read reports the closed connection.
		if _, err := conn.Write([]byte{1}); err != nil || recorder.written.Len() != want.Len() {
			t.Fatalf("write after Close: error %v, %d bytes recorded, want %d", err, recorder.written.Len(), want.Len())
		}
		if !recorder.readsEnded {
			t.Fatal("reads do not fail after Close")
		}
	})
}
