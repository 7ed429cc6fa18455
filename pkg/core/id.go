package core

import (
	"fmt"
	"strings"
)

// CustomerID identifies a customer that holds a plan.
type CustomerID string

// PlanID identifies a plan.
type PlanID string

// AdapterID identifies a LoRA adapter regardless of its version.
type AdapterID string

// Version identifies one version of an adapter.
type Version string

// ModelID identifies a base model.
type ModelID string

// ServiceID identifies a service.
type ServiceID string

// VMID identifies a VM.
type VMID string

// ZoneID identifies an availability zone.
type ZoneID string

// UpstreamID identifies an upstream: a model engine or one process of a plain
// service.
type UpstreamID string

// Incarnation identifies one run of a process. Each restart generates a new value.
type Incarnation string

// AttemptID identifies one attempt of one request.
type AttemptID string

// IdempotencyKey is the key that a caller sends with a call that must not run
// more than once.
type IdempotencyKey string

// Fingerprint is a hash of a request's content. It depends neither on identifiers
// that the caller put into the request nor on the VM that received it.
type Fingerprint string

// PartID identifies a part of a prompt. Requests whose prompts begin alike share parts.
type PartID string

// KeyHash is the lower-case hexadecimal SHA-256 of a bearer key.
type KeyHash string

// ConfigNumber is the sequence number of an accepted configuration change. Zero
// means that no configuration has been accepted yet.
type ConfigNumber uint64

// FencingToken orders the successive owners of an upstream group. A later owner
// has a larger token.
type FencingToken uint64

// ShardID identifies a replicated log. Shard 0 stores configuration and ownership.
type ShardID uint32

// AdapterVersion is one version of an adapter, the unit that engines load.
type AdapterVersion struct {
	Adapter AdapterID
	Version Version
}

// String returns "adapter@version", or only the adapter if the version is empty.
func (av AdapterVersion) String() string {
	if av.Version == "" {
		return string(av.Adapter)
	}
	return string(av.Adapter) + "@" + string(av.Version)
}

// IsZero reports whether the adapter is empty.
func (av AdapterVersion) IsZero() bool {
	return av.Adapter == ""
}

// ParseAdapterVersion parses "adapter" or "adapter@version". The version of the
// result is empty if the text contains no "@". It returns an error if the adapter
// is empty, if the version after "@" is empty, or if there is more than one "@".
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

// GroupKind is the kind of upstream that a group consists of.
type GroupKind uint8

// Kinds of upstream groups.
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

// GroupID identifies the group of all upstreams of one base model, or of one plain
// service, in one availability zone. At most one VM of the zone owns a group at a
// time.
type GroupID struct {
	Zone ZoneID
	Kind GroupKind
	Name string
}

// String returns "zone/kind/name".
func (id GroupID) String() string {
	return string(id.Zone) + "/" + id.Kind.String() + "/" + id.Name
}
