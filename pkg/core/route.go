package core

import "time"

// RouteName names a route of the operator's route table.
type RouteName string

// Revision numbers the versions of an adapter's weights; a larger one is newer. Zero
// means that no version was named.
type Revision uint64

// Weight is the share of a target among the targets of its route.
type Weight float64

// RouteKind tells what may be done with the requests of a route.
type RouteKind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered with numbered events. They run at most once, unless
	// the route is resumable.
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

// RouteTarget is one of the services among which a route divides its requests.
type RouteTarget struct {
	Service ServiceID
	Weight  Weight
}

// Route says where requests go and what may be done with them.
type Route struct {
	Name RouteName
	// Host is compared without regard to case. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued at another upstream behind the last event.
	Resumable bool
	Targets   []RouteTarget
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, that earns its full
	// worth.
	Objective time.Duration
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Rank orders the routes by urgency; 0 is the most urgent.
	Rank int
}

// Repeatable reports whether a request that may have run can be sent again.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// BaseModel is a base model that the engines of a service can hold.
type BaseModel struct {
	Model ModelID
	// Adapters is the number of adapters of the model; zero if it has none.
	Adapters int
	// Size and AdapterSize count what the weights take of an engine's memory.
	Size        Bytes
	AdapterSize Bytes
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	Models []BaseModel
	// Memory bounds the weights, and Places the adapters, of one engine.
	Memory Bytes
	Places int
	// LoadRate bounds the loads from the weight store over all engines.
	LoadRate LoadsPerSecond
}

// ServiceSpec describes the upstreams of one service.
type ServiceSpec struct {
	Service ServiceID
	// MaxConns bounds the connections to one upstream from all entry VMs together.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is the operator's whole configuration of routes. The operator numbers
// tables; the highest number is in force. The zero value has no routes.
type RouteTable struct {
	Number   ConfigNumber
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
}

// Service returns the description of a service, and false if the table has none.
func (table *RouteTable) Service(id ServiceID) (ServiceSpec, bool) {
	for _, service := range table.Services {
		if service.Service == id {
			return service, true
		}
	}
	return ServiceSpec{}, false
}

// WeightKey names what an engine loads: a base model, or one of its adapters.
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

// ModelResidency is a base model in an engine's memory with its adapters.
type ModelResidency struct {
	Model    ModelID
	Adapters map[AdapterID]Revision
}

// Instance is what an upstream last said about itself.
type Instance struct {
	Upstream UpstreamID
	// Born is the time of its start in Unix milliseconds. It tells apart two lives
	// under one name, and orders two upstreams that used one address.
	Born int64
	// Sequence grows with each announcement of one life.
	Sequence uint64
	Service  ServiceID
	Address  string
	Zone     ZoneID
	// Slots is the number of requests that it runs at once.
	Slots   int
	Leaving bool
	// Gone is set after it has deregistered.
	Gone bool
	// Silent is set while its announcements are missing.
	Silent bool
	Models []ModelResidency
}
