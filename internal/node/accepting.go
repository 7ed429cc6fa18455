package node

import (
	"net"
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/truncation"
)

// accepting is a server with the connections that it accepts. The listener may be nil.
type accepting struct {
	listener net.Listener
	conns    *callerConns
	server   *http.Server
}

// newServer returns a server for requests that are passed on to upstreams, on connections with
// the timeouts of conns.
func (entry *entry) newServer(conns *callerConns, handler http.Handler, name string) *http.Server {
	return &http.Server{
		Handler: truncation.Handler(guard.Handler(conns.closeAfterResponse(handler))), ConnContext: truncation.ConnContext, ReadHeaderTimeout: maxServerTimeout, IdleTimeout: maxServerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: trackPhase, ErrorLog: entry.loggers.StandardLogger(name),
	}
}

// listenForOthers returns the listener for requests of other entry VMs, nil if there is no
// address for them.
func (entry *entry) listenForOthers() (net.Listener, error) {
	if entry.settings.HandoverAddress == "" {
		return nil, nil
	}
	return listen(entry.settings.HandoverAddress)
}

// serve accepts connections until the listener is closed. The error is not nil.
func (accepting *accepting) serve() error {
	return accepting.server.Serve(callerListener{accepting.listener, accepting.conns}) //nolint:wrapcheck // wrapped by the caller
}

// close accepts no further connections and closes those without a request.
func (accepting *accepting) close() {
	if accepting.listener != nil {
		accepting.listener.Close()
	}
	accepting.conns.closeUnused()
}

// drained waits until there are no connections and returns true, or false if the time ends
// before.
func (accepting *accepting) drained(end <-chan time.Time) bool {
	select {
	case <-accepting.conns.drained():
		return true
	case <-end:
		return false
	}
}
