package rig

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Play is a play: a deployment, its upstreams and callers, and the faults. It is read from a
// file of JSON.
type Play struct {
	// Seconds is the length of the play from the first request on. QuietSeconds at its end
	// have requests but no new faults.
	Seconds, QuietSeconds int
	Zones                 []Zone
	Services              []Service
	Routes                []Route
	// Rate is the number of new requests a second. Callers is the number of clients.
	Rate    float64
	Callers int
	// Adapters is the number of adapters of the engines' model.
	Model    core.ModelID
	Adapters int
	// Versions are the software versions of the upstreams, and Formats how they write their
	// answers. The upstreams of a service take them in turn.
	Versions []core.SoftwareVersion
	Formats  []Format
	// CrashingRepeats is how often requests that crash engines come.
	CrashingRepeats int
	// Faults are the weights of the kinds of faults, FaultMillis the mean time between two.
	Faults      map[FaultKind]int
	FaultMillis int
	Bounds      Bounds
}

// Zone is an availability zone with its VMs, and its upstreams by service.
type Zone struct {
	Zone      core.ZoneID
	Entries   int
	Controls  int
	Upstreams map[core.ServiceID]int
}

// Service is a service and the size of its upstreams.
type Service struct {
	Service core.ServiceID
	Engine  bool
	Spec    UpstreamSpec
}

// Route is a route and what its requests are like.
type Route struct {
	Route           core.RouteName
	Service         core.ServiceID
	Kind            RouteKind
	TimeoutMillis   int64
	DeadlineMillis  int64
	ObjectiveMillis int64
	MaxAttempts     int
	Priority        int
	// Retries is the number of further attempts of a caller.
	Retries int
	// Share is the weight of the route among all requests. Events is the mean number of
	// events of a stream.
	Share  int
	Events int
}

// Bounds are the figures of the deployment that its VMs are told.
type Bounds struct {
	Tolerate            int
	HeartbeatMillis     int
	ContactMillis       int
	AckMillis           int
	DrainMillis         int
	ApplyMillis         int
	CatchUpSeconds      float64
	RecoverySeconds     float64
	GraceSeconds        float64
	BudgetRatio         float64
	BudgetExtra         float64
	BudgetWindowSeconds float64
	EntryMemoryMB       int64
	ControlMemoryMB     int64
	ControlDiskMB       int64
}

// VM is a VM of the deployment.
type VM struct {
	Name    string
	Control bool
	Zone    core.ZoneID
	IP      string
	Ports   Ports
	// Seeds are the addresses of control VMs for operators.
	Seeds      []string
	FirstStart bool
	DataFolder string
}

// Ports are the ports of all VMs. Each VM has an IP number of its own.
type Ports struct {
	Caller, Ready, Control int
	// InnerFirst and InnerLast bound the ports for messages between VMs.
	InnerFirst, InnerLast int
}

// ReadPlay reads a play from a file.
func ReadPlay(path string) (*Play, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the play")
	}
	var play Play
	if err := json.Unmarshal(data, &play); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(play.Zones) == 0 || len(play.Services) == 0 || len(play.Routes) == 0 || len(play.Versions) == 0 || len(play.Formats) == 0 {
		return nil, errors.Errorf("%s: zones, services, routes, versions or formats are missing", path)
	}
	return &play, nil
}

func (play *Play) length() time.Duration { return time.Duration(play.Seconds) * time.Second }

// ServiceOf returns the service of a route after a number of changes of the configuration:
// each change moves the routes that are safe to another plain service.
func (play *Play) ServiceOf(route *Route, changes int) core.ServiceID {
	var plain []core.ServiceID
	own := 0
	for _, service := range play.Services {
		if service.Service == route.Service {
			own = len(plain)
		}
		if !service.Engine {
			plain = append(plain, service.Service)
		}
	}
	if route.Kind != Safe || len(plain) == 0 {
		return route.Service
	}
	return plain[(own+changes)%len(plain)]
}

// engineService returns whether the upstreams of a service are engines.
func (play *Play) engineService(service core.ServiceID) bool {
	for _, candidate := range play.Services {
		if candidate.Service == service {
			return candidate.Engine
		}
	}
	return false
}
