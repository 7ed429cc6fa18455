package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// silenceTimeout ends the calls to an upstream that falls silent, and cutTimeout the others.
	silenceTimeout = time.Second
	cutTimeout     = 10 * time.Second
	// cutsAtOnce is the number of cuts that are played at the same time.
	cutsAtOnce = 48
)

// TestCuts guards against a complete answer that the upstream has not sent whole. Each answer is
// cut at every position, by the end of the connection, by a reset, and by silence. The output has
// the positions at which the call succeeded: only the last ones, after which nothing is missing,
// except for a body that ends with its connection.
func TestCuts(t *testing.T) {
	datadriven.RunTest(t, "testdata/cuts", func(t *testing.T, data *datadriven.TestData) string {
		answer := strings.NewReplacer("\n", "\r\n", `\n`, "\n", `\r`, "\r").Replace(data.Input)
		text := fmt.Sprintf("%d bytes\n", len(answer))
		for _, end := range []string{"close", "reset", "silence"} {
			successes := make([]bool, len(answer)+1)
			places := make(chan struct{}, cutsAtOnce)
			var running sync.WaitGroup
			for at := range successes {
				places <- struct{}{}
				running.Go(func() {
					defer func() { <-places }()
					successes[at] = playCut(t, data.Cmd, answer[:at], end)
				})
			}
			running.Wait()
			text += end + ": success at"
			for at, success := range successes {
				if success {
					text += fmt.Sprint(" ", at)
				}
			}
			text += "\n"
		}
		return text
	})
}

// playCut makes a call to an upstream that writes part of an answer, and reports whether it
// succeeded.
func playCut(t *testing.T, kind, part, end string) bool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return false
	}
	defer listener.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go writeCut(conn, part, end, ended)
		}
	}()
	client, closeClient := NewClient()
	defer closeClient()
	timeout := cutTimeout
	if end == "silence" {
		timeout = silenceTimeout
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	call := core.Call{Attempt: "a1", Method: http.MethodPost, Path: "/c"}
	discard := func(core.Chunk) error { return nil }
	if kind == "engine" {
		_, err = client.Run(ctx, listener.Addr().String(), call, 1, discard)
	} else {
		err = client.Call(ctx, listener.Addr().String(), "u", call, discard)
	}
	return err == nil
}

// writeCut answers one request with a part of an answer.
func writeCut(conn net.Conn, part, end string, ended <-chan struct{}) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, part)
	switch end {
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "silence":
		<-ended
	}
}
