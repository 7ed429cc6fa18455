package guard

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/policy/intake"
)

// The reasons for which clients are refused or dropped, as the metrics name them.
const (
	reasonConnections = "connections"
	reasonReplaced    = "replaced"
	reasonFields      = "head_fields"
	reasonHeads       = "heads"
	reasonStalled     = "stalled_response"
)

// turnedAway counts the clients that were refused or dropped.
var turnedAway = telemetry.NewCounterFamily("dandelionring_clients_turned_away_total", "class", "reason")

// Guard holds the limits of a process and the connections of its clients. The zero value has the
// default limits; Watch must run for responses that are not read to be ended.
type Guard struct {
	// Limits must not change after the first connection.
	Limits intake.Limits

	// heads is the memory that the heads of all requests take, in bytes.
	heads atomic.Int64
	// ticks counts the intervals of Watch. Clients are timed with it: reads and writes need no
	// clock, and the time in which the process stands still is not the clients'.
	ticks atomic.Int64

	// refused is the number of clients that were turned away since the last report.
	refused atomic.Int64
	// stopping holds for each class whether its connections close after their next response.
	stopping [intake.Classes]atomic.Bool

	// lock is a leaf lock: no other lock is acquired while it is held. It guards the fields below.
	lock  sync.Mutex
	table intake.Table
	conns map[*Conn]struct{}
	// empty holds for each class the channel that is closed once it has no connections, nil while
	// nobody waits for that.
	empty [intake.Classes]chan struct{}
}

// tick is the unit in which clients are timed. It is short against the times after which they
// are dropped.
const tick = 250 * time.Millisecond

// reportTicks is the number of ticks between two log lines about clients that were turned away.
const reportTicks = int64(10 * time.Second / tick)

// Watch starts to end the responses whose readers make no progress, and to log how many clients
// were turned away. It returns a function that stops that.
func (guard *Guard) Watch(logger *log.Logger) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	ticker := time.NewTicker(tick)
	go func() {
		defer close(done)
		for {
			select {
			case <-ticker.C:
				now := guard.ticks.Add(1)
				guard.sweep()
				if now%reportTicks == 0 {
					guard.report(logger)
				}
			case <-stop:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(stop)
		<-done
	}
}

// report logs the number of clients that were turned away since the last report, if there are any.
func (guard *Guard) report(logger *log.Logger) {
	if count := guard.refused.Swap(0); count > 0 {
		guard.lock.Lock()
		open := len(guard.conns)
		guard.lock.Unlock()
		logger.Warn("Clients were turned away.", "clients", count, "connections", open, "limit", guard.Limits.WithDefaults().Connections, "head_bytes", guard.heads.Load())
	}
}

// turnAway counts a client that is refused or dropped.
func (guard *Guard) turnAway(class intake.Class, reason string) {
	turnedAway.Inc(class.String(), reason)
	guard.refused.Add(1)
}

// sweep closes the connections whose response was not read for too long.
func (guard *Guard) sweep() {
	limit := guard.Limits.WithDefaults().Stall
	var stalled []*Conn
	guard.lock.Lock()
	for conn := range guard.conns {
		if guard.since(conn.writing.Load()) > limit {
			stalled = append(stalled, conn)
		}
	}
	guard.lock.Unlock()
	for _, conn := range stalled {
		guard.turnAway(conn.class, reasonStalled)
		conn.Conn.Close()
	}
}

// admit starts to count a connection. It returns false if there is no room for it.
func (guard *Guard) admit(conn *Conn) bool {
	guard.lock.Lock()
	guard.table.Limits = guard.Limits
	if guard.table.Open(conn.class) == intake.Accept {
		guard.open(conn)
		guard.lock.Unlock()
		return true
	}
	victim := guard.first()
	if victim != nil {
		guard.remove(victim)
		guard.open(conn)
	}
	guard.lock.Unlock()
	if victim == nil {
		guard.turnAway(conn.class, reasonConnections)
		return false
	}
	guard.turnAway(victim.class, reasonReplaced)
	victim.Conn.Close()
	return true
}

// first returns the connection that is dropped first, or nil if none may be. The caller holds the
// lock.
func (guard *Guard) first() *Conn {
	var first *Conn
	var most intake.Client
	for conn := range guard.conns {
		client := conn.client()
		if guard.table.Droppable(client) && (first == nil || intake.Before(client, most)) {
			first, most = conn, client
		}
	}
	return first
}

// open counts a connection. The caller holds the lock.
func (guard *Guard) open(conn *Conn) {
	if guard.conns == nil {
		guard.conns = make(map[*Conn]struct{})
	}
	guard.conns[conn] = struct{}{}
	guard.table.Opened(conn.class)
}

// remove stops counting a connection, once. The caller holds the lock.
func (guard *Guard) remove(conn *Conn) {
	if _, ok := guard.conns[conn]; ok {
		delete(guard.conns, conn)
		guard.table.Closed(conn.class)
		guard.noteEmpty(conn.class)
	}
}

// noteEmpty tells those that wait for the end of the connections of a class if there are none.
// The caller holds the lock.
func (guard *Guard) noteEmpty(class intake.Class) {
	if guard.table.Count(class) == 0 && guard.empty[class] != nil {
		close(guard.empty[class])
		guard.empty[class] = nil
	}
}

// Drain closes the connections of a class on which no request has begun, and makes the others
// close after their next response. It returns a channel that is closed once there are none. The
// listener must be closed before, and Drain must be called once. The shutdown of net/http would
// also close connections whose next head it has begun to read.
func (guard *Guard) Drain(class intake.Class) <-chan struct{} {
	guard.stopping[class].Store(true)
	guard.lock.Lock()
	defer guard.lock.Unlock()
	for conn := range guard.conns {
		if conn.class == class {
			conn.closeIdle()
		}
	}
	empty := make(chan struct{})
	guard.empty[class] = empty
	guard.noteEmpty(class)
	return empty
}

// CloseAfterResponse adds "Connection: close" to each response of a class whose head handler
// writes after Drain was called.
func (guard *Guard) CloseAfterResponse(class intake.Class, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(closingWriter{writer, &guard.stopping[class]}, request)
	})
}

// closingWriter adds "Connection: close" to responses while the process stops.
type closingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
}

// WriteHeader writes the head of the response.
func (writer closingWriter) WriteHeader(status int) {
	if writer.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the head.
func (writer closingWriter) Write(content []byte) (int, error) {
	if writer.stopping.Load() {
		writer.Header().Set("Connection", "close") // has no effect after the head
	}
	return writer.ResponseWriter.Write(content) //nolint:wrapcheck // the handler's own writer
}

// Unwrap returns the server's writer for http.ResponseController.
func (writer closingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// present returns a mark of the present time, which is not zero.
func (guard *Guard) present() int64 { return guard.ticks.Load() + 1 }

// since returns the time since a mark, or zero if the mark is zero.
func (guard *Guard) since(mark int64) time.Duration {
	if mark == 0 {
		return 0
	}
	return time.Duration(guard.present()-mark) * tick
}

// Register adds gauges of the connections and of the memory for heads to the metrics.
func (guard *Guard) Register() {
	for class := range intake.Classes {
		telemetry.RegisterGauge(`dandelionring_client_connections{class="`+class.String()+`"}`, func() float64 {
			guard.lock.Lock()
			defer guard.lock.Unlock()
			return float64(guard.table.Count(class))
		})
	}
	telemetry.RegisterGauge("dandelionring_client_head_bytes", func() float64 { return float64(guard.heads.Load()) })
}

// Listen returns a listener whose connections are counted as those of a class. They speak HTTP
// without TLS if plain is set, and their heads are counted then.
func (guard *Guard) Listen(listener net.Listener, class intake.Class, plain bool) net.Listener {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	guard.table.Serve(class)
	return &guardedListener{listener, guard, class, plain}
}

type guardedListener struct {
	net.Listener
	guard *Guard
	class intake.Class
	plain bool
}

// refusal is sent to a client for whose connection there is no room. It fits into the empty
// buffer of a new connection, so that its write does not wait.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// sendBuffer is the size in bytes of the kernel's buffer for what a client has not read yet, of
// which the kernel uses up to twice as much. Otherwise it grows to 4 MB. At a round-trip time of
// 6 ms it allows 170 Mbit/s.
const sendBuffer = 128 << 10

// Accept returns the next connection for which there is room.
func (listener *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // servers look at the error itself
		}
		if sender, ok := accepted.(interface{ SetWriteBuffer(int) error }); ok && listener.class != intake.Peers {
			_ = sender.SetWriteBuffer(sendBuffer)
		}
		conn := &Conn{Conn: accepted, guard: listener.guard, class: listener.class, plain: listener.plain}
		if listener.guard.admit(conn) {
			return conn, nil
		}
		if listener.plain {
			_, _ = accepted.Write([]byte(refusal))
		}
		accepted.Close()
	}
}

// bodyTime bounds the time for a body that no handler reads.
const bodyTime = 5 * time.Second

// Handler returns a handler with a limit of the time in which a body must arrive that next does
// not read. A handler that reads bodies sets its own limit, see Body.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTime))
		}
		next.ServeHTTP(writer, request)
	})
}

// Serve serves the connections of a class on a listener, without TLS, until the listener is
// closed. The error is that of the server.
func (guard *Guard) Serve(server *http.Server, listener net.Listener, class intake.Class) error {
	server.Handler, server.ConnState = Handler(server.Handler), State
	return server.Serve(guard.Listen(listener, class, true)) //nolint:wrapcheck // the caller tests for http.ErrServerClosed
}

// ServePlatform serves probes or metrics on a listener. Their requests have no bodies and their
// answers are short, so that few seconds are enough for both.
func (guard *Guard) ServePlatform(server *http.Server, listener net.Listener) error {
	server.ReadHeaderTimeout, server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = platformTime, platformTime, platformTime, platformIdle
	server.MaxHeaderBytes = platformHead
	return guard.Serve(server, listener, intake.Platform)
}

const (
	// platformTime bounds each of the head, the whole request and the response of a probe.
	platformTime = 5 * time.Second
	// platformIdle is above the interval of probes, and of the collection of metrics.
	platformIdle = time.Minute
	platformHead = 16 << 10
)

// State is the ConnState hook of servers. It frees the head of a request after its response.
func State(conn net.Conn, state http.ConnState) {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if guarded, ok := conn.(*Conn); ok {
		guarded.state(state)
	}
}
