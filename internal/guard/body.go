package guard

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
)

// enoughBody is the number of bytes of a body that a client must send in each interval without
// progress.
const enoughBody = 1 << 10

// body is a body that must make progress.
type body struct {
	io.Reader
	controller *http.ResponseController
	stall      time.Duration
	latest     time.Time
	fresh      int
}

// Body returns the body of a request, whose reads fail with os.ErrDeadlineExceeded after the time
// latest, or if less than 1 KiB arrives within the limit for clients that make no progress. A
// latest that is zero sets no limit. free must be called after the body was read whole.
func (guard *Guard) Body(writer http.ResponseWriter, request *http.Request, latest time.Time) (reader io.Reader, free func()) {
	body := &body{Reader: request.Body, controller: http.NewResponseController(writer), stall: guard.Limits.WithDefaults().Stall, latest: latest, fresh: enoughBody}
	return body, func() { _ = body.controller.SetReadDeadline(time.Time{}) }
}

// Read reads from the body.
func (body *body) Read(buffer []byte) (int, error) {
	if body.fresh >= enoughBody {
		deadline := time.Now().Add(body.stall)
		if !body.latest.IsZero() && body.latest.Before(deadline) {
			deadline = body.latest
		}
		_ = body.controller.SetReadDeadline(deadline)
		body.fresh = 0
	}
	count, err := body.Reader.Read(buffer)
	body.fresh += count
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h1.CountOverBound("body", "seconds")
	}
	return count, err //nolint:wrapcheck // readers return io.EOF itself
}
