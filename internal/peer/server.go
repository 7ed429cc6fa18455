package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Handler handles the requests of other VMs. Handle is called in a separate goroutine for
// each stream. Its context ends when the peer closes the stream, the link is lost or the
// server stops.
type Handler interface {
	Handle(ctx context.Context, from core.VMID, request *wire.Request, send func(*wire.Response) error)
}

// Serve starts to accept links on the listener. It returns a function that closes the
// listener and every accepted link and waits for the handlers to return.
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

// linkIdleTimeout is the time without a new stream after which an accepted link is closed
// and the requests on it are cancelled. A peer opens a ping stream every pingInterval, or
// at the latest pingTimeout after the previous one.
const linkIdleTimeout = pingInterval + pingTimeout + time.Second

type server struct {
	self    Identity
	handler Handler
	logger  *log.Logger
	ctx     context.Context
	running sync.WaitGroup

	// mutex guards conns. No other lock is acquired while it is held.
	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

func (server *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			server.logger.Warn("A link was not accepted.", "error", err)
			if !server.pause(acceptPause) {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		if !server.track(conn) {
			conn.Close()
			return
		}
		server.running.Go(func() {
			defer server.untrack(conn)
			server.serveLink(conn)
		})
	}
}

// acceptPause is the time until links are accepted again after a failure. Descriptors are free
// again when other connections have ended.
const acceptPause = 50 * time.Millisecond

// pause waits for a time. It returns false if the server stops before.
func (server *server) pause(length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-server.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// keeper is a connection that is not dropped for new ones once the other side is known to be a VM.
type keeper interface{ Keep() }

func (server *server) serveLink(conn net.Conn) {
	accepted := conn
	if server.self.TLS != nil {
		conn = tls.Server(conn, server.self.TLS)
	}
	from, err := acceptHandshake(conn, server.self)
	if err != nil {
		server.logger.Warn("Link refused.", "address", conn.RemoteAddr(), "error", err)
		return
	}
	if keeper, ok := accepted.(keeper); ok {
		keeper.Keep()
	}
	var open streamSet
	batch := newBatchConn(conn, &open)
	defer batch.Close()
	session, err := yamux.Server(batch, sessionConfig())
	if err != nil {
		server.logger.Error("Opening a link failed.", "peer", from, "error", err)
		return
	}
	// If no ping arrives, the peer is presumed unable to receive responses either.
	idleTimer := time.AfterFunc(linkIdleTimeout, func() { batch.Close() })
	defer idleTimer.Stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		idleTimer.Reset(linkIdleTimeout)
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
		server.logger.Debug("Reading a request failed.", "peer", from, "error", err)
		return
	}
	send := func(response *wire.Response) error { return writeWithTimeout(stream, response) }
	if ping := request.GetPing(); ping != nil {
		_ = send(&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Sequence: ping.Sequence}}})
		return
	}
	ctx, cancel := context.WithCancel(server.ctx)
	defer cancel()
	server.running.Go(func() {
		// A peer sends one request per stream. When it closes its side, the request is
		// cancelled.
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

func (server *server) untrack(conn net.Conn) {
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

// SendFailure sends a Failure response with the message of err. It returns an error if the
// response cannot be sent.
func SendFailure(send func(*wire.Response) error, err error) error {
	failure := &wire.Failure{Message: err.Error()}
	if err := send(&wire.Response{Body: &wire.Response_Failure{Failure: failure}}); err != nil {
		return errors.Wrap(err, "send failure")
	}
	return nil
}
