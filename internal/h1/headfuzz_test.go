package h1

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"testing"
)

// statusLine is a status line of RFC 9112, section 4, that may have more than one space before the
// status and none behind it.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([0-9]{3})(?: [^\n]*)?\r?\n`)

// finalStatus returns the status of the first response in the input that is not informational, as
// RFC 9110, section 15, has it, and false if there is none.
func finalStatus(input []byte) (int, bool) {
	for {
		match := statusLine.FindSubmatchIndex(input)
		if match == nil {
			return 0, false
		}
		status, _ := strconv.Atoi(string(input[match[2]:match[3]]))
		if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
			return 0, false
		}
		if status >= http.StatusOK {
			return status, true
		}
		input = input[match[1]:]
		for {
			line, rest, found := bytes.Cut(input, []byte("\n"))
			if !found {
				return 0, false
			}
			input = rest
			if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
				break
			}
		}
	}
}

// FuzzResponseHead guards against a response with a status that RFC 9110 does not define, or of
// another version, that is taken for one, and against one whose head is skipped or misread.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 099 None\n\nHTTP/1.1 200 OK\n\n",
		"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 404 No\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1  599\r\n\r\n", "HTTP/1.1 101 S\r\n\r\n", "HTTP/1.1 700 N\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		source := memoryConn{input: bytes.NewReader(input)}
		conn := &Conn{Conn: source, reader: bufio.NewReaderSize(source, readBufferSize)}
		response, err := conn.ReadResponse(http.MethodGet) //nolint:bodyclose // the connection is in memory
		if err != nil {
			return
		}
		status, ok := finalStatus(input)
		if !ok || status != response.StatusCode {
			t.Fatalf("status %d was accepted, want %d (valid: %t)", response.StatusCode, status, ok)
		}
	})
}
