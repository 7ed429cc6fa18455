package guard

import (
	"cmp"
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Bodies reads the bodies of requests within limits for all of them together. The zero value has
// the default limits.
type Bodies struct {
	// Guard holds the limits for clients that make no progress; nil selects the defaults.
	Guard *Guard
	// Memory limits the bodies that are held at the same time.
	Memory h1.Memory
	// Time bounds the time in which a body must arrive, 30 s if it is zero.
	Time time.Duration
}

// defaultTime is enough for a body of some MiB over a slow link.
const defaultTime = 30 * time.Second

// Read returns a body of at most limit bytes and a function that frees its memory. The error is
// a *h1.BoundError if the body is longer, h1.ErrMemory if there is no memory for it, and otherwise
// that of the connection. The connection is closed after the response then, since the server would
// wait for the rest of the body before it sends the response.
func (bodies *Bodies) Read(writer http.ResponseWriter, request *http.Request, limit core.Bytes) (body []byte, free func(), err error) {
	guard := cmp.Or(bodies.Guard, &Guard{})
	reader, received := guard.Body(writer, request, time.Now().Add(cmp.Or(bodies.Time, defaultTime)))
	memory, free := bodies.Memory.Reserve()
	if body, err = h1.ReadStated(reader, request.ContentLength, int64(limit), memory); err != nil {
		free()
		writer.Header().Set("Connection", "close")
		return nil, nil, err //nolint:wrapcheck // the callers add which body it is
	}
	received()
	return body, free, nil
}
