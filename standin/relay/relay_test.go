package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// quiet is the time after which a line that did not arrive counts as held back. A
// line that passes arrives within a fraction of it.
const quiet = 300 * time.Millisecond

// ends holds connections from "a" through the relay to an echo server named "b".
type ends struct {
	relay *Relay
	front string
	conns map[string]*bufio.ReadWriter
	raw   map[string]net.Conn
}

// TestRelay guards against a relay that lets bytes of a cut direction through, that
// loses them after the cut is healed, or that shows a silent connection's end.
func TestRelay(t *testing.T) {
	datadriven.RunTest(t, "testdata/relay", func() func(*testing.T, *datadriven.TestData) string {
		current := open(t)
		return current.step
	}())
}

func open(t *testing.T) *ends {
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
	front, err := relay.Add(Route{From: "a", To: "b", Target: echo.Addr().String(), DelayMicros: 100})
	is.NoErr(err)
	return &ends{relay: relay, front: front, conns: make(map[string]*bufio.ReadWriter), raw: make(map[string]net.Conn)}
}

func (ends *ends) step(t *testing.T, line *datadriven.TestData) string {
	names := make([]string, 0, len(line.CmdArgs))
	for _, argument := range line.CmdArgs {
		names = append(names, argument.Key)
	}
	switch line.Cmd {
	case "dial":
		conn, err := net.Dial("tcp", ends.front)
		is.New(t).NoErr(err)
		t.Cleanup(func() { conn.Close() })
		ends.raw[names[0]] = conn
		ends.conns[names[0]] = bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
		return ""
	case "echo":
		return ends.echo(names[0], names[1])
	case "read":
		return ends.read(names[0])
	case "cut":
		ends.relay.Cut([]Direction{{End(names[0]), End(names[1])}})
	case "heal":
		ends.relay.Heal(nil)
	case "silence":
		return fmt.Sprintln(ends.relay.Silence([]Direction{{End(names[0]), End(names[1])}}))
	}
	return ""
}

func (ends *ends) echo(name, text string) string {
	fmt.Fprintln(ends.conns[name], text)
	if err := ends.conns[name].Flush(); err != nil {
		return err.Error() + "\n"
	}
	return ends.read(name)
}

func (ends *ends) read(name string) string {
	if err := ends.raw[name].SetReadDeadline(time.Now().Add(quiet)); err != nil {
		return err.Error() + "\n"
	}
	text, err := ends.conns[name].ReadString('\n')
	if err != nil && strings.Contains(err.Error(), "timeout") {
		return "nothing\n"
	}
	if err != nil {
		return err.Error() + "\n"
	}
	return text
}
