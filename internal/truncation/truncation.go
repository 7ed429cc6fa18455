// Package truncation makes an answer that breaks off recognisable to callers of HTTP/1.0, who
// see its end only by the end of their connection.
package truncation

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext stores a connection for Handler. It fits the ConnContext field of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is a connection of which the kernel can be told what its end looks like.
type lingerer interface {
	// SetLinger makes the connection end with a reset if seconds is 0, and in the usual way if
	// it is negative.
	SetLinger(seconds int) error
	Close() error
}

// Handler makes a connection of HTTP/1.0 end with a reset, also if the process is killed, unless
// handler returns from the request. A handler whose answer has broken off must panic with
// http.ErrAbortHandler.
func Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connKey{}).(lingerer)
		if request.ProtoAtLeast(1, 1) || !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		_ = conn.SetLinger(0)
		returned := false
		defer func() {
			if !returned {
				// The server would end a TLS connection in the regular way before it closes it.
				conn.Close()
			}
		}()
		handler.ServeHTTP(writer, request)
		returned = true
		_ = conn.SetLinger(-1)
	})
}
