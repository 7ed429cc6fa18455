package core

import (
	"fmt"
	"strings"
)

// CustomerID names a customer that holds a plan.
type CustomerID string

// PlanID names a plan.
type PlanID string

// AdapterID names a LoRA adapter without its version.
type AdapterID string

// Version names one version of an adapter.
type Version string

// ModelID names a base model.
type ModelID string

// ServiceID names a plain service.
type ServiceID string

// VMID names an entry VM.
type VMID string

// ZoneID names an availability zone.
type ZoneID string

// UpstreamID names an upstream: a model engine or one process of a plain service.
type UpstreamID string

// Incarnation distinguishes the runs of one process. A restart draws a new one.
type Incarnation string

// AttemptID names one attempt of one request.
type AttemptID string

// IdempotencyKey is the caller's key for a call that may not be repeated.
type IdempotencyKey string

// Fingerprint is a hash of a request's content that does not depend on the
// caller's identifiers or on the VM that received it.
type Fingerprint string

// KeyHash is the lower-case hexadecimal SHA-256 of a bearer key.
type KeyHash string

// ConfigNumber numbers accepted changes of the lists. Zero means that no list
// was accepted yet.
type ConfigNumber uint64

// FencingToken orders the owners of an upstream group. A larger token is later.
type FencingToken uint64

// ShardID names a replicated log. Shard 0 holds configuration and ownership.
type ShardID uint32

// AdapterVersion is an adapter at one version, the unit that engines load.
type AdapterVersion struct {
	Adapter AdapterID
	Version Version
}

// String returns "adapter@version", or the adapter alone if the version is empty.
func (av AdapterVersion) String() string {
	if av.Version == "" {
		return string(av.Adapter)
	}
	return string(av.Adapter) + "@" + string(av.Version)
}

// IsZero reports whether av names no adapter.
func (av AdapterVersion) IsZero() bool {
	return av.Adapter == ""
}

// ParseAdapterVersion parses "adapter" or "adapter@version". The version of the
// result is empty if the text names none. It returns an error if a part is empty
// or if there is more than one "@".
func ParseAdapterVersion(text string) (AdapterVersion, error) {
	adapter, version, found := strings.Cut(text, "@")
	if adapter == "" {
		return AdapterVersion{}, fmt.Errorf("model %q names no adapter", text)
	}
	if found && (version == "" || strings.Contains(version, "@")) {
		return AdapterVersion{}, fmt.Errorf("model %q names no valid version", text)
	}
	return AdapterVersion{Adapter: AdapterID(adapter), Version: Version(version)}, nil
}

// GroupKind tells what the upstreams of a group are.
type GroupKind uint8

// The kinds of upstream groups.
const (
	EngineGroup GroupKind = iota + 1
	ServiceGroup
)

// String returns "engine" or "service", or "unknown" for any other value.
func (kind GroupKind) String() string {
	switch kind {
	case EngineGroup:
		return "engine"
	case ServiceGroup:
		return "service"
	default:
		return "unknown"
	}
}

// GroupID names all upstreams of one base model, or of one plain service, in one
// availability zone. One VM of the zone owns a group at a time.
type GroupID struct {
	Zone ZoneID
	Kind GroupKind
	Name string
}

// String returns "zone/kind/name".
func (id GroupID) String() string {
	return string(id.Zone) + "/" + id.Kind.String() + "/" + id.Name
}
