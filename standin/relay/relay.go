// Package relay is a TCP relay between named ends. It can hold back bytes in one
// or both directions, as a partition does, and can make existing connections
// silent for ever while new ones work, without any FIN or RST.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Route is a listening address that leads to Target.
type Route struct {
	From   End
	To     End
	Listen string
	// Target may be empty until it is known; connections wait for it.
	Target string
	// DelayMicros is added to each part of a stream, in both directions.
	DelayMicros int64
}

const (
	bufferSize  = 32 << 10
	dialTimeout = 2 * time.Second
	// targetRetry is the time between two looks at a route without a target.
	targetRetry = 50 * time.Millisecond
)

// Relay forwards connections. New returns one without routes.
type Relay struct {
	ctx  context.Context
	gate *gate
	// mu guards the maps below. The lock of the gate is not taken within.
	mu     sync.Mutex
	routes map[Direction]*Route
	links  map[*link]struct{}
}

// link is one relayed connection.
type link struct {
	from, to  End
	client    net.Conn
	server    net.Conn
	silent    chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// New returns a relay that stops with the context.
func New(ctx context.Context) *Relay {
	return &Relay{ctx: ctx, gate: newGate(), routes: make(map[Direction]*Route), links: make(map[*link]struct{})}
}

// Add opens a route, or changes the target and the delay of an open one. It
// returns the address on which the route listens.
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

// Cut holds back the bytes of the directions until Heal.
func (relay *Relay) Cut(ways []Direction) {
	relay.gate.update(func(cut map[Direction]bool) {
		for _, way := range ways {
			cut[way] = true
		}
	})
}

// Heal opens the directions, or all if there are none. Silent connections stay
// silent.
func (relay *Relay) Heal(ways []Direction) {
	relay.gate.update(func(cut map[Direction]bool) {
		if len(ways) == 0 {
			clear(cut)
		}
		for _, way := range ways {
			delete(cut, way)
		}
	})
}

// Silence makes the open connections between the ends silent for ever, whichever
// end opened them, and returns their number.
func (relay *Relay) Silence(ways []Direction) int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	count := 0
	for link := range relay.links {
		for _, way := range ways {
			if link.matches(way) && !isClosed(link.silent) {
				close(link.silent)
				count++
			}
		}
	}
	return count
}

func (link *link) matches(way Direction) bool {
	is := func(name, end End) bool { return name == anyEnd || name == end }
	return is(way.From, link.from) && is(way.To, link.to) || is(way.From, link.to) && is(way.To, link.from)
}

func (relay *Relay) accept(listener net.Listener, key Direction) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		link := &link{from: key.From, to: key.To, client: client, silent: make(chan struct{}), closed: make(chan struct{})}
		go relay.serve(link, key)
	}
}

// serve connects to the target once the way there is open, as the first packet
// of a connection is lost in a partition, and forwards both directions.
func (relay *Relay) serve(link *link, key Direction) {
	relay.mu.Lock()
	relay.links[link] = struct{}{}
	relay.mu.Unlock()
	defer func() {
		link.close()
		relay.mu.Lock()
		delete(relay.links, link)
		relay.mu.Unlock()
	}()
	if !relay.pass(link, Direction{link.from, link.to}) {
		return
	}
	target := relay.target(link, key)
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	link.server = server
	var pumps sync.WaitGroup
	pumps.Go(func() { relay.pump(link, Direction{link.from, link.to}, link.client, server) })
	pumps.Go(func() { relay.pump(link, Direction{link.to, link.from}, server, link.client) })
	pumps.Wait()
	server.Close()
}

func (relay *Relay) target(link *link, key Direction) string {
	ticker := time.NewTicker(targetRetry)
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
		case <-link.closed:
			return ""
		case <-ticker.C:
		}
	}
}

// pump forwards bytes in one direction until an end closes. The end of a silent
// or cut connection is held back like its bytes.
func (relay *Relay) pump(link *link, way Direction, source, sink net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		if !relay.pass(link, way) {
			return
		}
		if count > 0 {
			relay.delay(link)
			if _, err := sink.Write(buffer[:count]); err != nil {
				link.close()
				return
			}
		}
		if err != nil {
			link.halfClose(sink, err)
			return
		}
	}
}

func (relay *Relay) delay(link *link) {
	relay.mu.Lock()
	delay := relay.routes[Direction{link.from, link.to}].DelayMicros
	relay.mu.Unlock()
	if delay > 0 {
		<-time.After(time.Duration(delay) * time.Microsecond)
	}
}

// pass waits until the direction is open. It returns false if the link is closed
// or the relay ends. It never returns for a silent link before that.
func (relay *Relay) pass(link *link, way Direction) bool {
	for {
		open, changed := relay.gate.state(way)
		if isClosed(link.silent) {
			open, changed = false, nil
		}
		if open {
			return true
		}
		select {
		case <-relay.ctx.Done():
			return false
		case <-link.closed:
			return false
		case <-changed:
		}
	}
}

// halfClose passes the end of one direction on. An error other than the regular
// end closes both ends.
func (link *link) halfClose(sink net.Conn, err error) {
	half, ok := sink.(*net.TCPConn)
	if ok && errors.Is(err, errEnd) && half.CloseWrite() == nil {
		return
	}
	link.close()
}

func (link *link) close() {
	link.closeOnce.Do(func() {
		close(link.closed)
		link.client.Close()
		if link.server != nil {
			link.server.Close()
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
