// Package throttle keeps the requests that all VMs together send to an upstream within the
// rate that the upstream states. One VM holds a Table for the upstreams of a zone and grants
// each request its turn; a VM that cannot reach it takes its own share from a Bucket.
package throttle
