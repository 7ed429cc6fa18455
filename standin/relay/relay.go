// Package relay is a TCP relay between named endpoints that simulates network
// faults. It can block traffic in one or both directions, as a network partition
// does, and can permanently silence existing connections, without a FIN or RST,
// while new ones work.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Route forwards connections that are accepted at Listen to Target.
type Route struct {
	From   Endpoint
	To     Endpoint
	Listen string
	// Target may be empty while it is not known; accepted connections wait for it.
	Target string
	// DelayMicros is the delay in microseconds before each forwarded chunk of at
	// most bufferSize bytes, in both directions.
	DelayMicros int64
}

const (
	bufferSize  = 32 << 10
	dialTimeout = 2 * time.Second
	// targetPollInterval is the interval at which a connection checks whether the
	// target of its route is known.
	targetPollInterval = 50 * time.Millisecond
)

// Relay forwards connections along its routes. It is safe for concurrent use.
type Relay struct {
	ctx       context.Context
	partition *partition
	// mu guards the maps below. The lock of the partition is not taken while it is
	// held.
	mu          sync.Mutex
	routes      map[Direction]*Route
	connections map[*connection]struct{}
}

// connection is one relayed connection: client was accepted, server was dialled. server is
// set while the lock of the relay is held.
// silent is closed to stop all traffic, closed when both ends are closed.
type connection struct {
	from, to  Endpoint
	client    net.Conn
	server    net.Conn
	silent    chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// New returns a relay without routes that stops when the context ends.
func New(ctx context.Context) *Relay {
	return &Relay{ctx: ctx, partition: newPartition(), routes: make(map[Direction]*Route), connections: make(map[*connection]struct{})}
}

// Add opens a route, or changes the target and the delay of an open route between
// the same endpoints. It returns the address on which the route listens, which is
// a free loopback port if Listen is empty, or an error if it cannot listen.
func (relay *Relay) Add(route Route) (string, error) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	key := Direction{route.From, route.To}
	if old, ok := relay.routes[key]; ok {
		old.Target, old.DelayMicros = route.Target, route.DelayMicros
		return old.Listen, nil
	}
	if route.Listen == "" {
		route.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", route.Listen)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	route.Listen = listener.Addr().String()
	relay.routes[key] = &route
	context.AfterFunc(relay.ctx, func() { listener.Close() })
	go relay.accept(listener, key)
	return route.Listen, nil
}

// Cut blocks the traffic of the directions until Heal. It is forwarded then.
func (relay *Relay) Cut(directions []Direction) {
	relay.partition.update(func(cut map[Direction]bool) {
		for _, direction := range directions {
			cut[direction] = true
		}
	})
}

// Heal unblocks the directions, or all directions if none are given. Silenced
// connections stay silent.
func (relay *Relay) Heal(directions []Direction) {
	relay.partition.update(func(cut map[Direction]bool) {
		if len(directions) == 0 {
			clear(cut)
		}
		for _, direction := range directions {
			delete(cut, direction)
		}
	})
}

// Silence permanently stops the traffic of the open connections between the
// endpoints, whichever of them opened the connection, and returns the number of
// connections that were not silent before.
func (relay *Relay) Silence(directions []Direction) int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	count := 0
	for connection := range relay.connections {
		for _, direction := range directions {
			if connection.matches(direction) && !isClosed(connection.silent) {
				close(connection.silent)
				count++
			}
		}
	}
	return count
}

// Reset resets both sides of the open connections between the endpoints, whichever of them
// opened the connection, and returns their number. Data in transit is lost.
func (relay *Relay) Reset(directions []Direction) int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	count := 0
	for connection := range relay.connections {
		for _, direction := range directions {
			if connection.matches(direction) && !isClosed(connection.closed) {
				connection.reset()
				count++
			}
		}
	}
	return count
}

func (connection *connection) matches(direction Direction) bool {
	matches := func(name, end Endpoint) bool { return name == anyEndpoint || name == end }
	return matches(direction.From, connection.from) && matches(direction.To, connection.to) || matches(direction.From, connection.to) && matches(direction.To, connection.from)
}

func (relay *Relay) accept(listener net.Listener, key Direction) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		connection := &connection{from: key.From, to: key.To, client: client, silent: make(chan struct{}), closed: make(chan struct{})}
		go relay.serve(connection, key)
	}
}

// serve dials the target and forwards both directions. It dials only once the
// direction to the target is open, because the first packet of a connection is
// lost in a partition.
func (relay *Relay) serve(connection *connection, key Direction) {
	relay.mu.Lock()
	relay.connections[connection] = struct{}{}
	relay.mu.Unlock()
	defer func() {
		connection.close()
		relay.mu.Lock()
		delete(relay.connections, connection)
		relay.mu.Unlock()
	}()
	if !relay.waitOpen(connection, Direction{connection.from, connection.to}) {
		return
	}
	target := relay.waitTarget(connection, key)
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	relay.mu.Lock()
	connection.server = server
	relay.mu.Unlock()
	var forwarders sync.WaitGroup
	forwarders.Go(func() {
		relay.forward(connection, Direction{connection.from, connection.to}, connection.client, server)
	})
	forwarders.Go(func() {
		relay.forward(connection, Direction{connection.to, connection.from}, server, connection.client)
	})
	forwarders.Wait()
	server.Close()
}

func (relay *Relay) waitTarget(connection *connection, key Direction) string {
	ticker := time.NewTicker(targetPollInterval)
	defer ticker.Stop()
	for {
		relay.mu.Lock()
		target := relay.routes[key].Target
		relay.mu.Unlock()
		if target != "" {
			return target
		}
		select {
		case <-relay.ctx.Done():
			return ""
		case <-connection.closed:
			return ""
		case <-ticker.C:
		}
	}
}

// forward copies data in one direction until one side closes. The end of the
// stream is held back like data while the connection is silent or cut.
func (relay *Relay) forward(connection *connection, direction Direction, source, sink net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		if !relay.waitOpen(connection, direction) {
			return
		}
		if count > 0 {
			relay.waitDelay(connection)
			if _, err := sink.Write(buffer[:count]); err != nil {
				connection.reset()
				return
			}
		}
		if err != nil {
			connection.halfClose(sink, err)
			return
		}
	}
}

func (relay *Relay) waitDelay(connection *connection) {
	relay.mu.Lock()
	delay := relay.routes[Direction{connection.from, connection.to}].DelayMicros
	relay.mu.Unlock()
	if delay > 0 {
		<-time.After(time.Duration(delay) * time.Microsecond)
	}
}

// waitOpen waits until the direction is open and then returns true. It returns
// false if the connection is closed or the relay stops; for a silent connection it
// returns only then.
func (relay *Relay) waitOpen(connection *connection, direction Direction) bool {
	for {
		open, changed := relay.partition.isOpen(direction)
		if isClosed(connection.silent) {
			open, changed = false, nil
		}
		if open {
			return true
		}
		select {
		case <-relay.ctx.Done():
			return false
		case <-connection.closed:
			return false
		case <-changed:
		}
	}
}

// halfClose forwards the end of one direction by closing the write side of sink.
// After an error other than errEndOfStream, such as a reset, it resets both sides.
func (connection *connection) halfClose(sink net.Conn, err error) {
	tcpSink, ok := sink.(*net.TCPConn)
	if ok && errors.Is(err, errEndOfStream) && tcpSink.CloseWrite() == nil {
		return
	}
	connection.reset()
}

// reset closes both sides so that each sees a reset instead of the end of the stream.
func (connection *connection) reset() {
	for _, side := range []net.Conn{connection.client, connection.server} {
		if side, ok := side.(*net.TCPConn); ok {
			_ = side.SetLinger(0)
		}
	}
	connection.close()
}

func (connection *connection) close() {
	connection.closeOnce.Do(func() {
		close(connection.closed)
		connection.client.Close()
		if connection.server != nil {
			connection.server.Close()
		}
	})
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
