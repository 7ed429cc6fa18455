// Package h1 is an HTTP/1.1 client with a connection pool for upstreams. The client of
// net/http is not used because it retries some requests by itself if a reused connection
// was closed, drops bytes that follow a response, and dials more connections than it
// needs. In this package a request is sent only when the caller of the package does so.
package h1
