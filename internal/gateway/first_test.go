package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestFirstRoutes guards against a VM that refuses requests in the first second after a
// restart of the whole deployment, before it has a route table, and against requests that
// wait for the table without a limit.
func TestFirstRoutes(t *testing.T) {
	cases := []struct {
		name            string
		arrives         time.Duration
		patience        string
		status          int
		takes           time.Duration
		wantsRetryAfter bool
	}{
		{"in time", 900 * time.Millisecond, "5000", http.StatusNotFound, 900 * time.Millisecond, false},
		{"too late", 3 * time.Second, "5000", http.StatusServiceUnavailable, routeTableTimeout, true},
		{"short deadline of the caller", 900 * time.Millisecond, "1000", http.StatusServiceUnavailable, 500 * time.Millisecond, true},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := fleet.NewTable("z")
				gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
				defer closeGateway()
				time.AfterFunc(entry.arrives, func() { table.SetRoutes(core.RouteTable{Number: 1}) })
				request := httptest.NewRequest(http.MethodGet, "/p/", nil)
				request.Header.Set("Patience", entry.patience)
				answer := httptest.NewRecorder()
				began := time.Now()
				gateway.ServeHTTP(answer, request)
				is.Equal(time.Since(began), entry.takes)
				is.Equal(answer.Code, entry.status) // the table that arrives has no route
				is.Equal(answer.Header().Get("Retry-After") != "", entry.wantsRetryAfter)
			})
		})
	}
}
