package gateway

import (
	"net/http"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// hopHeaders concern one connection only, see RFC 9110, section 7.6.1.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headBytes returns the size of the head of a request as its caller may have sent it.
func headBytes(request *http.Request) core.Bytes {
	const separators = len(": \r\n")
	size := len(request.Method) + len(request.RequestURI) + len(" HTTP/1.1\r\n") + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return core.Bytes(size)
}

// EndToEnd returns the headers that are passed on: all but those that concern one
// connection, the length of the body, and those that Connection names.
func EndToEnd(header http.Header) http.Header {
	passed := make(http.Header, len(header)+4)
	for name, values := range header {
		passed[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(passed, name)
	}
	delete(passed, "Content-Length")
	delete(passed, "Expect")
	return passed
}

func copyHeader(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
}
