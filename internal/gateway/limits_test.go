package gateway

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestLimits guards against requests that exceed the operators' limits or whose body does
// not arrive, and against a refusal of a request within the limits.
func TestLimits(t *testing.T) {
	table := fleet.NewTable("z")
	table.SetRoutes(core.RouteTable{
		Number: 1, Limits: core.CallerLimits{HeaderBytes: 1000, BodyBytes: 100}, Services: []core.ServiceSpec{{Service: "s"}},
		Routes: []core.Route{{Host: "h", Prefix: "/p/", Kind: core.Idempotent, Timeout: 300 * time.Millisecond, Targets: []core.RouteTarget{{Service: "s", Weight: 1}}}},
	})
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	const noUpstream = "HTTP/1.1 503"
	cases := []struct{ name, request, status string }{
		{"within the limits", "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", noUpstream},
		{"large head", "GET /p/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\n", "HTTP/1.1 431"},
		{"large body", "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413"},
		{"large body in chunks", "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + strings.Repeat("x", 200) + "\r\n0\r\n\r\n", "HTTP/1.1 413"},
		{"incomplete body", "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", "HTTP/1.1 408"},
		{"invalid request", "hello\r\n\r\n", "HTTP/1.1 400"},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, entry.request)
			is.NoErr(err)
			answer := make([]byte, len(noUpstream))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.ReadFull(conn, answer)
			is.NoErr(err)
			is.Equal(string(answer), entry.status)
		})
	}
}
