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

// valve forwards connections to a VM and can hold back the bytes of one direction
// without closing anything.
type valve struct {
	target string
	// hold keeps back what flows to the VM.
	hold atomic.Bool
}

func (valve *valve) listen(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go valve.forward(t.Context(), conn)
		}
	}()
	return listener.Addr().String()
}

func (valve *valve) forward(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	vm, err := net.Dial("tcp", valve.target)
	if err != nil {
		return
	}
	defer vm.Close()
	go func() { _, _ = io.Copy(conn, vm) }()
	buffer := make([]byte, 4096)
	for {
		count, err := conn.Read(buffer)
		if valve.hold.Load() {
			<-ctx.Done() // neither bytes nor the end of the connection pass
			return
		}
		if _, writeErr := vm.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestOneWayCut guards against calls that wait for ever on a link whose bytes are lost
// in one direction, and against work that goes on behind it.
func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	handler := answer{arrived: make(chan struct{}), cancelled: make(chan struct{})}
	t.Cleanup(Serve(listener, identity("vm-1", "secret"), handler, quiet()))
	valve := &valve{target: listener.Addr().String()}
	client, closeClient := NewClient(identity("vm-2", "secret"), map[core.VMID]string{"vm-1": valve.listen(t)}, quiet())
	t.Cleanup(closeClient)
	_, err = client.Call(t.Context(), "vm-1", query())
	is.NoErr(err)

	forwarded := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), "vm-1", &wire.Request{Body: &wire.Request_Forward{Forward: &wire.Forward{}}})
		forwarded <- err
	}()
	<-handler.arrived // a call that is sent after the cut never arrives, and is not cancelled
	valve.hold.Store(true)
	began := time.Now()

	var unreachable *UnreachableError
	is.True(errors.As(<-forwarded, &unreachable))
	is.True(unreachable.Sent)                                         // its outcome is not known
	is.True(time.Since(began) < 2*(pingInterval+pingTimeout))         // the ping noticed the silence
	<-handler.cancelled                                               // the owner noticed it as well
	is.True(time.Since(began) < linkSilence+pingInterval+time.Second) // and not later than it must

	_, err = client.Call(t.Context(), "vm-1", query())
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.Sent) // a fresh connection was tried and does not open
	began = time.Now()
	_, err = client.Call(t.Context(), "vm-1", query())
	is.True(err != nil)
	is.True(time.Since(began) < dialTimeout/2) // a peer that is gone costs no wait

	valve.hold.Store(false)
	for err != nil {
		<-time.After(redialInterval)
		_, err = client.Call(t.Context(), "vm-1", query())
	}
}

// recorder is a socket that keeps what was written.
type recorder struct {
	net.Conn
	written bytes.Buffer
	closed  bool
	// readsEnded is set once the read deadline has passed.
	readsEnded bool
}

// Write keeps the data.
func (recorder *recorder) Write(data []byte) (int, error) { return recorder.written.Write(data) }

// SetWriteDeadline does nothing.
func (recorder *recorder) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline notes a deadline in the past.
func (recorder *recorder) SetReadDeadline(at time.Time) error {
	recorder.readsEnded = !at.IsZero() && at.Before(time.Now())
	return nil
}

// Close notes the end.
func (recorder *recorder) Close() error {
	recorder.closed = true
	return nil
}

// TestBatchConn guards against bytes that are lost, doubled or reordered by batching,
// and against writes that are dropped at the end of a link.
func TestBatchConn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := &recorder{}
		conn := newBatchConn(recorder, &streams{})
		var want bytes.Buffer
		for _, data := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 64)).Draw(t, "writes") {
			want.Write(data)
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
		}
		if conn.Close() != nil {
			t.Fatal("not closed")
		}
		<-conn.done // the socket is closed beside Close, see TestCloseDoesNotWait
		if !recorder.closed {
			t.Fatal("the socket is open")
		}
		if !bytes.Equal(recorder.written.Bytes(), want.Bytes()) {
			t.Fatalf("wrote %d bytes of %d", recorder.written.Len(), want.Len())
		}
		// A write after the end is dropped: the reader shows the end.
		if _, err := conn.Write([]byte{1}); err != nil || recorder.written.Len() != want.Len() {
			t.Fatalf("write after close: %v, %d bytes of %d", err, recorder.written.Len(), want.Len())
		}
		if !recorder.readsEnded {
			t.Fatal("reads go on after close")
		}
	})
}
