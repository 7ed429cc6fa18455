package audit

import "github.com/dandelionring/dandelionring/pkg/core"

// Event tells what a record states.
type Event string

// The events of a request's life.
const (
	// EventStart is on disk before the attempt reaches an upstream.
	EventStart Event = "start"
	// EventEnd follows when the attempt has ended.
	EventEnd Event = "end"
	// EventRefused states a refusal before any attempt.
	EventRefused Event = "refused"
	// EventRoutes states a route table that was committed.
	EventRoutes Event = "routes"
)

// RouteTargets holds the services that each route of a table allows.
type RouteTargets map[core.RouteName][]core.ServiceID

// TargetsOf returns the services that the routes of a table allow.
func TargetsOf(table core.RouteTable) RouteTargets {
	targets := make(RouteTargets, len(table.Routes))
	for _, route := range table.Routes {
		for _, target := range route.Targets {
			if target.Weight > 0 {
				targets[route.Name] = append(targets[route.Name], target.Service)
			}
		}
	}
	return targets
}

// Record is one entry of the audit log.
type Record struct {
	// VM, Incarnation and Sequence name the record: the sequence starts at 1 and
	// has no gaps within one incarnation of a VM. The auditor sets all three.
	VM          core.VMID
	Incarnation core.Incarnation
	Sequence    uint64
	// At is in Unix milliseconds of the VM.
	At         int64
	Event      Event
	Request    core.RequestID
	Attempt    core.AttemptID
	Customer   core.CustomerID
	Plan       core.PlanID
	Config     core.ConfigNumber
	ConfigHash string
	Adapter    core.AdapterID `json:",omitempty"`
	Version    core.Version   `json:",omitempty"`
	Service    core.ServiceID `json:",omitempty"`
	Call       string         `json:",omitempty"`
	// Route is set for a run that a route table allowed, and not the lists of plans.
	Route core.RouteName `json:",omitempty"`
	// Targets holds the services that each route of a committed table allowed.
	Targets  RouteTargets     `json:",omitempty"`
	Upstream core.UpstreamID  `json:",omitempty"`
	Zone     core.ZoneID      `json:",omitempty"`
	Outcome  string           `json:",omitempty"`
	Code     core.RefusalCode `json:",omitempty"`
	Whole    bool             `json:",omitempty"`
	Tokens   core.Tokens      `json:",omitempty"`
	// FirstByteMicros and StallMicros are durations of the attempt.
	FirstByteMicros int64 `json:",omitempty"`
	StallMicros     int64 `json:",omitempty"`
	TotalMicros     int64 `json:",omitempty"`
	// LongestGapMicros is the longest time between two tokens.
	LongestGapMicros int64 `json:",omitempty"`
	// Isolated is set while the VM had no contact to a majority.
	Isolated bool `json:",omitempty"`
	// Buffered is set if no disk could be reached, so that the record was in the
	// memory of up to two VMs before it was on a disk.
	Buffered bool `json:",omitempty"`
}
