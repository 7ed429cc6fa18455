// Package gateway forwards callers' requests to upstreams. Each entry VM sends its
// requests to the upstreams directly; the owner of a zone's engines only states which
// engine holds which weights.
//
// A request is sent to one upstream after another until one has answered. A request that
// may have run is sent again only if its route allows it. A request that is answered with
// status 503 has not run at any upstream.
package gateway
