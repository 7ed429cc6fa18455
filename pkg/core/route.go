package core

import "time"

// RouteName identifies a route of the route table.
type RouteName string

// Revision is the version number of an adapter's weights; newer weights have a larger
// number. Zero means that no version was specified.
type Revision uint64

// SoftwareVersion identifies the software that an upstream runs, as opposed to its weights.
// What two versions write for one request does not fit together. Empty means unknown.
type SoftwareVersion string

// Weight is the relative share of a route's requests that one target receives.
type Weight float64

// RouteKind states whether the requests of a route may run more than once.
type RouteKind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered with a sequence of numbered events. They run at most
	// once, unless the route is resumable.
	Stream
)

// String returns the name of the kind, and "unknown" for any other value.
func (kind RouteKind) String() string {
	switch kind {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// RouteTarget is one of the services that share the requests of a route.
type RouteTarget struct {
	Service ServiceID
	Weight  Weight
}

// Route defines which requests it applies to, the services that receive them, and the
// rules for time limits and retries.
type Route struct {
	Name RouteName
	// Host is matched case-insensitively. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable is set if another upstream may continue a broken stream after the last
	// delivered event.
	Resumable bool
	Targets   []RouteTarget
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective: the time within which the answer, or the first
	// event of a stream, should arrive.
	Objective time.Duration
	// MaxAttempts limits the number of times that one request may run; zero allows one
	// run.
	MaxAttempts int
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Public is set if requests need no key although the route table has workspaces.
	Public bool `json:",omitempty"`
}

// Repeatable reports whether a request of the route may be sent again after it may
// have run.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// BaseModel is a base model that the engines of a service can load.
type BaseModel struct {
	Model ModelID
	// Adapters is the number of adapters of the model; zero if it has none.
	Adapters int
	// Size and AdapterSize are the engine memory taken by the weights of the model and of
	// one adapter.
	Size        Bytes
	AdapterSize Bytes
	// LoadTime is the time that a load from the weight store takes.
	LoadTime time.Duration
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	Models []BaseModel
	// Memory is the memory for weights of one engine, and Places the number of adapters
	// that it can keep loaded.
	Memory Bytes
	Places int
	// LoadRate limits the loads from the weight store by all engines together.
	LoadRate LoadsPerSecond
}

// ServiceSpec describes the upstreams of one service.
type ServiceSpec struct {
	Service ServiceID
	// MaxConns limits the connections from all entry VMs together to one upstream.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// CallerLimits limits the size of requests and the time that callers may take.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is the complete routing configuration. The operator assigns its number; the
// table with the highest number is in force. The zero value has no routes.
type RouteTable struct {
	Number   ConfigNumber
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
	// Workspaces holds who may call and how much. If it is empty, requests need no key.
	Workspaces []Workspace `json:",omitempty"`
}

// Service returns the description of a service, and false if the table does not
// contain it.
func (table *RouteTable) Service(id ServiceID) (ServiceSpec, bool) {
	for _, service := range table.Services {
		if service.Service == id {
			return service, true
		}
	}
	return ServiceSpec{}, false
}

// NamedServices returns the services that the table describes or that its routes lead to.
func (table *RouteTable) NamedServices() map[ServiceID]bool {
	services := make(map[ServiceID]bool)
	for _, service := range table.Services {
		services[service.Service] = true
	}
	for _, route := range table.Routes {
		for _, target := range route.Targets {
			services[target.Service] = true
		}
	}
	return services
}

// WeightKey identifies weights that an engine loads: a base model, or one of its
// adapters.
type WeightKey struct {
	Model ModelID
	// Adapter is empty for the base model itself.
	Adapter AdapterID
}

// String returns "model" or "model/adapter".
func (key WeightKey) String() string {
	if key.Adapter == "" {
		return string(key.Model)
	}
	return string(key.Model) + "/" + string(key.Adapter)
}

// Valid reports whether model and adapter have names that can be stored and sent to every VM.
func (key WeightKey) Valid() bool {
	return isName(string(key.Model)) && (key.Adapter == "" || isName(string(key.Adapter)))
}

// ModelResidency is a base model in an engine's memory and the loaded revisions of its
// adapters.
type ModelResidency struct {
	Model    ModelID
	Adapters map[AdapterID]Revision
}

// Instance is the last known state of an upstream.
type Instance struct {
	Upstream UpstreamID
	// Born is the start time of the process in Unix milliseconds. It distinguishes
	// successive processes with the same ID and orders upstreams that used the same
	// address.
	Born int64
	// Sequence increases with each announcement of one process.
	Sequence uint64
	Service  ServiceID
	// Software is the version of the software that the process runs, empty if unknown.
	Software SoftwareVersion
	Address  string
	Zone     ZoneID
	// Slots is the number of requests that it can run concurrently.
	Slots   int
	Leaving bool
	// Gone is set once the upstream has deregistered or another upstream uses its
	// address.
	Gone bool
	// Silent is set while announcements are overdue.
	Silent bool
	Models []ModelResidency
}
