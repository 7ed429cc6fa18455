// Package abuse opens connections to one port like clients that nobody controls: large bodies
// that stop short of their end, heads with very many fields, pipelined requests whose responses
// nobody reads, and clients that send or read slowly or stop half-way.
package abuse
