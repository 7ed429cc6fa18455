package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestEvents guards against tokens of an engine that are lost, or a broken answer that is taken
// for complete, depending on the line ends of its events and on how they are divided into
// reads. The engine writes its stream at once, in two pieces that end at every position in turn,
// and byte by byte; the input has a line for each event.
func TestEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, data *datadriven.TestData) string {
		stream := strings.NewReplacer("\n", "", `\n`, "\n", `\r`, "\r", `\ufeff`, "\ufeff").Replace(data.Input)
		var each []int
		whole := runEvents(t, stream, nil)
		for at := 1; at < len(stream); at++ {
			if split := runEvents(t, stream, []int{at}); split != whole {
				t.Errorf("split at byte %d: %s\nin one piece: %s", at, split, whole)
			}
			each = append(each, at)
		}
		if split := runEvents(t, stream, each); split != whole {
			t.Errorf("split at each byte: %s\nin one piece: %s", split, whole)
		}
		return whole
	})
}

// runEvents calls an engine that writes a stream in pieces which end at the positions, and
// returns the answer.
func runEvents(t *testing.T, stream string, positions []int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go writeEvents(conn, stream, positions)
		}
	}()
	client, closeClient := NewClient()
	defer closeClient()
	text := ""
	tokens, err := client.Run(t.Context(), listener.Addr().String(), core.Call{Attempt: "a", Method: http.MethodPost, Path: "/c"}, 1, func(chunk core.Chunk) error {
		text += string(chunk.Data)
		return nil
	})
	return fmt.Sprintf("%q tokens=%d whole=%t\n", text, tokens, err == nil)
}

// writeEvents answers one request on a connection.
func writeEvents(conn net.Conn, stream string, positions []int) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	before := 0
	for _, end := range append(slices.Clone(positions), len(stream)) {
		if _, err := io.WriteString(conn, stream[before:end]); err != nil {
			return
		}
		before = end
	}
}
