package vm

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/truncation"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/intake"
)

// maxHeaderBytes bounds the headers of a request. The default of net/http is 1 MiB, which many
// connections multiply.
const maxHeaderBytes = 64 << 10

// Addresses holds the addresses on which a VM listens, with the ports actually bound.
type Addresses struct {
	VM              core.VMID
	CallerAddress   string
	OperatorAddress string
	UpstreamAddress string
	PeerAddress     string
}

// listeners are the open listeners of a VM.
type listeners struct {
	caller, operator, upstream, peer net.Listener
}

// listen opens all listeners and returns a function that closes them. If one cannot be
// opened, it closes the others and returns the error.
func listen(settings settings.Settings) (listeners, func(), error) {
	var opened listeners
	var all []net.Listener
	closeAll := func() {
		for _, listener := range all {
			listener.Close()
		}
	}
	for _, entry := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"callers", settings.CallerAddress, &opened.caller},
		{"operators", settings.OperatorAddress, &opened.operator},
		{"upstreams", settings.UpstreamAddress, &opened.upstream},
		{"peers", settings.PeerAddress, &opened.peer},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			closeAll()
			return listeners{}, nil, errors.Wrap(err, "listen for "+entry.name)
		}
		all = append(all, listener)
		*entry.target = listener
	}
	return opened, closeAll, nil
}

func (opened listeners) addresses(vm core.VMID) Addresses {
	return Addresses{
		VM:              vm,
		CallerAddress:   opened.caller.Addr().String(),
		OperatorAddress: opened.operator.Addr().String(),
		UpstreamAddress: opened.upstream.Addr().String(),
		PeerAddress:     opened.peer.Addr().String(),
	}
}

// writeJSON writes the addresses as one line of JSON, so that a script that configures
// port 0 learns the bound ports.
func (addresses Addresses) writeJSON(out io.Writer) error {
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return errors.Wrap(err, "write listen addresses")
	}
	return nil
}

// port is how a port for HTTP is served.
type port struct {
	guard *guard.Guard
	class intake.Class
	// headTime and idleTime bound the time for a head and between two requests. Zero sets no
	// limit.
	headTime, idleTime time.Duration
	// certificates is nil for a port without TLS.
	certificates *tls.Config
}

// answerMargin is the part of the time for a drain in which the last responses are written, at
// most a quarter of that time.
const answerMargin = 500 * time.Millisecond

// serve serves HTTP requests on a listener. The returned shutdown function stops accepting
// connections and waits for the requests in flight, also those whose heads are read. Shortly
// before its context ends, the requests that still run end with the cause entry.ErrStopping, so
// that they are answered. What is left when it ends is closed, and an error is returned.
func (port port) serve(listener net.Listener, handler http.Handler) (shutdown func(context.Context) error) {
	certificates := port.certificates
	listener = port.guard.Listen(listener, port.class, certificates == nil)
	requests, endRequests := context.WithCancelCause(context.Background())
	server := &http.Server{
		Handler:     truncation.Handler(guard.Handler(port.guard.CloseAfterResponse(port.class, handler))),
		BaseContext: func(net.Listener) context.Context { return requests }, ConnContext: truncation.ConnContext, ConnState: guard.State,
		ReadHeaderTimeout: port.headTime, IdleTimeout: port.idleTime, MaxHeaderBytes: maxHeaderBytes, TLSConfig: certificates,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if certificates != nil {
			_ = server.ServeTLS(listener, "", "")
			return
		}
		_ = server.Serve(listener)
	}()
	return func(ctx context.Context) error {
		defer endRequests(nil)
		listener.Close()
		<-done
		ended := port.guard.Drain(port.class)
		if deadline, ok := ctx.Deadline(); ok {
			left := time.Until(deadline)
			timer := time.AfterFunc(left-min(answerMargin, left/4), func() { endRequests(entry.ErrStopping) })
			defer timer.Stop()
		}
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			server.Close()
			return errors.Wrap(context.Cause(ctx), "shut down")
		}
	}
}
