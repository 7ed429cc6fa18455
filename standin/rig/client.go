package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// call is one attempt of a caller: a request on a connection to an entry VM.
type call struct {
	headers  Headers
	recorder *Recorder
	record   Record // the fields that are the same in all records of the attempt
	path     string
	host     string
	extra    map[string]string
	body     []byte
	// deadline is the time until which the caller waits, gap the longest time that it waits
	// for the next bytes.
	deadline time.Time
	gap      time.Duration
}

// result is what one attempt has brought.
type result struct {
	// status is 0 if there was no head of a response.
	status     int
	complete   bool
	retryAfter time.Duration
	// events is the number of events, last the number of the last one.
	events, last int
	kept         bool // the connection can be used again
}

// connection is a connection of a caller to an entry VM.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connectTimeout is the time that a caller allows for a new connection.
const connectTimeout = time.Second

func connect(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to an entry VM")
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// usable reports whether an idle connection is open and without unread bytes.
func (conn *connection) usable() bool {
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok || conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// write adds a record of the attempt.
func (call *call) write(event Event, change func(record *Record)) {
	record := call.record
	record.Event = event
	if change != nil {
		change(&record)
	}
	call.recorder.Write(record)
}

// text returns the bytes of the request.
func (call *call) text() []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", call.path, call.host, len(call.body))
	for name, value := range call.extra {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	text.WriteString("\r\n")
	return append([]byte(text.String()), call.body...)
}

// do sends the request and reads the response to its end. It closes the connection unless it
// can be used again.
func (call *call) do(conn *connection) result {
	result := call.exchange(conn)
	if !result.kept {
		conn.Close()
	}
	return result
}

func (call *call) exchange(conn *connection) (result result) {
	_ = conn.SetDeadline(call.deadline)
	if _, err := conn.Write(call.text()); err != nil {
		return result // not sent: there is no record of it
	}
	call.write(Sent, nil)
	call.awaitBytes(conn)
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		call.end(0, err)
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	result.retryAfter, _ = time.ParseDuration(response.Header.Get(call.headers.RetryAfter) + "s")
	call.write(Answered, func(record *Record) {
		record.Status = response.StatusCode
		record.Detail = call.headFault(response)
	})
	isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	parser, buffer := eventParser{}, make([]byte, 16<<10)
	for err == nil {
		var count int
		call.awaitBytes(conn)
		count, err = response.Body.Read(buffer)
		if isStream {
			parser.feed(buffer[:count], func(id, data string) {
				result.events++
				result.last = call.received(id, data, result.last)
			})
		}
	}
	result.complete = errors.Is(err, io.EOF)
	if result.complete && !response.Close {
		result.kept = true
	}
	call.write(endEvent(err), func(record *Record) {
		record.Status, record.Complete = result.status, result.complete
		if result.complete && isStream && parser.unfinished() {
			record.Detail = "the stream ends inside an event"
		}
	})
	return result
}

// headFault returns what is wrong with the head of a response, or nothing.
func (call *call) headFault(response *http.Response) string {
	if response.StatusCode/100 == 2 && response.Header.Get(call.headers.Signature) == "" {
		return "a success without signature"
	}
	if id := response.Header.Get(call.headers.Request); id != "" && id != string(call.record.Request) {
		return "the response is for the request " + id
	}
	return ""
}

// awaitBytes sets the time until which the next bytes must arrive.
func (call *call) awaitBytes(conn *connection) {
	limit := time.Now().Add(call.gap)
	if call.deadline.Before(limit) {
		limit = call.deadline
	}
	_ = conn.SetReadDeadline(limit)
}

// received records an event of a stream and returns its number, or last if it has none.
func (call *call) received(id, data string, last int) int {
	var piece Piece
	err := json.Unmarshal([]byte(data), &piece)
	fault := ""
	switch {
	case err != nil:
		fault = "the data of an event cannot be read: " + limitText(data)
	case id != fmt.Sprint(piece.Number):
		fault = fmt.Sprintf("the event %d has the id %s", piece.Number, limitText(id))
	}
	call.write(Received, func(record *Record) {
		record.Number, record.Writer, record.Version, record.Of, record.Detail = piece.Number, piece.Writer, piece.Version, piece.Of, fault
	})
	if err != nil {
		return last
	}
	return piece.Number
}

// limitText bounds the text of a detail.
func limitText(text string) string {
	const maxDetailBytes = 200
	return text[:min(len(text), maxDetailBytes)]
}

// end records the end of an attempt without a response.
func (call *call) end(status int, err error) {
	call.write(endEvent(err), func(record *Record) {
		record.Status = status
		var network net.Error
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) {
			record.Detail = "the response cannot be read: " + limitText(err.Error())
		}
	})
}

// endEvent tells whether the caller has left or the connection has ended.
func endEvent(err error) Event {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Left
	}
	return Ended
}
