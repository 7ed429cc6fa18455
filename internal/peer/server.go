package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Handler answers the requests of other VMs. Handle is called on a goroutine of
// the stream. The context ends when the peer closes the stream or the link is lost.
type Handler interface {
	Handle(ctx context.Context, from core.VMID, request *wire.Request, send func(*wire.Response) error)
}

// Serve accepts links until the listener is closed. It returns a function that
// closes the listener and every accepted link and waits for their handlers.
func Serve(listener net.Listener, self Identity, handler Handler, logger *log.Logger) func() {
	ctx, cancel := context.WithCancel(context.Background())
	server := &server{self: self, handler: handler, logger: logger, ctx: ctx}
	server.running.Go(func() { server.accept(listener) })
	return func() {
		cancel()
		listener.Close()
		server.closeAll()
		server.running.Wait()
	}
}

// linkSilence is the time without a ping after which an accepted link is closed and
// its work cancelled. Pings come every pingInterval, or after pingTimeout at worst.
const linkSilence = pingInterval + pingTimeout + time.Second

type server struct {
	self    Identity
	handler Handler
	logger  *log.Logger
	ctx     context.Context
	running sync.WaitGroup

	// mutex guards conns and is held for no other lock.
	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

func (server *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !server.track(conn) {
			conn.Close()
			return
		}
		server.running.Go(func() {
			defer server.forget(conn)
			server.serveLink(conn)
		})
	}
}

func (server *server) serveLink(conn net.Conn) {
	if server.self.TLS != nil {
		conn = tls.Server(conn, server.self.TLS)
	}
	from, err := acceptHandshake(conn, server.self)
	if err != nil {
		server.logger.Warn("Link refused.", "address", conn.RemoteAddr(), "error", err)
		return
	}
	var open streams
	batch := newBatchConn(conn, &open)
	defer batch.Close()
	session, err := yamux.Server(batch, sessionConfig())
	if err != nil {
		server.logger.Error("Link not opened.", "peer", from, "error", err)
		return
	}
	// A link on which no ping arrives is silent, and nobody hears its answers.
	silence := time.AfterFunc(linkSilence, func() { batch.Close() })
	defer silence.Stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		silence.Reset(linkSilence)
		open.add(stream)
		server.running.Go(func() {
			defer open.remove(stream)
			server.serveStream(from, stream)
		})
	}
}

func (server *server) serveStream(from core.VMID, stream *yamux.Stream) {
	defer stream.Close()
	var request wire.Request
	if err := readFrame(stream, &request); err != nil {
		server.logger.Debug("Request not read.", "peer", from, "error", err)
		return
	}
	send := func(response *wire.Response) error { return writeBounded(stream, response) }
	if ping := request.GetPing(); ping != nil {
		_ = send(&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Sequence: ping.Sequence}}})
		return
	}
	ctx, cancel := context.WithCancel(server.ctx)
	defer cancel()
	server.running.Go(func() {
		// A peer sends one request a stream; the end of its side cancels the work.
		_, _ = io.Copy(io.Discard, stream)
		cancel()
	})
	server.handler.Handle(ctx, from, &request, send)
}

func (server *server) track(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.ctx.Err() != nil {
		return false
	}
	if server.conns == nil {
		server.conns = make(map[net.Conn]struct{})
	}
	server.conns[conn] = struct{}{}
	return true
}

func (server *server) forget(conn net.Conn) {
	conn.Close()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.conns, conn)
}

func (server *server) closeAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		conn.Close()
	}
}

// Fail answers a request that could not be handled.
func Fail(send func(*wire.Response) error, err error) error {
	failure := &wire.Failure{Message: err.Error()}
	if err := send(&wire.Response{Body: &wire.Response_Failure{Failure: failure}}); err != nil {
		return errors.Wrap(err, "send failure")
	}
	return nil
}
