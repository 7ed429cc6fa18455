package abuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Stop is the place at which a client stops sending. The zero value is the end of its requests.
type Stop string

const (
	// InHead is within the head of the request.
	InHead Stop = "head"
	// InBody is one byte before the end of the body.
	InBody Stop = "body"
)

// Reading is how a client reads responses. The zero value reads them as they arrive.
type Reading string

const (
	// Unread reads nothing.
	Unread Reading = "nothing"
	// Slowly reads one byte in readPause.
	Slowly Reading = "slowly"
	// HalfWay reads 1 KiB and then nothing more.
	HalfWay Reading = "half"
)

const (
	// readPause is the time between two bytes that a client reads slowly.
	readPause = 50 * time.Millisecond
	// smallWindow is the receive buffer in bytes of a client that does not read at once, so
	// that the server holds most of the response.
	smallWindow = 4 << 10
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 2 * time.Second
	// block is the size in bytes of the writes of a body in one piece.
	block = 64 << 10
)

// Kind describes clients that all do the same.
type Kind struct {
	Name string
	// Clients is the number of connections.
	Clients int
	// Requests is the number of requests that are sent on each connection without waiting for
	// responses, one if it is zero.
	Requests int
	// Fields is the number of short header fields with different names in each head.
	Fields int
	// BodyBytes is the size of each body: none if it is zero, and the permitted size of the
	// path if it is negative.
	BodyBytes int
	Chunked   bool
	// PieceBytes is the size of the pieces in which bodies are sent, and the heads of clients
	// that stop there; zero sends heads in one piece and bodies in large ones. PauseMillis is
	// the time after each piece.
	PieceBytes  int
	PauseMillis int
	Stop        Stop
	Reading     Reading
}

// Path is what the requests of the clients call.
type Path struct {
	Method, Path string
	Host         string
	// Header holds further lines of the head.
	Header []string
	// BodyBytes is the permitted size of a body.
	BodyBytes int
}

// client is one connection.
type client struct {
	kind    Kind
	path    Path
	address string
	moved   func(bytes int)
}

// run sends the requests and keeps the connection open until the context ends.
func (client *client) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", client.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	client.moved(1)
	go client.read(ctx, conn)
	if client.send(ctx, conn) == nil {
		<-ctx.Done()
	}
}

// send sends the requests. The error reports that the server has closed the connection.
func (client *client) send(ctx context.Context, conn net.Conn) error {
	size := client.kind.BodyBytes
	if size < 0 {
		size = client.path.BodyBytes
	}
	head := client.head(size)
	for range max(1, client.kind.Requests) {
		if client.kind.Stop == InHead {
			return client.write(ctx, conn, head[:len(head)-2])
		}
		count, err := conn.Write(head)
		client.moved(count)
		if err != nil {
			return err //nolint:wrapcheck // only tested for nil
		}
		if err := client.sendBody(ctx, conn, size); err != nil {
			return err
		}
	}
	return nil
}

// head returns the head of one request.
func (client *client) head(bodyBytes int) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", client.path.Method, client.path.Path, client.path.Host)
	for _, line := range client.path.Header {
		head.WriteString(line + "\r\n")
	}
	for i := range client.kind.Fields {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	switch {
	case bodyBytes == 0:
	case client.kind.Chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", bodyBytes)
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// sendBody sends a body of the given size, without its last byte if the client stops there.
func (client *client) sendBody(ctx context.Context, conn net.Conn, size int) error {
	if size == 0 {
		return nil
	}
	left := size
	if client.kind.Stop == InBody {
		left--
	}
	content := bytes.Repeat([]byte("x"), block)
	for left > 0 {
		part := content[:min(left, block)]
		left -= len(part)
		if client.kind.Chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if err := client.write(ctx, conn, part); err != nil {
			return err
		}
	}
	if client.kind.Chunked && client.kind.Stop != InBody {
		return client.write(ctx, conn, []byte("0\r\n\r\n"))
	}
	return nil
}

// write sends content in the pieces of the kind.
func (client *client) write(ctx context.Context, conn net.Conn, content []byte) error {
	for len(content) > 0 {
		size := len(content)
		if client.kind.PieceBytes > 0 {
			size = min(size, client.kind.PieceBytes)
		}
		count, err := conn.Write(content[:size])
		client.moved(count)
		if err != nil {
			return err //nolint:wrapcheck // only tested for nil
		}
		content = content[size:]
		if client.kind.PauseMillis > 0 {
			pause(ctx, time.Duration(client.kind.PauseMillis)*time.Millisecond)
		}
	}
	return nil
}

// read reads responses in the way of the kind until the connection ends.
func (client *client) read(ctx context.Context, conn net.Conn) {
	if client.kind.Reading != "" {
		_ = conn.(*net.TCPConn).SetReadBuffer(smallWindow)
	}
	switch client.kind.Reading {
	case Unread:
	case HalfWay:
		_, _ = io.CopyN(io.Discard, conn, 1<<10)
	case Slowly:
		for single := make([]byte, 1); ctx.Err() == nil; pause(ctx, readPause) {
			if _, err := conn.Read(single); err != nil {
				return
			}
		}
	default:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// String returns the path as it is shown in failures of tests.
func (path Path) String() string { return strings.TrimSpace(path.Method + " " + path.Path) }
