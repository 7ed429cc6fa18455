// Package gateway forwards callers' requests to upstreams. Each entry VM sends its own
// requests; the owner of a zone's engines only says which engine holds what.
//
// A request goes to one upstream after another until one has answered, within the rules of
// its route: what may have run is repeated only where the route allows it. What is
// answered with a refusal has not run at any upstream.
package gateway
