package h1

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// ErrExhausted is returned by Get if all connections to an upstream that the limit, this VM's
// share of the connections, allows are in use.
var ErrExhausted = errors.New("no connection to the upstream is free")

// Key identifies the upstream of a connection. The address is not enough, because a later
// upstream may get the address of an earlier one.
type Key struct {
	Upstream core.UpstreamID
	Born     int64
	Address  string
}

// upstreamConns holds the idle connections to one upstream and the number of all open ones.
type upstreamConns struct {
	idle []*Conn
	open int
}

// Pool holds idle connections to upstreams for reuse. The zero value is ready to use.
type Pool struct {
	// Memory limits the bodies of responses that are held at the same time.
	Memory Memory

	// lock is table 3 of the lock order.
	lock      sync.Mutex
	upstreams map[Key]*upstreamConns
	closed    bool
	dialled   uint64
}

// ErrNoIdle is returned by GetIdle if no connection to the upstream is idle.
var ErrNoIdle = errors.New("no connection to the upstream is idle")

// Get returns a connection to an upstream: an idle one, or a new one if fewer than limit
// are open. It returns ErrExhausted at the limit; a limit of 0 means none. It closes and
// skips idle connections that the upstream has closed or may soon close, because a request
// that fails on such a connection may not be safe to send again.
func (pool *Pool) Get(ctx context.Context, key Key, limit int) (*Conn, error) {
	conn, err := pool.takeIdle(key, limit, true)
	if err != nil || conn != nil {
		return conn, err
	}
	return pool.dialCounted(ctx, key)
}

// GetIdle returns an idle connection to an upstream like Get. It returns ErrNoIdle if there is
// none.
func (pool *Pool) GetIdle(key Key) (*Conn, error) { return pool.takeIdle(key, 0, false) }

// takeIdle returns an idle connection that may be used. If there is none, it returns nil and
// counts a new connection, which must be dialled, or ErrNoIdle if dialNew is not set.
func (pool *Pool) takeIdle(key Key, limit int, dialNew bool) (*Conn, error) {
	for {
		conn, err := pool.acquire(key, limit, dialNew)
		if err != nil || conn == nil {
			return nil, err
		}
		if time.Now().Before(conn.idleUntil) && conn.noInput() {
			return conn, nil
		}
		pool.drop(key, conn)
	}
}

// Dial returns a new connection to an upstream, which counts as open.
func (pool *Pool) Dial(ctx context.Context, key Key) (*Conn, error) {
	pool.lock.Lock()
	pool.countNew(key)
	pool.lock.Unlock()
	return pool.dialCounted(ctx, key)
}

// dialCounted opens a connection that countNew has counted.
func (pool *Pool) dialCounted(ctx context.Context, key Key) (*Conn, error) {
	conn, err := dial(ctx, key.Address)
	if err != nil {
		pool.drop(key, nil)
		return nil, err
	}
	return conn, nil
}

// countNew counts a new connection to an upstream. The caller holds the lock.
func (pool *Pool) countNew(key Key) {
	conns := pool.conns(key)
	conns.open++
	pool.dialled++
}

// conns returns the connections to an upstream. The caller holds the lock.
func (pool *Pool) conns(key Key) *upstreamConns {
	if pool.upstreams == nil {
		pool.upstreams = make(map[Key]*upstreamConns)
	}
	conns := pool.upstreams[key]
	if conns == nil {
		conns = &upstreamConns{}
		pool.upstreams[key] = conns
	}
	return conns
}

// acquire removes an idle connection from the pool and returns it. If there is none, it
// counts a new connection and returns nil, and the caller must dial it, or it returns ErrNoIdle
// if dialNew is not set.
func (pool *Pool) acquire(key Key, limit int, dialNew bool) (*Conn, error) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	conns := pool.conns(key)
	if last := len(conns.idle) - 1; last >= 0 {
		conn := conns.idle[last]
		conns.idle = conns.idle[:last]
		return conn, nil
	}
	if !dialNew {
		if conns.open == 0 {
			delete(pool.upstreams, key)
		}
		return nil, ErrNoIdle
	}
	if limit > 0 && conns.open >= limit {
		return nil, ErrExhausted
	}
	pool.countNew(key)
	return nil, nil
}

// Put returns a connection to the pool after its response was read to the end. It closes
// a connection that cannot be reused.
func (pool *Pool) Put(key Key, conn *Conn) {
	if !conn.reusable() {
		pool.drop(key, conn)
		return
	}
	pool.lock.Lock()
	conns := pool.upstreams[key]
	if conns == nil || pool.closed {
		pool.lock.Unlock()
		conn.Close()
		return
	}
	conns.idle = append(conns.idle, conn)
	pool.lock.Unlock()
}

// Drop closes a connection that must not be reused.
func (pool *Pool) Drop(key Key, conn *Conn) { pool.drop(key, conn) }

// drop closes a connection, which may be nil if dialling failed, and no longer counts it.
func (pool *Pool) drop(key Key, conn *Conn) {
	if conn != nil {
		conn.Close()
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if conns := pool.upstreams[key]; conns != nil {
		conns.open--
		if conns.open <= 0 && len(conns.idle) == 0 {
			delete(pool.upstreams, key)
		}
	}
}

// CloseExpired closes the idle connections that may no longer be reused at the given time.
func (pool *Pool) CloseExpired(now time.Time) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for key, conns := range pool.upstreams {
		kept := conns.idle[:0]
		for _, conn := range conns.idle {
			if now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
			conns.open--
		}
		conns.idle = kept
		if conns.open <= 0 {
			delete(pool.upstreams, key)
		}
	}
}

// CloseIdle closes the idle connections to an upstream.
func (pool *Pool) CloseIdle(key Key) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	conns := pool.upstreams[key]
	if conns == nil {
		return
	}
	for _, conn := range conns.idle {
		conn.Close()
		conns.open--
	}
	conns.idle = nil
	if conns.open <= 0 {
		delete(pool.upstreams, key)
	}
}

// Close closes all idle connections. Connections in use are closed when they are returned
// with Put or Drop.
func (pool *Pool) Close() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.closed = true
	for key, conns := range pool.upstreams {
		for _, conn := range conns.idle {
			conn.Close()
		}
		delete(pool.upstreams, key)
	}
}
