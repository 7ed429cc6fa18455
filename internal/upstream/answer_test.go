package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// scriptedServer answers the requests on its connections with scripted responses in order.
// The text after ENDLESS is repeated until the connection is closed, and the text after LATE
// is sent on the same connection after the next request has arrived there. CUT at the end
// closes the connection.
type scriptedServer struct {
	responses chan string
}

func (server scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		var response string
		select {
		case response = <-server.responses:
		default:
			return
		}
		response, cut := strings.CutSuffix(response, "CUT")
		now, after, _ := strings.Cut(response, "LATE")
		start, repeated, isEndless := strings.Cut(late+now, "ENDLESS")
		late = after
		if _, err := io.WriteString(conn, start); err != nil {
			return
		}
		if cut {
			return
		}
		if !isEndless {
			continue
		}
		repeated = strings.Repeat(repeated, 1+8192/len(repeated))
		for err == nil {
			_, err = io.WriteString(conn, repeated)
		}
		return
	}
}

// TestAnswers guards against answers of upstreams that are read without a bound, and against
// a late second copy of an answer that the next call gets. Each case makes as many calls as
// it lists responses, which are separated by lines of two dashes. The attempts are a1, a2
// and so on.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, data *datadriven.TestData) string {
		server := scriptedServer{make(chan string, 16)}
		for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
			part = strings.NewReplacer("\n", "\r\n", `\n`, "\n", `\r`, "\r").Replace(strings.TrimSuffix(part, "\n"))
			server.responses <- part
		}
		calls := len(server.responses)
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
				go server.serve(conn)
			}
		}()
		client, closeClient := NewClient()
		defer closeClient()
		var out strings.Builder
		for i := range calls {
			call := core.Call{Attempt: core.AttemptID(fmt.Sprintf("a%d", i+1)), Method: http.MethodPost, Path: "/c", Repeatable: true}
			out.WriteString(runCall(client, data.Cmd, listener.Addr().String(), call))
		}
		return out.String()
	})
}

// runCall makes one call and returns the answer and the error.
func runCall(client *Client, kind, address string, call core.Call) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bytes, text := 0, ""
	collect := func(chunk core.Chunk) error {
		bytes += len(chunk.Data)
		if bytes <= 100 {
			text += string(chunk.Data)
		}
		return nil
	}
	var err error
	if kind == "engine" {
		_, err = client.Run(ctx, address, call, 1, collect)
	} else {
		err = client.Call(ctx, address, "u", call, collect)
	}
	if bytes > 100 {
		text = fmt.Sprintf("%d MiB", bytes>>20)
	}
	result := "whole"
	var failure *CallError
	if errors.As(err, &failure) {
		result = fmt.Sprintf("%s (%s): %s", failure.Code, failure.Outcome, strings.ReplaceAll(failure.Err.Error(), address, "ADDRESS"))
	}
	return fmt.Sprintf("%q %s\n", text, result)
}

// TestProgress guards against sound streams that are cut because they are slow, and against
// stalled ones that send a byte now and then and never end.
func TestProgress(t *testing.T) {
	cases := []struct {
		name, part string
		every      time.Duration
		engine     bool
		ends       time.Duration // zero: the answer is whole
	}{
		{"slow tokens", "data: x\n\n", 2900 * time.Millisecond, true, 0},
		{"comments of a stalled engine", ": wait\n", time.Second, true, firstByteTimeout},
		{"empty events of a stalled engine", "event: x\n\n", time.Second, true, firstByteTimeout},
		{"bytes of a stalled engine", "d", time.Second, true, firstByteTimeout},
		{"slow events of a service", "data: x\n\n", 29 * time.Second, false, 0},
		{"slow events with CR LF of a service", "data: x\r\n\r\n", 29 * time.Second, false, 0},
		{"slow events with CR of a service", "data: x\r\r", 29 * time.Second, false, 0},
		{"slow parts of a service", strings.Repeat("x", progressBytes), 29 * time.Second, false, 0},
		{"bytes of a stalled service", "x", time.Second, false, serviceTimeout},
	}
	const parts = 60
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reader, writer := io.Pipe()
				ended := make(chan struct{})
				defer close(ended)
				go func() {
					for range parts {
						select {
						case <-time.After(entry.every):
						case <-ended:
							return
						}
						if _, err := io.WriteString(writer, entry.part); err != nil {
							return
						}
					}
					_, _ = io.WriteString(writer, "data: [DONE]\n\n")
					writer.Close()
				}()
				began := time.Now()
				discard := func(core.Chunk) error { return nil }
				stall := func(timeout time.Duration) *time.Timer {
					return time.AfterFunc(timeout, func() { reader.CloseWithError(net.ErrClosed) })
				}
				var err error
				if entry.engine {
					_, err = relayEvents(reader, core.Call{}, &core.Head{}, stall(firstByteTimeout), discard)
				} else {
					err = relayBody(reader, "a", &core.Head{}, stall(serviceTimeout), discard)
				}
				reader.Close()
				if entry.ends == 0 {
					is.NoErr(err)
					return
				}
				is.True(err != nil)
				is.Equal(time.Since(began), entry.ends)
			})
		})
	}
}
