package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
)

// Request is a request from a caller. Exactly one of Wanted and Service is set.
type Request struct {
	Key core.KeyHash
	// Wanted is the adapter of a model request; its version may be empty.
	Wanted         core.AdapterVersion
	Service        core.ServiceID
	Method         string
	Path           string
	Query          string
	Headers        []core.Header
	Body           []byte
	Stream         bool
	IdempotencyKey core.IdempotencyKey
	Prefixes       []uint64
}

// group returns the kind and the name of the upstream groups that can serve the
// request.
func (request Request) group(pin core.Pin) (core.GroupKind, string) {
	if request.Service != "" {
		return core.ServiceGroup, string(request.Service)
	}
	return core.EngineGroup, string(pin.Model)
}

// path returns the path that is sent to the upstream, including the query.
func (request Request) path() string {
	if request.Query == "" {
		return request.Path
	}
	return request.Path + "?" + request.Query
}

// fingerprint returns a hash that identifies the request when it is sent again.
func (request Request) fingerprint(customer core.CustomerID, adapter core.AdapterID) core.Fingerprint {
	return quarantine.Fingerprint(quarantine.Content{
		Customer: customer, Service: request.Service, Adapter: adapter,
		Method: request.Method, Path: request.path(), Body: request.Body,
	})
}

// contentHash returns the SHA-256 of the service, method, path, query and body, in
// hexadecimal. An idempotency key is valid for one such hash only.
func (request Request) contentHash() core.Fingerprint {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %q\n", request.Service, request.Method, request.path())
	hash.Write(request.Body)
	return core.Fingerprint(hex.EncodeToString(hash.Sum(nil)))
}

// Answer holds the metadata that the caller receives with the answer.
type Answer struct {
	Request core.RequestID
	Attempt core.AttemptID
	Pin     core.Pin
	Config  core.ConfigNumber
	// ConfigAge is the age of the configuration while the VM has no contact with a
	// majority, and zero otherwise.
	ConfigAge time.Duration
	Head      core.Head
	// Replayed is set if the answer was recorded for an earlier call.
	Replayed bool
}

// restarter is a Responder that buffers the answer until it is complete. Restart
// discards what was buffered.
type restarter interface {
	Restart()
}

// Responder passes an answer to the caller. Head is called once, before the first
// call of Data.
type Responder interface {
	Head(answer Answer) error
	Data(data []byte) error
}
