package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/truncation"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// receiveTimeout bounds the wait of an upstream until the caller has received what is complete.
const receiveTimeout = 10 * time.Second

// stopAfter is the time after which a gateway that stops ends its calls.
const stopAfter = 500 * time.Millisecond

// receivedBytes counts the bytes of a body that a caller has received.
type receivedBytes struct {
	lock sync.Mutex // no other lock is acquired while it is held
	// changed is closed and replaced at each change.
	changed chan struct{}
	count   int
}

func newReceivedBytes() *receivedBytes { return &receivedBytes{changed: make(chan struct{})} }

func (received *receivedBytes) add(count int) {
	received.lock.Lock()
	defer received.lock.Unlock()
	received.count += count
	close(received.changed)
	received.changed = make(chan struct{})
}

// await waits until the caller has received count bytes, or for receiveTimeout.
func (received *receivedBytes) await(count int) {
	timeout := time.After(receiveTimeout)
	for {
		received.lock.Lock()
		enough, changed := received.count >= count, received.changed
		received.lock.Unlock()
		if enough {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		}
	}
}

// pieceAnswer is an answer of an upstream that is written in pieces.
type pieceAnswer struct {
	status  string
	header  string // the headers of its content
	framing string // none, chunked or length
	end     string // whole, close, reset, or silence until the gateway closes the connection
	events  []string
	// ends holds the offsets at which the pieces end. The next piece is written once the caller
	// has received the events that are complete, unless blind is set.
	ends  []int
	blind bool
	// cut is set if the last event is not complete.
	cut bool
}

func (answer *pieceAnswer) write(conn net.Conn, received *receivedBytes) {
	stream := strings.Join(answer.events, "")
	head := "HTTP/1.1 " + answer.status + "\r\nSigned: 1\r\n" + answer.header + "\r\n"
	switch answer.framing {
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
	case "length":
		head += "Content-Length: " + strconv.Itoa(len(stream)) + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return
	}
	before := 0
	for _, end := range append(slices.Clone(answer.ends), len(stream)) {
		piece := stream[before:end]
		if answer.framing == "chunked" && piece != "" {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		if before = end; !answer.blind {
			received.await(answer.complete(end))
		}
	}
	if answer.end == "reset" { // a reset discards what was not read
		received.await(answer.complete(len(stream)))
	}
	switch {
	case answer.end == "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
	case answer.end == "silence":
		_, _ = io.Copy(io.Discard, conn)
	case answer.end == "whole" && answer.framing == "chunked":
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// complete returns the number of bytes up to the last event that ends at or before an offset.
func (answer *pieceAnswer) complete(offset int) int {
	size := 0
	for i, event := range answer.events {
		if size+len(event) > offset || answer.cut && i == len(answer.events)-1 {
			break
		}
		size += len(event)
	}
	return size
}

// pieceUpstream answers each request with the next answer, on a connection of its own.
type pieceUpstream struct {
	received *receivedBytes

	lock    sync.Mutex // no other lock is acquired while it is held
	answers []*pieceAnswer
	sends   []string
}

func (upstream *pieceUpstream) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if answer := upstream.next(request); answer != nil {
		answer.write(conn, upstream.received)
	}
}

func (upstream *pieceUpstream) next(request *http.Request) *pieceAnswer {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	upstream.sends = append(upstream.sends, fmt.Sprintf("last=%q", request.Header.Get("Last")))
	if len(upstream.answers) == 0 {
		return nil
	}
	answer := upstream.answers[0]
	upstream.answers = upstream.answers[1:]
	return answer
}

// TestPieces guards against streams of which the caller gets other events, or another end,
// depending on how the upstream's bytes are divided into reads. The first answer of each case is
// written at once, in two pieces that end at every position in turn, and byte by byte. The
// input has a line for each event, which CUT ends if it is not complete, and a line of two dashes
// between the answers. With the argument blind the upstream does not wait for the caller, and with
// raw the output has all bytes that the caller receives, and how its connection ends. With stop the
// gateway stops, and the first answer is only written at once.
func TestPieces(t *testing.T) {
	datadriven.Walk(t, "testdata/pieces", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runPieces(t, data)
		})
	})
}

func runPieces(t *testing.T, data *datadriven.TestData) string {
	first := newPieceAnswers(t, data)[0]
	size := len(strings.Join(first.events, ""))
	type variant struct {
		name  string
		ends  []int
		blind bool
	}
	each := variant{"each byte", nil, true}
	variants := []variant{{"none", nil, false}}
	if data.HasArg("stop") {
		size = 0
	}
	for at := 1; at < size; at++ {
		variants = append(variants, variant{strconv.Itoa(at), []int{at}, false})
		each.ends = append(each.ends, at)
	}
	var results []string
	splits := make(map[string][]string)
	if size > 0 {
		variants = append(variants, each)
	}
	for _, variant := range variants {
		answers := newPieceAnswers(t, data)
		answers[0].ends, answers[0].blind = variant.ends, variant.blind || data.HasArg("blind")
		result := askInPieces(t, data, answers)
		if splits[result] == nil {
			results = append(results, result)
		}
		splits[result] = append(splits[result], variant.name)
	}
	if len(results) == 1 {
		return results[0]
	}
	text := ""
	for _, result := range results {
		text += "split at " + strings.Join(splits[result], " ") + ":\n" + result
	}
	return text
}

// newPieceAnswers returns the answers of a case.
func newPieceAnswers(t *testing.T, data *datadriven.TestData) []*pieceAnswer {
	var answers []*pieceAnswer
	for i, part := range strings.Split("\n"+data.Input, "\n--") {
		answer := &pieceAnswer{status: "200 OK", header: "Content-Type: text/event-stream", framing: "none", end: "whole", blind: true}
		for _, arg := range data.CmdArgs {
			if i >= len(arg.Vals) {
				continue
			}
			switch arg.Key {
			case "framing":
				answer.framing = arg.Vals[i]
			case "end":
				answer.end = arg.Vals[i]
			case "header":
				answer.header = strings.NewReplacer("_", " ", "|", "\r\n").Replace(arg.Vals[i])
			case "status":
				answer.status = strings.ReplaceAll(arg.Vals[i], "_", " ")
			}
		}
		for line := range strings.SplitSeq(strings.TrimSpace(part), "\n") {
			line, answer.cut = strings.CutSuffix(line, "CUT")
			event, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatal(err)
			}
			answer.events = append(answer.events, event)
		}
		answers = append(answers, answer)
	}
	return answers
}

// askInPieces sends a request to a gateway with three upstreams and returns the response.
func askInPieces(t *testing.T, data *datadriven.TestData, answers []*pieceAnswer) string {
	upstream := &pieceUpstream{answers: answers, received: newReceivedBytes()}
	resumable, protocol, header := true, "HTTP/1.1", ""
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "once":
			resumable = false
		case "protocol":
			protocol = arg.Vals[0]
		case "last":
			header = "Last: " + arg.Vals[0] + "\r\nOrigin: earlier\r\n"
		case "raw":
			header = "Connection: close\r\n"
		}
	}
	table := fleet.NewTable("z")
	for i := range 3 {
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
				go upstream.serve(conn)
			}
		}()
		table.SetInstance(clock.Now(), core.Instance{
			Upstream: core.UpstreamID(fmt.Sprint("u", i)), Born: 1, Sequence: 1, Service: "s", Software: "v1", Address: listener.Addr().String(), Zone: "z", Slots: 4,
		})
	}
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/", Kind: core.Stream, Resumable: resumable, Timeout: 10 * time.Second, MaxAttempts: 3,
		Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	gateway, closeGateway := New(Options{
		Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard),
		Origins: knownOrigins{"earlier", origin.Origin{Service: "s", Software: "v1", Send: 1}},
	})
	defer closeGateway()
	server := httptest.NewUnstartedServer(truncation.Handler(gateway))
	server.Config.ConnContext = truncation.ConnContext
	server.Start()
	defer server.Close()
	if data.HasArg("stop") {
		now := time.Now()
		defer gateway.Stop(now.Add(stopAfter), now.Add(stopAfter))()
	}
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST / "+protocol+"\r\nHost: h.example\r\nId: r1\r\n"+header+"Content-Length: 0\r\n\r\n")
	read := readInPieces
	if data.HasArg("raw") {
		read = readRaw
	}
	result := read(conn, upstream.received)
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	for _, send := range upstream.sends {
		result += "send: " + send + "\n"
	}
	return result
}

// readInPieces reads a response as it arrives.
func readInPieces(conn net.Conn, received *receivedBytes) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no response\n"
	}
	defer response.Body.Close()
	var body []byte
	chunk := make([]byte, 4096)
	for err == nil {
		var count int
		count, err = response.Body.Read(chunk)
		body = append(body, chunk[:count]...)
		received.add(count)
	}
	return fmt.Sprintf("%d %q whole=%t\n", response.StatusCode, body, errors.Is(err, io.EOF))
}

// readRaw reads all bytes from a connection, and removes the headers that vary.
func readRaw(conn net.Conn, received *receivedBytes) string {
	reader := bufio.NewReader(conn)
	var out strings.Builder
	inBody := false
	for {
		line, err := reader.ReadString('\n')
		if name, _, _ := strings.Cut(line, ": "); name != "Date" {
			out.WriteString(line)
		}
		if inBody {
			received.add(len(line))
		}
		inBody = inBody || line == "\r\n"
		if err != nil {
			end := "closed"
			if !errors.Is(err, io.EOF) {
				end = "reset"
			}
			return fmt.Sprintf("%q %s\n", out.String(), end)
		}
	}
}
