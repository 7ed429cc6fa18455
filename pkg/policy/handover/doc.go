// Package handover decides which entry VM takes a request over from one that does not reach the
// upstreams of the request's service.
package handover
