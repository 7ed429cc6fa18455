package telemetry

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Serve serves the metrics over HTTP on address and returns a function that stops the
// server. The function serve runs the server on a listener, within limits for its clients. If
// Serve cannot listen on address, it logs a warning and the VM runs without serving metrics. An
// empty address disables the server.
func Serve(address string, serve func(*http.Server, net.Listener) error, logger *log.Logger) func() {
	if address == "" {
		return func() {}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("Metrics are not served.", "address", address, "error", err)
		return func() {}
	}
	server := &http.Server{Handler: &Page{}}
	go func() {
		if err := serve(server, listener); err != http.ErrServerClosed { //nolint:errorlint // Serve returns it unwrapped
			logger.Warn("Metrics are no longer served.", "error", err)
		}
	}()
	return func() { server.Close() }
}

// pageAge is the time for which a rendered page of metrics is used again. It bounds the number of
// pages that are in memory for clients that read slowly; scrapes are seconds apart.
const pageAge = 100 * time.Millisecond

// Page serves the metrics. The zero value is ready to use.
type Page struct {
	// lock is a leaf lock: no other lock of the product is acquired while it is held. It guards
	// the fields below.
	lock     sync.Mutex
	rendered time.Time
	content  []byte
}

// ServeHTTP writes the metrics.
func (page *Page) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write(page.render())
}

// render returns the page, which must not be changed.
func (page *Page) render() []byte {
	page.lock.Lock()
	defer page.lock.Unlock()
	if time.Since(page.rendered) > pageAge {
		var content bytes.Buffer
		metrics.WritePrometheus(&content, true)
		page.content, page.rendered = content.Bytes(), time.Now()
	}
	return page.content
}

// RegisterGauge registers a gauge whose value read returns whenever the metrics are
// requested. A later call with the same name has no effect.
func RegisterGauge(name string, read func() float64) {
	metrics.GetOrCreateGauge(name, read)
}
