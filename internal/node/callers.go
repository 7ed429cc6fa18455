package node

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until a route table sets limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// maxServerTimeout is the fixed timeout of the HTTP server. callerConn shortens it to
	// the limits in force.
	maxServerTimeout = time.Hour
	// timeoutResponseDeadline bounds the write of timeoutResponse, because a caller that
	// sends its header too slowly may not read the response either.
	timeoutResponseDeadline = 100 * time.Millisecond
)

// timeoutResponse is sent to a caller whose request header was not received in time.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// callerConns tracks the connections of callers and the timeouts that apply to them. The
// operators set the timeouts, and they change with the route table. The zero value has no
// connections and the default timeouts.
type callerConns struct {
	headerNanos atomic.Int64
	idleNanos   atomic.Int64
	stopping    atomic.Bool

	// lock has position 5 in the lock order. It guards conns and empty.
	lock  sync.Mutex
	conns map[*callerConn]struct{}
	// empty is closed once there are no connections; it is nil while nobody waits for that.
	empty chan struct{}
}

// setLimits applies the timeouts of limits to later deadlines. A timeout of zero selects the
// default.
func (callers *callerConns) setLimits(limits core.CallerLimits) {
	callers.headerNanos.Store(int64(limits.HeaderTimeout))
	callers.idleNanos.Store(int64(limits.IdleTimeout))
}

// closeIdle closes the connections that are idle after a response. Each other connection
// closes after its next response. The shutdown of net/http would also close connections
// whose next request header it has started to read.
func (callers *callerConns) closeIdle() {
	callers.stopping.Store(true)
	callers.lock.Lock()
	defer callers.lock.Unlock()
	for conn := range callers.conns {
		if conn.used.Load() {
			conn.closeIfIdle()
		}
	}
}

// closeUnused closes the connections that are in phaseIdle. After closeIdle these are the
// ones without any request. It is called some time later, because their callers may have
// been about to send a request when the VM began to stop.
func (callers *callerConns) closeUnused() {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	for conn := range callers.conns {
		conn.closeIfIdle()
	}
}

// add starts to track an accepted connection.
func (callers *callerConns) add(conn *callerConn) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	if callers.conns == nil {
		callers.conns = make(map[*callerConn]struct{})
	}
	callers.conns[conn] = struct{}{}
}

func (callers *callerConns) remove(conn *callerConn) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	delete(callers.conns, conn)
	if len(callers.conns) == 0 && callers.empty != nil {
		close(callers.empty)
		callers.empty = nil
	}
}

// drained returns a channel that is closed once there are no connections. It must not be called
// again before that.
func (callers *callerConns) drained() <-chan struct{} {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	empty := make(chan struct{})
	if len(callers.conns) == 0 {
		close(empty)
	} else {
		callers.empty = empty
	}
	return empty
}

// closeAfterResponse adds "Connection: close" to each response whose header handler writes
// after closeIdle was called.
func (callers *callerConns) closeAfterResponse(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(closingWriter{writer, callers}, request)
	})
}

// closingWriter adds "Connection: close" to responses while the VM stops.
type closingWriter struct {
	http.ResponseWriter
	conns *callerConns
}

// WriteHeader writes the header of the response.
func (writer closingWriter) WriteHeader(status int) {
	if writer.conns.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's writer for http.ResponseController.
func (writer closingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// headerTimeout returns the maximum time to receive the header of a request.
func (callers *callerConns) headerTimeout() time.Duration {
	if timeout := time.Duration(callers.headerNanos.Load()); timeout > 0 {
		return timeout
	}
	return defaultHeaderTimeout
}

// idleTimeout returns the maximum time that a connection may be idle.
func (callers *callerConns) idleTimeout() time.Duration {
	if timeout := time.Duration(callers.idleNanos.Load()); timeout > 0 {
		return timeout
	}
	return defaultIdleTimeout
}

// phase is the state of a caller's connection between and during requests.
type phase int32

const (
	// phaseIdle is the time before the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader is the time from the first byte of a request to the end of its header.
	phaseHeader
	// phaseServing is the time from the end of the header to the end of the response.
	phaseServing
	// phaseClosed begins with the decision to close an idle connection.
	phaseClosed
)

// callerListener accepts connections of callers and applies their timeouts.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection as a *callerConn.
func (listener callerListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at the error itself
	}
	caller := &callerConn{Conn: conn, conns: listener.conns}
	listener.conns.add(caller)
	return caller, nil
}

// callerConn is a connection of a caller. The timeouts of net/http are fixed, so it shortens
// the server's deadlines to the timeouts in force. It sends timeoutResponse if a header is
// not received in time.
type callerConn struct {
	net.Conn
	conns *callerConns
	phase atomic.Int32
	// used is true after the server has read a first request header.
	used atomic.Bool
}

// trackPhase is the ConnState hook of the server. It updates the phase of the connection.
func trackPhase(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	guard.State(caller.Conn, state)
	switch state {
	case http.StateActive:
		caller.used.Store(true)
		caller.phase.Store(int32(phaseServing))
	case http.StateIdle:
		caller.phase.Store(int32(phaseIdle))
		if caller.conns.stopping.Load() {
			caller.closeIfIdle()
		}
	}
}

// closeIfIdle closes the connection if no byte of a request was read since the last
// response.
func (conn *callerConn) closeIfIdle() {
	if conn.phase.CompareAndSwap(int32(phaseIdle), int32(phaseClosed)) {
		conn.Conn.Close()
	}
}

// Close closes the connection and stops tracking it.
func (conn *callerConn) Close() error {
	conn.conns.remove(conn)
	return conn.Conn.Close() //nolint:wrapcheck // net/http looks at the error itself
}

// SetReadDeadline sets the read deadline. In phaseIdle and phaseHeader it shortens the
// deadline to the timeout in force.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	var timeout time.Duration
	switch phase(conn.phase.Load()) {
	case phaseIdle:
		timeout = conn.conns.idleTimeout()
	case phaseHeader:
		timeout = conn.conns.headerTimeout()
	}
	if latest := time.Now().Add(timeout); timeout > 0 && !deadline.IsZero() && deadline.After(latest) {
		deadline = latest
	}
	return conn.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // net/http looks at the error itself
}

// Read reads from the connection. The timeout of a header starts with its first byte.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	switch {
	case phase(conn.phase.Load()) == phaseClosed:
		return 0, net.ErrClosed
	case count > 0 && conn.phase.CompareAndSwap(int32(phaseIdle), int32(phaseHeader)):
		if err := conn.Conn.SetReadDeadline(time.Now().Add(conn.conns.headerTimeout())); err != nil {
			return count, errors.Wrap(err, "set the deadline of a request header")
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && conn.phase.CompareAndSwap(int32(phaseHeader), int32(phaseServing)):
		_ = conn.SetWriteDeadline(time.Now().Add(timeoutResponseDeadline))
		_, _ = conn.Write([]byte(timeoutResponse))
	}
	return count, err //nolint:wrapcheck // net/http looks at the error itself
}

// SetLinger sets what the end of the connection looks like, see truncation.Handler.
func (conn *callerConn) SetLinger(seconds int) error {
	if lingerer, ok := conn.Conn.(interface{ SetLinger(int) error }); ok {
		return lingerer.SetLinger(seconds) //nolint:wrapcheck // the caller ignores it
	}
	return nil
}

// CloseWrite closes the write side of the connection. net/http calls it before Close, so
// that the caller can read the last response.
func (conn *callerConn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // net/http looks at the error itself
	}
	return nil
}
