package gateway

import (
	"net/http"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// hopHeaders are the hop-by-hop headers, see RFC 9110, section 7.6.1, and those between entry VMs.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	declinedHeader,          // an upstream does not decline for the VM that passes its answer on
	handoverWorkspaceHeader, // a caller does not name its workspace itself
	handoverSoftwareHeader,  // nor what other VMs have sent
}

// headSize returns the size in bytes of the HTTP/1.1 request line and headers of a
// request, recomputed from the parsed request.
func headSize(request *http.Request) core.Bytes {
	const separators = len(": \r\n")
	size := len(request.Method) + len(request.RequestURI) + len(" HTTP/1.1\r\n") + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return core.Bytes(size)
}

// EndToEnd returns the headers that are forwarded: all but the hop-by-hop headers, those
// that Connection names, Content-Length and Expect. It does not modify header.
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

// copyEndToEnd sets the forwarded headers of from in to.
func copyEndToEnd(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
}
