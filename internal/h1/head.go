package h1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// headTimeout bounds the time from the first byte of a head to its last one. It is above
// the time in which a lost packet is sent again.
const headTimeout = 3 * time.Second

// readHead reads one response head.
func (conn *Conn) readHead(method string) (*http.Response, error) {
	if err := conn.awaitHead(); err != nil {
		return nil, err
	}
	if conn.hasOldCoding() {
		return nil, &InvalidError{Err: errors.New("transfer coding in HTTP/1.0")}
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, &InvalidError{Err: errors.Wrap(err, "parse head")}
	}
	if err := checkHead(response); err != nil {
		return nil, &InvalidError{Err: err}
	}
	return response, nil
}

// InvalidError reports a response that is none by RFC 9110 and RFC 9112. The connection must be
// closed. Whether the request has run is not known.
type InvalidError struct{ Err error }

// Error returns the fault.
func (err *InvalidError) Error() string { return "invalid response: " + err.Err.Error() }

// Unwrap returns the fault.
func (err *InvalidError) Unwrap() error { return err.Err }

// checkHead returns an error for a head that net/http accepts and that is not valid: a version other
// than HTTP/1.x (RFC 9112, section 2.3), a status outside 100 to 599 (RFC 9110, section 15), and 101
// to a request that asks for no upgrade (RFC 9110, section 15.2.2).
func checkHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Errorf("version %q", response.Proto)
	case response.StatusCode < 100 || response.StatusCode > 599:
		return errors.Errorf("status %q", response.Status)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("status 101 without a request for it")
	default:
		return nil
	}
}

// hasOldCoding reports whether the head in the buffer is one of HTTP/1.0 with a transfer coding,
// whose framing is faulty (RFC 9112, section 6.1). The parser ignores the coding, and would return
// the chunks with their sizes as the body.
func (conn *Conn) hasOldCoding() bool {
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	if !bytes.HasPrefix(buffered, []byte("HTTP/1.0")) {
		return false
	}
	for line := range bytes.Lines(buffered) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	return false
}

// awaitHead returns once the buffer of the connection holds a whole head within the bounds.
// Without it, the parser would allocate memory for as many bytes as the upstream sends.
func (conn *Conn) awaitHead() error {
	scan := headScan{}
	timed := false
	for {
		buffered, _ := conn.reader.Peek(conn.reader.Buffered())
		whole, err := scan.advance(buffered)
		if err != nil {
			return err
		}
		if whole {
			if timed {
				_ = conn.SetReadDeadline(time.Time{})
			}
			return nil
		}
		if len(buffered) > 0 && !timed {
			timed = true
			if err := conn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
				return errors.Wrap(err, "set the deadline of a head")
			}
		}
		if len(buffered) == conn.reader.Size() {
			conn.enlargeBuffer(buffered)
		}
		if _, err := conn.reader.Peek(len(buffered) + 1); err != nil {
			return wrapHeadError(err, len(buffered))
		}
	}
}

// wrapHeadError returns the error of a head of which some bytes have arrived.
func wrapHeadError(err error, arrived int) error {
	switch {
	case err == io.EOF && arrived > 0: //nolint:errorlint // readers return io.EOF itself
		err = io.ErrUnexpectedEOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Wrapf(err, "the head was not received within %v", headTimeout)
	}
	return errors.Wrap(err, "read head")
}

// enlargeBuffer replaces the buffer of the connection, whose content is given, by one of
// maxHeadBytes. Few heads need more than readBufferSize.
func (conn *Conn) enlargeBuffer(buffered []byte) {
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), conn.Conn)
	conn.reader = bufio.NewReaderSize(rest, maxHeadBytes)
}

// headScan searches for the end of a head. The zero value is at its start.
type headScan struct {
	scanned, lineStart, lines int
}

// advance searches the bytes of a head, which begin with those of the previous call. It
// returns true if they contain the empty line that ends it, and a *BoundError if the head
// is over a bound.
func (scan *headScan) advance(head []byte) (bool, error) {
	for scan.scanned < len(head) {
		length := bytes.IndexByte(head[scan.scanned:], '\n')
		if length < 0 {
			scan.scanned = len(head)
			break
		}
		end := scan.scanned + length
		line := bytes.TrimSuffix(head[scan.lineStart:end], []byte("\r"))
		if len(line) == 0 {
			return true, nil
		}
		if len(line) > maxLineBytes {
			return false, NewBoundError("head", "bytes in a line", maxLineBytes)
		}
		if scan.lines++; scan.lines > maxHeadLines {
			return false, NewBoundError("head", "lines", maxHeadLines)
		}
		scan.scanned, scan.lineStart = end+1, end+1
	}
	if len(head)-scan.lineStart > maxLineBytes {
		return false, NewBoundError("head", "bytes in a line", maxLineBytes)
	}
	if len(head) >= maxHeadBytes {
		return false, NewBoundError("head", "bytes", maxHeadBytes)
	}
	return false, nil
}
