package guard

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/intake"
)

// Conn is a counted connection of a client.
type Conn struct {
	net.Conn
	guard *Guard
	class intake.Class
	plain bool
	// kept is set if the connection must not be dropped for another one.
	kept atomic.Bool

	// reading and writing are marks of the time since which the server waits for bytes of the
	// client, or for it to read, and zero while it does not.
	reading, writing atomic.Int64
	// body is the number of bytes read since the head of the request.
	body atomic.Int64
	// headCost is the memory that the head takes, in bytes.
	headCost atomic.Int64
	// phase is a phase.
	phase atomic.Int32

	// The fields below are used by the goroutine that reads.

	// fresh is the number of bytes read since reading was set.
	fresh int
	// headBytes and headLines are the size of the head so far. ended is set after its end.
	headBytes, headLines int
	ended                bool
}

// phase is the state of a connection between and during requests.
type phase = int32

const (
	// phaseIdle is the time before the first byte of a request.
	phaseIdle phase = iota
	// phaseHead is the time from the first byte of a request to the end of its head.
	phaseHead
	// phaseServing is the time from the end of the head to the end of the response.
	phaseServing
	// phaseClosed begins with the decision to close an idle connection.
	phaseClosed
)

const (
	// enoughRead is the number of bytes that count as progress of a client that sends. A client
	// that sends single bytes makes none.
	enoughRead = 512
	// writeStep is the largest number of bytes that are written at once, so that a client
	// which reads a long response slowly is seen to read.
	writeStep = 32 << 10
	// refusalTime bounds the write of a refusal to a client that may not read it.
	refusalTime = 100 * time.Millisecond
)

// errRefused ends the reading of a head for which there is no room.
var errRefused = errors.New("the head was refused")

// Keep excludes the connection from those that are dropped for others.
func (conn *Conn) Keep() { conn.kept.Store(true) }

// client describes the connection to package intake.
func (conn *Conn) client() intake.Client {
	guard := conn.guard
	return intake.Client{
		Class: conn.class, Held: core.Bytes(conn.headCost.Load() + conn.body.Load()), Kept: conn.kept.Load(),
		Stalled: max(guard.since(conn.reading.Load()), guard.since(conn.writing.Load())),
	}
}

// Read reads from the connection. While a handler runs and the body is read, net/http reads
// single bytes to notice the end of the connection; the client has nothing to send then. With
// TLS this cannot be told from the reading of a body.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 1 || !conn.plain && conn.phase.Load() == phaseServing {
		conn.reading.Store(0)
		return conn.Conn.Read(buffer) //nolint:wrapcheck // servers look at the error itself
	}
	if conn.reading.Load() == 0 {
		conn.reading.Store(conn.guard.present())
		conn.fresh = 0
	}
	count, err := conn.Conn.Read(buffer)
	if conn.fresh += count; conn.fresh >= enoughRead {
		conn.reading.Store(0)
	}
	if count > 0 {
		conn.phase.CompareAndSwap(phaseIdle, phaseHead)
	}
	switch phase := conn.phase.Load(); {
	case phase == phaseClosed:
		return 0, net.ErrClosed
	case phase == phaseServing:
		conn.body.Add(int64(count))
	case conn.plain && !conn.ended:
		if status, reason := conn.countHead(buffer[:count]); reason != "" {
			conn.guard.turnAway(conn.class, reason)
			_ = conn.SetWriteDeadline(time.Now().Add(refusalTime))
			_, _ = conn.Conn.Write([]byte(status))
			return 0, &net.OpError{Op: "read", Err: errRefused}
		}
	}
	return count, err //nolint:wrapcheck // servers look at the error itself
}

// The responses to heads that are refused.
const (
	tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom        = refusal
)

// countHead counts bytes of a head. It returns a response and the reason if the head is refused.
func (conn *Conn) countHead(read []byte) (response, reason string) {
	if end := bytes.Index(read, []byte("\r\n\r\n")); end >= 0 {
		read, conn.ended = read[:end+2], true
	}
	conn.headBytes += len(read)
	conn.headLines += bytes.Count(read, []byte("\n"))
	limits := conn.guard.Limits.WithDefaults()
	if conn.headLines > limits.HeadFields {
		return tooManyFields, reasonFields
	}
	cost := int64(intake.HeadCost(conn.headBytes, conn.headLines))
	added := cost - conn.headCost.Load()
	if conn.guard.heads.Add(added) > int64(limits.Heads) {
		conn.guard.heads.Add(-added)
		return noRoom, reasonHeads
	}
	conn.headCost.Store(cost)
	return "", ""
}

// Write writes to the connection in steps and notes the time since which it waits for the client.
func (conn *Conn) Write(content []byte) (int, error) {
	written := 0
	defer conn.writing.Store(0)
	for {
		conn.writing.Store(conn.guard.present())
		step := content[written:min(written+writeStep, len(content))]
		count, err := conn.Conn.Write(step)
		if written += count; err != nil || written == len(content) {
			return written, err //nolint:wrapcheck // servers look at the error itself
		}
	}
}

// state follows the requests on the connection.
func (conn *Conn) state(state http.ConnState) {
	switch state {
	case http.StateActive:
		conn.phase.Store(phaseServing)
		conn.reading.Store(0)
	case http.StateIdle:
		conn.body.Store(0)
		conn.freeHead()
		conn.headBytes, conn.headLines, conn.ended = 0, 0, false
		conn.reading.Store(0)
		conn.phase.Store(phaseIdle)
		if conn.guard.stopping[conn.class].Load() {
			conn.closeIdle()
		}
	}
}

// closeIdle closes the connection if no byte of a request was read since the last response.
func (conn *Conn) closeIdle() {
	if conn.phase.CompareAndSwap(phaseIdle, phaseClosed) {
		conn.Conn.Close()
	}
}

// freeHead frees the memory of the head.
func (conn *Conn) freeHead() { conn.guard.heads.Add(-conn.headCost.Swap(0)) }

// Close closes the connection and stops counting it.
func (conn *Conn) Close() error {
	conn.freeHead()
	conn.guard.lock.Lock()
	conn.guard.remove(conn)
	conn.guard.lock.Unlock()
	return conn.Conn.Close() //nolint:wrapcheck // servers look at the error itself
}

// CloseWrite closes the write side of the connection, so that the client can read the last
// response.
func (conn *Conn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // servers look at the error itself
	}
	return nil
}

// SetLinger sets what the end of the connection looks like, see package truncation.
func (conn *Conn) SetLinger(seconds int) error {
	if lingerer, ok := conn.Conn.(interface{ SetLinger(int) error }); ok {
		return lingerer.SetLinger(seconds) //nolint:wrapcheck // the caller ignores it
	}
	return nil
}
