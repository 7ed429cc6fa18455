package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// probeTimeout bounds the look on a fresh connection whether a process is alive.
	probeTimeout = time.Second
	// failuresToEject is the number of failures in a row after which an upstream
	// gets no new work although it announces itself.
	failuresToEject = 2
	ejectionBase    = time.Second
	ejectionMax     = 16 * time.Second
	// crashEjection is the lease of announcements: after it, a process that is gone
	// gets no new work anyway.
	crashEjection = 3 * time.Second
)

// health keeps the failures of upstreams by their address. The zero value is ready
// to use.
type health struct {
	// mutex guards entries and is held for no other lock.
	mutex   sync.Mutex
	entries map[string]*addressHealth
}

type addressHealth struct {
	failures int
	until    time.Time
}

func (health *health) succeeded(address string) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	delete(health.entries, address)
}

// failed counts a failure. Each one beyond the limit doubles the time for which the
// address is ejected.
func (health *health) failed(address string, crashed bool, now time.Time) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	if health.entries == nil {
		health.entries = make(map[string]*addressHealth)
	}
	entry, ok := health.entries[address]
	if !ok {
		entry = &addressHealth{}
		health.entries[address] = entry
	}
	if crashed {
		entry.until = now.Add(crashEjection)
	}
	if now.Before(entry.until) {
		return // calls sent before the ejection count once
	}
	entry.failures++
	if beyond := entry.failures - failuresToEject; beyond >= 0 {
		entry.until = now.Add(min(ejectionMax, ejectionBase<<min(beyond, 4)))
	}
}

func (health *health) ejected(address string, now time.Time) bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	entry, ok := health.entries[address]
	return ok && now.Before(entry.until)
}

// Ejected reports whether an upstream failed so often in a row that it should get no
// new work for now. After that time one failure is enough to eject it again.
func (client *Client) Ejected(address string) bool {
	return client.health.ejected(address, time.Now())
}

// observe counts the result of a call for the health of its upstream. A failure also
// closes the unused connections, since all of them may have gone silent.
func (client *Client) observe(ctx context.Context, address string, failure *CallError) {
	switch {
	case failure == nil || !failure.Lost:
		client.health.succeeded(address)
	case ctx.Err() == nil:
		client.health.failed(address, failure.Crashed, time.Now())
		client.shared.CloseIdleConnections()
	}
}

// crashed looks on a fresh connection whether the process at the address is gone. A
// process that does not answer in time may only be cut off and counts as alive.
func (client *Client) crashed(ctx context.Context, address string, kind core.GroupKind, incarnation core.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if kind != core.EngineGroup {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return false
	}
	response, err := client.single.Do(request)
	if err != nil {
		return closedByPeer(err)
	}
	defer response.Body.Close()
	var status struct{ Incarnation core.Incarnation }
	if json.NewDecoder(io.LimitReader(response.Body, maxOrderAnswer)).Decode(&status) != nil {
		return false
	}
	return incarnation != "" && status.Incarnation != incarnation
}

// closedByPeer reports whether a connection was refused or closed, in contrast to one
// that gave no answer in time.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
