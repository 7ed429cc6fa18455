package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// readTimeout is the time after which a line that has not arrived counts as
// blocked. A forwarded line arrives within a fraction of it.
const readTimeout = 300 * time.Millisecond

// relayFixture holds connections from endpoint "a" through the relay to an echo
// server, endpoint "b".
type relayFixture struct {
	relay       *Relay
	address     string
	buffered    map[string]*bufio.ReadWriter
	connections map[string]net.Conn
}

// TestRelay guards against a relay that forwards data in a cut direction, that
// loses it when the cut is healed, that forwards the end of a silent connection, or that
// shows a reset as a normal end.
func TestRelay(t *testing.T) {
	datadriven.RunTest(t, "testdata/relay", func() func(*testing.T, *datadriven.TestData) string {
		fixture := newFixture(t)
		return fixture.step
	}())
}

func newFixture(t *testing.T) *relayFixture {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	relay := New(t.Context())
	address, err := relay.Add(Route{From: "a", To: "b", Target: echo.Addr().String(), DelayMicros: 100})
	is.NoErr(err)
	return &relayFixture{relay: relay, address: address, buffered: make(map[string]*bufio.ReadWriter), connections: make(map[string]net.Conn)}
}

func (fixture *relayFixture) step(t *testing.T, line *datadriven.TestData) string {
	names := make([]string, 0, len(line.CmdArgs))
	for _, argument := range line.CmdArgs {
		names = append(names, argument.Key)
	}
	switch line.Cmd {
	case "dial":
		conn, err := net.Dial("tcp", fixture.address)
		is.New(t).NoErr(err)
		t.Cleanup(func() { conn.Close() })
		fixture.connections[names[0]] = conn
		fixture.buffered[names[0]] = bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
		return ""
	case "echo":
		return fixture.echo(names[0], names[1])
	case "read":
		return fixture.read(names[0])
	case "cut":
		fixture.relay.Cut([]Direction{{Endpoint(names[0]), Endpoint(names[1])}})
	case "heal":
		fixture.relay.Heal(nil)
	case "silence":
		return fmt.Sprintln(fixture.relay.Silence([]Direction{{Endpoint(names[0]), Endpoint(names[1])}}))
	case "reset":
		return fmt.Sprintln(fixture.relay.Reset([]Direction{{Endpoint(names[0]), Endpoint(names[1])}}))
	}
	return ""
}

func (fixture *relayFixture) echo(name, text string) string {
	fmt.Fprintln(fixture.buffered[name], text)
	if err := fixture.buffered[name].Flush(); err != nil {
		return err.Error() + "\n"
	}
	return fixture.read(name)
}

func (fixture *relayFixture) read(name string) string {
	if err := fixture.connections[name].SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return err.Error() + "\n"
	}
	text, err := fixture.buffered[name].ReadString('\n')
	if err != nil && strings.Contains(err.Error(), "timeout") {
		return "nothing\n"
	}
	if errors.Is(err, syscall.ECONNRESET) {
		return "reset\n"
	}
	if err != nil {
		return err.Error() + "\n"
	}
	return text
}
