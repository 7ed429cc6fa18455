package h1

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// MayBeCut reports whether the response does not state where its body ends. The body ends with
// the connection then, and so does that of an upstream which crashes. A server that has no body to
// send states its length, so such a body is not complete while it is empty.
func MayBeCut(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// maxDiscardedBytes bounds the body of a response that is read only to use the connection
// again. A new connection costs less than a longer body.
const maxDiscardedBytes = 64 << 10

// trackedBody notes on its connection that a response was read to its end.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (body *trackedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		body.conn.responseRead = true
	}
	return count, err //nolint:wrapcheck // the callers test for io.EOF
}

// trackEnd makes the connection note the end of the response's body.
func (conn *Conn) trackEnd(response *http.Response) {
	conn.responseRead = response.Body == http.NoBody
	if !conn.responseRead {
		response.Body = &trackedBody{response.Body, conn}
	}
}

// Discard reads the body of a response to its end. After an error, also that of a body
// over 64 KiB, the connection must be closed.
func Discard(response *http.Response) error {
	if response.ContentLength > maxDiscardedBytes {
		return NewBoundError("body", "bytes", maxDiscardedBytes)
	}
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	if err != nil {
		return errors.Wrap(err, "skip body")
	}
	if count > maxDiscardedBytes {
		return NewBoundError("body", "bytes", maxDiscardedBytes)
	}
	return nil
}

// readStep is the number of bytes that are reserved and read at a time.
const readStep = 32 << 10

// steps holds the buffers of ReadAll for reuse.
var steps = sync.Pool{New: func() any { return new([readStep]byte) }}

// ReadAll reads a body of at most limit bytes to its end. The memory for it is taken from
// the reservation as the bytes arrive, because a length that the peer states costs it
// nothing. It returns a *BoundError if the body is longer than limit, and ErrMemory if the
// memory is used up.
func ReadAll(body io.Reader, limit int64, reservation *Reservation) ([]byte, error) {
	step := steps.Get().(*[readStep]byte)
	defer steps.Put(step)
	var content []byte
	for {
		count, err := body.Read(step[:])
		if int64(len(content)+count) > limit {
			return nil, NewBoundError("body", "bytes", limit)
		}
		if grown := len(content) + count; grown > cap(content) {
			// The size doubles, so that the bytes are copied once on average.
			size := max(grown, min(2*cap(content), int(limit)))
			if counted := size - max(cap(content), smallBody); counted > 0 && !reservation.grow(int64(counted)) {
				return nil, ErrMemory
			}
			content = append(make([]byte, 0, size), content...)
		}
		content = append(content, step[:count]...)
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			return content, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read body")
		}
	}
}
