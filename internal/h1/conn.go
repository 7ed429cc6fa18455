package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds the opening of a connection. Zones are a few milliseconds apart,
	// and an opening packet that was dropped is sent again after a second.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is the time after which a connection on which bytes or probes stay
	// unacknowledged is closed.
	unackedTimeout = 1200 * time.Millisecond
	// probeInterval is the time between two probes of an idle connection.
	probeInterval = time.Second
	readBuffer    = 4 << 10
	// idleMargin is left of the time for which an upstream keeps an idle connection, for
	// a request that is on its way when it ends.
	idleMargin = time.Second
	// defaultIdle is used where an upstream states no time.
	defaultIdle = 4 * time.Second
	// tcpUserTimeout is the socket option of that name, see tcp(7).
	tcpUserTimeout = 0x12
)

// keepAlive finds connections that have gone silent without a close.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2}

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	raw    syscall.RawConn
	// idleUntil is the end of the time for which the upstream keeps it when idle.
	idleUntil time.Time
	// writing is closed when the body of the last request has been written.
	writing chan error
	broken  bool
}

// Harden sets the options of a socket, dialled or accepted, that find a silent peer.
func Harden(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "control socket")
	}
	if failure != nil {
		return errors.Wrap(failure, "set user timeout")
	}
	return nil
}

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: Harden}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial upstream")
	}
	result := &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if result.raw, err = tcp.SyscallConn(); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "open raw connection")
		}
	}
	return result, nil
}

// quiet reports whether nothing has arrived on an idle connection: neither its end nor
// bytes that belong to no request.
func (conn *Conn) quiet() bool {
	if conn.reader.Buffered() > 0 || conn.raw == nil {
		return conn.reader.Buffered() == 0
	}
	quiet := false
	var one [1]byte
	err := conn.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// largeBody is the size from which a body is written beside the wait for the answer: an
// upstream may answer before it has read the body.
const largeBody = 16 << 10

// Send writes a request. It returns the number of bytes that may have left.
func (conn *Conn) Send(head []byte, body []byte) (int, error) {
	conn.writing = nil
	if len(body) < largeBody {
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
	conn.writing = written
	go func() {
		_, err := conn.Write(body)
		written <- err
	}()
	return sent + len(body), nil
}

// Head reads the head of an answer to a request with the given method. The body is to be
// read to its end and closed before the next request.
func (conn *Conn) Head(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			conn.broken = true
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			conn.setIdle(response)
			return response, nil
		}
	}
}

// setIdle takes in how long the upstream keeps the connection.
func (conn *Conn) setIdle(response *http.Response) {
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

// reusable reports whether the connection may carry another request. Its answer was read
// to its end, with nothing behind it, and its request was written whole.
func (conn *Conn) reusable() bool {
	if conn.broken || conn.reader.Buffered() > 0 {
		return false
	}
	if conn.writing == nil {
		return true
	}
	select {
	case err := <-conn.writing:
		return err == nil
	default:
		return false
	}
}
