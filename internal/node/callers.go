package node

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// defaultHeaderLimit and defaultIdleLimit apply until a route table states limits.
	defaultHeaderLimit = 5 * time.Second
	defaultIdleLimit   = time.Minute
	// longestLimit is what the server itself allows; callerConn shortens it.
	longestLimit = time.Hour
	// lateAnswerTimeout bounds the answer to a late head: the caller may not read either.
	lateAnswerTimeout = 100 * time.Millisecond
)

// lateAnswer tells a caller that the head of its request did not come in time.
const lateAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// callers are the connections of callers, under the operators' limits of time, which change
// with the route table. The zero value has no connections and the default limits.
type callers struct {
	header   atomic.Int64
	idle     atomic.Int64
	stopping atomic.Bool

	// lock is table 5 of the lock order.
	lock  sync.Mutex
	conns map[*callerConn]struct{}
}

func (callers *callers) setLimits(limits core.CallerLimits) {
	callers.header.Store(int64(limits.HeaderTimeout))
	callers.idle.Store(int64(limits.IdleTimeout))
}

// stop closes the connections that are idle after an answer, and lets each other one end
// with the answer that it waits for. net/http would also close those of which it has begun
// to read a head.
func (callers *callers) stop() {
	callers.stopping.Store(true)
	callers.lock.Lock()
	defer callers.lock.Unlock()
	for conn := range callers.conns {
		if conn.used.Load() {
			conn.endIdle()
		}
	}
}

// end closes the connections that never had a request. Their callers may have been about to
// send one when the VM was ordered to stop.
func (callers *callers) end() {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	for conn := range callers.conns {
		conn.endIdle()
	}
}

func (callers *callers) add(conn *callerConn) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	if callers.conns == nil {
		callers.conns = make(map[*callerConn]struct{})
	}
	callers.conns[conn] = struct{}{}
}

func (callers *callers) remove(conn *callerConn) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	delete(callers.conns, conn)
}

// closing makes each answer whose head is written after stop the last of its connection.
func (callers *callers) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(closingWriter{writer, callers}, request)
	})
}

// closingWriter writes the answers of a handler.
type closingWriter struct {
	http.ResponseWriter
	callers *callers
}

// WriteHeader writes the head of the answer.
func (writer closingWriter) WriteHeader(status int) {
	if writer.callers.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the server's writer.
func (writer closingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// headerLimit returns the time that the head of a request may take.
func (callers *callers) headerLimit() time.Duration {
	if limit := time.Duration(callers.header.Load()); limit > 0 {
		return limit
	}
	return defaultHeaderLimit
}

// idleLimit returns the time for which a connection may be idle.
func (callers *callers) idleLimit() time.Duration {
	if limit := time.Duration(callers.idle.Load()); limit > 0 {
		return limit
	}
	return defaultIdleLimit
}

// phase tells what a caller's connection is read for.
type phase int32

const (
	// idle is the time before the first byte of a request.
	idle phase = iota
	// head is the time from the first byte of a request to the end of its head.
	head
	// served is the time from the end of the head to the end of the answer.
	served
	// ended is the time after the decision to close an idle connection.
	ended
)

// callerListener accepts connections of callers under limits.
type callerListener struct {
	net.Listener
	callers *callers
}

// Accept returns the next connection.
func (listener callerListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at the error itself
	}
	caller := &callerConn{Conn: conn, callers: listener.callers}
	listener.callers.add(caller)
	return caller, nil
}

// callerConn is a connection of a caller. net/http has fixed limits; this one shortens the
// server's deadlines to the limits in force, and answers a head that comes too late.
type callerConn struct {
	net.Conn
	callers *callers
	phase   atomic.Int32
	// used is set with the first request.
	used atomic.Bool
}

// followPhase is the hook of the server for the states of a connection.
func followPhase(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		caller.used.Store(true)
		caller.phase.Store(int32(served))
	case http.StateIdle:
		caller.phase.Store(int32(idle))
		if caller.callers.stopping.Load() {
			caller.endIdle()
		}
	}
}

// endIdle closes the connection if no byte of a request was read since the last answer.
func (conn *callerConn) endIdle() {
	if conn.phase.CompareAndSwap(int32(idle), int32(ended)) {
		conn.Conn.Close()
	}
}

// Close closes the connection.
func (conn *callerConn) Close() error {
	conn.callers.remove(conn)
	return conn.Conn.Close() //nolint:wrapcheck // net/http looks at the error itself
}

// SetReadDeadline shortens the deadline while no request is served.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	var limit time.Duration
	switch phase(conn.phase.Load()) {
	case idle:
		limit = conn.callers.idleLimit()
	case head:
		limit = conn.callers.headerLimit()
	}
	if latest := time.Now().Add(limit); limit > 0 && !deadline.IsZero() && deadline.After(latest) {
		deadline = latest
	}
	return conn.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // net/http looks at the error itself
}

// Read gives a head its time from its first byte.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	switch {
	case phase(conn.phase.Load()) == ended:
		return 0, net.ErrClosed
	case count > 0 && conn.phase.CompareAndSwap(int32(idle), int32(head)):
		if err := conn.Conn.SetReadDeadline(time.Now().Add(conn.callers.headerLimit())); err != nil {
			return count, errors.Wrap(err, "limit the head of a request")
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && conn.phase.CompareAndSwap(int32(head), int32(served)):
		_ = conn.SetWriteDeadline(time.Now().Add(lateAnswerTimeout))
		_, _ = conn.Write([]byte(lateAnswer))
	}
	return count, err //nolint:wrapcheck // net/http looks at the error itself
}

// CloseWrite lets the server end its side first, so that a caller reads the last answer.
func (conn *callerConn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // net/http looks at the error itself
	}
	return nil
}
