package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// dialTimeout limits the time for opening a connection. The latency between zones is a
	// few milliseconds, and a lost SYN packet is sent again only after a second.
	dialTimeout = 700 * time.Millisecond
	// unacknowledgedTimeout is the time after which a connection is closed on which sent
	// data or keep-alive probes are not acknowledged. The system sends data again after 0.2,
	// 0.6 and 1.4 s and probes after 1 and 2 s, and looks at this time when the next one is due:
	// with 1.2 s it closed the connections of sound machines that were silent for 0.4 s.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// probeInterval is the time between two keep-alive probes of an idle connection.
	probeInterval  = time.Second
	readBufferSize = 4 << 10
	// idleMargin is subtracted from the idle timeout that an upstream states, so that no
	// request arrives there after the upstream has closed the connection.
	idleMargin = time.Second
	// defaultIdle is the idle timeout of upstreams that state none.
	defaultIdle = 4 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, see tcp(7).
	tcpUserTimeout = 0x12
)

// keepAlive detects connections whose peer has disappeared without closing them.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2}

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	raw    syscall.RawConn
	// idleUntil is the time until which the idle connection may be used again.
	idleUntil time.Time
	// bodyWritten receives the result of writing the body of the last request. It is nil
	// if Send wrote the body itself.
	bodyWritten chan error
	// broken is set if the connection must not be used for another request.
	broken bool
	// responseRead is set once the last response was read to its end.
	responseRead bool
	// requests is the number of requests that were sent.
	requests int
	// answered holds the hashes of the IDs of the requests that were answered last, of which
	// nextAnswered is replaced next.
	answered     []uint64
	nextAnswered int
}

// maxAnswered is the number of requests whose IDs a connection remembers. An upstream that sends
// a response once more does so soon after the first time.
const maxAnswered = 32

// Answered notes that the connection has carried a response to a request with the ID.
func (conn *Conn) Answered(id string) {
	hash := xxhash.Sum64String(id)
	if len(conn.answered) < maxAnswered {
		conn.answered = append(conn.answered, hash)
		return
	}
	conn.answered[conn.nextAnswered] = hash
	conn.nextAnswered = (conn.nextAnswered + 1) % maxAnswered
}

// HasAnswered reports whether the connection has carried a response to a request with the ID
// recently. If such a request is sent again, that response may come once more, and the ID does
// not tell the two apart.
func (conn *Conn) HasAnswered(id string) bool {
	return slices.Contains(conn.answered, xxhash.Sum64String(id))
}

// Reused reports whether the last request was not the first one on the connection. Only
// then may a response arrive that belongs to an earlier request.
func (conn *Conn) Reused() bool { return conn.requests > 1 }

// Used reports whether a request was sent on the connection.
func (conn *Conn) Used() bool { return conn.requests > 0 }

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket of a client or a server, so that the
// connection is closed if the peer does not acknowledge data. It fits the Control fields
// of net.Dialer and net.ListenConfig.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "control socket")
	}
	if optionErr != nil {
		return errors.Wrap(optionErr, "set user timeout")
	}
	return nil
}

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: SetUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial upstream")
	}
	result := &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if result.raw, err = tcp.SyscallConn(); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "open raw connection")
		}
	}
	return result, nil
}

// noInput reports whether nothing has arrived on an idle connection: neither the end of
// the connection nor data that belongs to no request.
func (conn *Conn) noInput() bool {
	if conn.reader.Buffered() > 0 || conn.raw == nil {
		return conn.reader.Buffered() == 0
	}
	empty := false
	var buffer [1]byte
	err := conn.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

// largeBodySize is the size in bytes from which a body is written concurrently with the
// wait for the response: an upstream may respond before it has read the body.
const largeBodySize = 16 << 10

// Send writes a request. It returns the number of bytes that may have been sent; a body of
// largeBodySize or more counts in full and is still being written when Send returns.
func (conn *Conn) Send(head []byte, body []byte) (int, error) {
	conn.bodyWritten, conn.responseRead = nil, false
	conn.requests++
	if len(body) < largeBodySize {
		sent, err := conn.Write(append(head, body...))
		if err != nil {
			return sent, errors.Wrap(err, "write request")
		}
		return sent, nil
	}
	sent, err := conn.Write(head)
	if err != nil {
		return sent, errors.Wrap(err, "write request head")
	}
	written := make(chan error, 1)
	conn.bodyWritten = written
	go func() {
		_, err := conn.Write(body)
		written <- err
	}()
	return sent + len(body), nil
}

// lateWrite is the time for which the rest of a request is waited for after the response has ended
// with the connection. A writer whose connection was reset returns at once.
const lateWrite = time.Second

// awaitWritten returns nil once the body of the last request was written. It returns the error of
// the writer, or io.ErrUnexpectedEOF if the body is not written after lateWrite.
func (conn *Conn) awaitWritten() error {
	if conn.bodyWritten == nil {
		return nil
	}
	timer := time.NewTimer(lateWrite)
	defer timer.Stop()
	select {
	case err := <-conn.bodyWritten:
		conn.bodyWritten = nil
		if err != nil {
			conn.broken = true
			return errors.Wrap(err, "the response ended before the request was written")
		}
		return nil
	case <-timer.C:
		conn.broken = true
		return errors.Wrap(io.ErrUnexpectedEOF, "the response ended before the request was written")
	}
}

// AwaitResponse waits until the first byte of a response has arrived, at most for the given
// time. It returns an error that wraps os.ErrDeadlineExceeded if none has.
func (conn *Conn) AwaitResponse(limit time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "set the deadline of a response")
	}
	if _, err := conn.reader.Peek(1); err != nil {
		return errors.Wrap(err, "await response")
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear the deadline of a response")
	}
	return nil
}

// ReadResponse reads the head of the response to a request with the given method. It skips
// up to maxInformational informational responses. The body must be read to its end before the
// next request. It returns a *BoundError if the head is over a bound, and an *InvalidError if it
// is not valid.
func (conn *Conn) ReadResponse(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		response, err := conn.readHead(method)
		if err != nil {
			conn.broken = true
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK {
			conn.trackEnd(response)
			conn.setIdleUntil(response)
			return response, nil
		}
	}
	conn.broken = true
	return nil, NewBoundError("head", "informational responses", maxInformational)
}

// setIdleUntil sets idleUntil from the headers of a response, or broken if the upstream
// closes the connection after the response.
func (conn *Conn) setIdleUntil(response *http.Response) {
	idle := defaultIdle
	if value, found := strings.CutPrefix(strings.ToLower(response.Header.Get("Keep-Alive")), "timeout="); found {
		value, _, _ = strings.Cut(value, ",")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	if response.Close || idle <= 0 {
		conn.broken = true
		return
	}
	conn.idleUntil = time.Now().Add(idle)
}

// reusable reports whether the connection may carry another request: the last response was
// read to its end with no data after it, and the last request was written completely.
func (conn *Conn) reusable() bool {
	if conn.broken || !conn.responseRead || conn.reader.Buffered() > 0 {
		return false
	}
	if conn.bodyWritten == nil {
		return true
	}
	select {
	case err := <-conn.bodyWritten:
		return err == nil
	default:
		return false
	}
}
