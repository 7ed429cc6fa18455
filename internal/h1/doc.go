// Package h1 speaks HTTP/1.1 to upstreams over connections that it keeps itself. The
// client of net/http repeats some requests by itself on a connection that was closed in
// between, drops bytes that follow an answer, and dials more connections than it needs;
// here every send is the caller's decision.
package h1
