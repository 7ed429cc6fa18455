package gateway

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only, see RFC 9110, section 7.6.1.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
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
