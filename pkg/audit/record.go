package audit

import "github.com/dandelionring/dandelionring/pkg/core"

// Event is the type of a record.
type Event string

// The event types.
const (
	// EventStart is written before the attempt is sent to an upstream.
	EventStart Event = "start"
	// EventEnd is written after the attempt has ended.
	EventEnd Event = "end"
	// EventRefused is written for a request that was refused before any attempt.
	EventRefused Event = "refused"
	// EventRoutes is written for a committed route table.
	EventRoutes Event = "routes"
)

// UnknownSoftware is the value of Record.Software for an upstream whose version is not known. It
// differs from none, so that the send of a stream to such an upstream replaces an earlier one of
// the request as the stream's origin.
const UnknownSoftware core.SoftwareVersion = "unknown"

// RouteTargets maps each route of a table to the services that it allows.
type RouteTargets map[core.RouteName][]core.ServiceID

// AllowedTargets returns the services that each route of a table allows, which are the
// targets with a positive weight.
func AllowedTargets(table core.RouteTable) RouteTargets {
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
	// VM, Incarnation and Sequence identify the record. The sequence starts at 1 and
	// has no gaps within one incarnation of a VM. The auditor sets all three.
	VM          core.VMID
	Incarnation core.Incarnation
	Sequence    uint64
	// At is the time by the clock of the VM, in Unix milliseconds.
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
	// Route is set if a route table, and not the plan's grant, allowed the run.
	Route core.RouteName `json:",omitempty"`
	// Workspace is the workspace of the caller, set for EventStart if the route table has
	// workspaces.
	Workspace core.WorkspaceID `json:",omitempty"`
	// Targets is set for EventRoutes: the services that each route of the table allows.
	Targets  RouteTargets    `json:",omitempty"`
	Upstream core.UpstreamID `json:",omitempty"`
	// Software is the version of the upstream's software, or UnknownSoftware. It is set for the
	// sends of streams, which may be continued at that version only.
	Software core.SoftwareVersion `json:",omitempty"`
	Zone     core.ZoneID          `json:",omitempty"`
	Outcome  string               `json:",omitempty"`
	Code     core.RefusalCode     `json:",omitempty"`
	Whole    bool                 `json:",omitempty"`
	Tokens   core.Tokens          `json:",omitempty"`
	// FirstByteMicros, StallMicros and TotalMicros are durations of the attempt in
	// microseconds.
	FirstByteMicros int64 `json:",omitempty"`
	StallMicros     int64 `json:",omitempty"`
	TotalMicros     int64 `json:",omitempty"`
	// LongestGapMicros is the longest time between two tokens, in microseconds.
	LongestGapMicros int64 `json:",omitempty"`
	// Isolated is set if the VM had no contact with a majority at that time.
	Isolated bool `json:",omitempty"`
	// Buffered is set if no disk could be reached, so that the record was held in the
	// memory of one or two VMs before it was written to a disk.
	Buffered bool `json:",omitempty"`
}
