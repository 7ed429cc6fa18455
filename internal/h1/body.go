package h1

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// MayBeCut reports whether the response does not state where its body ends. The body ends with
// the connection then, and so does that of an upstream which crashes. A server that has no body to
// send states its length, so such a body is not complete while it is empty. A body that ends before
// its request was written is not complete either; its reader returns an error.
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
	// untilClose is set if the body ends with the connection.
	untilClose bool
}

// Read reads from the body. The end of a body that ends with its connection is an error if the
// request was not written completely: a socket reports a reset once, and if that is to the writer,
// the reader sees the regular end of a connection.
func (body *trackedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		if body.untilClose {
			if err := body.conn.awaitWritten(); err != nil {
				return count, err
			}
		}
		body.conn.responseRead = true
	}
	return count, err //nolint:wrapcheck // the callers test for io.EOF
}

// trackEnd makes the connection note the end of the response's body.
func (conn *Conn) trackEnd(response *http.Response) {
	conn.responseRead = response.Body == http.NoBody
	if !conn.responseRead {
		response.Body = &trackedBody{response.Body, conn, MayBeCut(response)}
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

// firstRead is the capacity in bytes with which ReadAll begins. It is the size of the buffer of
// net/http, and the usual requests and responses fit into it or into twice as much.
const firstRead = 4 << 10

// ReadAll reads a body of at most limit bytes to its end. The memory for it is taken from
// the reservation as the bytes arrive, because a length that the peer states costs it
// nothing. While the body is copied into a larger buffer, both buffers are counted. It returns a *BoundError if the body is longer than limit, and ErrMemory if the
// memory is used up.
func ReadAll(body io.Reader, limit int64, reservation *Reservation) ([]byte, error) {
	return ReadStated(body, -1, limit, reservation)
}

// ReadStated reads a body like ReadAll whose length the peer has stated, or has not if it is
// negative. A small body is read into a buffer of that length.
func ReadStated(body io.Reader, stated, limit int64, reservation *Reservation) ([]byte, error) {
	if body == http.NoBody {
		return nil, nil
	}
	first := int64(firstRead)
	if stated > 0 {
		first = min(stated, smallBody)
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			// The size doubles, so that the bytes are copied once on average. The byte beyond
			// the limit tells a body that is too long.
			before, size := cap(content), int(min(max(first, 2*int64(cap(content))), limit+1))
			if !reservation.grow(int64(size)) {
				CountOverBound("all bodies", "bytes")
				return nil, ErrMemory
			}
			content = append(make([]byte, 0, size), content...)
			reservation.shrink(int64(before))
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if int64(len(content)) > limit {
			return nil, NewBoundError("body", "bytes", limit)
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			return content, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read body")
		}
	}
}
