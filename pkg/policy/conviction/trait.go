package conviction

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Trait is a property of a request's content that other requests may share.
type Trait string

// Request holds the traits of one request.
type Request struct {
	// Content is the trait of the whole content. Only repeats of the request have it too.
	Content Trait
	// Parts are the traits of the parts of the prompt, in order, without the last one.
	Parts []Trait
}

// NewRequest returns the traits of a request. The last part of a prompt belongs to the
// request itself or to its session, and so says no more than the content.
func NewRequest(content core.Fingerprint, parts []core.PartID) Request {
	request := Request{Content: Trait("content:" + content)}
	for _, part := range parts[:max(0, len(parts)-1)] {
		request.Parts = append(request.Parts, Trait("part:"+part))
	}
	return request
}

// traits returns all traits of the request.
func (request Request) traits() []Trait {
	return append(request.Parts[:len(request.Parts):len(request.Parts)], request.Content)
}

// Has reports whether the request has a trait.
func (request Request) Has(trait Trait) bool {
	return request.Content == trait || slices.Contains(request.Parts, trait)
}

// Evidence is a trait of a request that was suspect when an upstream process ended.
type Evidence struct {
	Trait Trait
	// Passed is set if the reporting VM has seen the trait pass, and PassAge is the time
	// since the last time.
	Passed  bool
	PassAge time.Duration
}

// Suspect holds the evidence of one request.
type Suspect struct {
	Content Evidence
	// Parts are in the order of the prompt.
	Parts []Evidence
}

// Crash is the report of one entry VM about the end of an upstream process. Several VMs
// report the same end.
type Crash struct {
	Upstream core.UpstreamID
	Born     int64
	// Age is the time since the end.
	Age      time.Duration
	Suspects []Suspect
}
