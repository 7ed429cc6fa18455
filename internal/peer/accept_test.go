package peer

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// fullListener fails as often as failures says, like one of a process without free descriptors.
type fullListener struct {
	net.Listener
	failures int
}

// Accept fails or returns the next connection.
func (listener *fullListener) Accept() (net.Conn, error) {
	if listener.failures > 0 {
		listener.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return listener.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a VM that accepts no more links after its
// descriptors were used up for a moment.
func TestAcceptWithoutDescriptors(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer Serve(&fullListener{listener, 2}, Identity{VM: "vm"}, nil, log.New(io.Discard))()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // accepted, and ended as there is no handshake
}
