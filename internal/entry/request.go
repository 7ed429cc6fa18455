package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Request is one request of a caller. Either Wanted or Service is set.
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

// group returns the kind and the name of the upstream group that serves the request.
func (request Request) group(pin core.Pin) (core.GroupKind, string) {
	if request.Service != "" {
		return core.ServiceGroup, string(request.Service)
	}
	return core.EngineGroup, string(pin.Model)
}

// path returns the path with the query that the upstream gets.
func (request Request) path() string {
	if request.Query == "" {
		return request.Path
	}
	return request.Path + "?" + request.Query
}

// fingerprint hashes what the customer asked for, without identifiers that change
// when the request is sent again.
func (request Request) fingerprint(customer core.CustomerID) core.Fingerprint {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %q %q %q\n", customer, request.Service, request.Method, request.path(), request.Wanted.Adapter)
	hash.Write(request.Body)
	return core.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Answer is what the caller learns beside the bytes of the answer.
type Answer struct {
	Request core.RequestID
	Attempt core.AttemptID
	Pin     core.Pin
	Config  core.ConfigNumber
	// ConfigAge is the age of the configuration while the VM has no contact to a
	// majority; zero otherwise.
	ConfigAge time.Duration
	Head      core.Head
	// Replayed is set if the answer was recorded earlier.
	Replayed bool
}

// Responder passes an answer to the caller. Head is called once, before the first
// Data.
type Responder interface {
	Head(answer Answer) error
	Data(data []byte) error
}
