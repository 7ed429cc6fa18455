package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultIdleLimit applies until a route table states a limit.
const defaultIdleLimit = time.Minute

// idleConns closes callers' connections that have been idle for longer than the operators
// allow. net/http has a fixed limit; this one changes with the route table. The zero value
// is ready to use.
type idleConns struct {
	// lock is table 5 of the lock order.
	lock  sync.Mutex
	limit time.Duration
	since map[net.Conn]time.Time
}

func (idle *idleConns) setLimit(limit time.Duration) {
	idle.lock.Lock()
	defer idle.lock.Unlock()
	idle.limit = limit
}

// follow notes when a connection becomes idle.
func (idle *idleConns) follow(conn net.Conn, state http.ConnState) {
	idle.lock.Lock()
	defer idle.lock.Unlock()
	if state != http.StateIdle {
		delete(idle.since, conn)
		return
	}
	if idle.since == nil {
		idle.since = make(map[net.Conn]time.Time)
	}
	idle.since[conn] = time.Now()
}

// trim closes the connections whose time has ended.
func (idle *idleConns) trim(now time.Time) {
	idle.lock.Lock()
	limit := idle.limit
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	var ended []net.Conn
	for conn, since := range idle.since {
		if now.Sub(since) >= limit {
			ended = append(ended, conn)
			delete(idle.since, conn)
		}
	}
	idle.lock.Unlock()
	for _, conn := range ended {
		conn.Close()
	}
}
