package h1

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// ErrExhausted means that this VM's share of the connections to an upstream is in use.
var ErrExhausted = errors.New("no connection to the upstream is free")

// Key names the upstream of a connection: two upstreams may use one address in turn.
type Key struct {
	Upstream core.UpstreamID
	Born     int64
	Address  string
}

// host holds the connections to one upstream.
type host struct {
	idle []*Conn
	open int
}

// Pool keeps idle connections. Its zero value is ready to use.
type Pool struct {
	// lock is table 3 of the lock order.
	lock   sync.Mutex
	hosts  map[Key]*host
	closed bool
	opened uint64
}

// Get returns a connection to an upstream: an idle one, or a new one if fewer than limit
// are open. A request that may not be repeated does better on a fresh one where an idle
// connection might end; Get leaves out those near their end.
func (pool *Pool) Get(ctx context.Context, key Key, limit int) (*Conn, error) {
	for {
		conn, dialNew, err := pool.take(key, limit)
		if err != nil {
			return nil, err
		}
		if dialNew {
			break
		}
		if time.Now().Before(conn.idleUntil) && conn.quiet() {
			return conn, nil
		}
		pool.drop(key, conn)
	}
	conn, err := dial(ctx, key.Address)
	if err != nil {
		pool.drop(key, nil)
		return nil, err
	}
	return conn, nil
}

// take returns an idle connection, or true if a new one is to be dialled.
func (pool *Pool) take(key Key, limit int) (*Conn, bool, error) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if pool.hosts == nil {
		pool.hosts = make(map[Key]*host)
	}
	known := pool.hosts[key]
	if known == nil {
		known = &host{}
		pool.hosts[key] = known
	}
	if last := len(known.idle) - 1; last >= 0 {
		conn := known.idle[last]
		known.idle = known.idle[:last]
		return conn, false, nil
	}
	if limit > 0 && known.open >= limit {
		return nil, false, ErrExhausted
	}
	known.open++
	pool.opened++
	return nil, true, nil
}

// Put gives a connection back after an answer was read to its end.
func (pool *Pool) Put(key Key, conn *Conn) {
	if !conn.reusable() {
		pool.drop(key, conn)
		return
	}
	pool.lock.Lock()
	known := pool.hosts[key]
	if known == nil || pool.closed {
		pool.lock.Unlock()
		conn.Close()
		return
	}
	known.idle = append(known.idle, conn)
	pool.lock.Unlock()
}

// Drop closes a connection that cannot be used again.
func (pool *Pool) Drop(key Key, conn *Conn) { pool.drop(key, conn) }

func (pool *Pool) drop(key Key, conn *Conn) {
	if conn != nil {
		conn.Close()
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if known := pool.hosts[key]; known != nil {
		known.open--
		if known.open <= 0 && len(known.idle) == 0 {
			delete(pool.hosts, key)
		}
	}
}

// Trim closes the idle connections whose time has ended.
func (pool *Pool) Trim(now time.Time) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for key, known := range pool.hosts {
		kept := known.idle[:0]
		for _, conn := range known.idle {
			if now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
			known.open--
		}
		known.idle = kept
		if known.open <= 0 {
			delete(pool.hosts, key)
		}
	}
}

// Close closes every idle connection; those in use are closed when they come back.
func (pool *Pool) Close() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.closed = true
	for key, known := range pool.hosts {
		for _, conn := range known.idle {
			conn.Close()
		}
		delete(pool.hosts, key)
	}
}
