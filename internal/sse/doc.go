// Package sse splits streams of server-sent events into events. It follows the line ends of the
// format: LF, CR LF and CR, also mixed in one stream.
package sse
