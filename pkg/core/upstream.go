package core

import "time"

// Resident is one adapter version that an engine holds.
type Resident struct {
	AdapterVersion
	// Running is the number of requests in the engine's batch for it.
	Running int
}

// AnnouncementLease is the time after an announcement for which an upstream gets new
// work. It is rule R6 of the design page.
const AnnouncementLease = 3 * time.Second

// Announcement is what an upstream says about itself about once a second.
type Announcement struct {
	Upstream    UpstreamID
	Incarnation Incarnation
	Group       GroupID
	// Address is an IP number and a port.
	Address string
	Leaving bool
	// ChecksFencing, Resumes and ExportsCache state how the engine differs.
	ChecksFencing bool
	Resumes       bool
	ExportsCache  bool
	// Slots is the number of adapter versions that the engine can hold.
	Slots int
	// BatchSize is the number of requests that the engine runs at once.
	BatchSize int
	Resident  []Resident
	// Queued and Running describe the load when the report was made.
	Queued  int
	Running int
	// ReportAge is the age of the load report when it was sent.
	ReportAge time.Duration
	// LastFencing is the largest fencing token that the engine has seen.
	LastFencing FencingToken
}

// Faults of an announcement are refused so that absurd numbers reach no table.
const (
	maxSlots     = 4096
	maxBatchSize = 65536
)

// Check returns every fault of the announcement.
func (announcement Announcement) Check() []Fault {
	var faults []Fault
	add := func(bad bool, place, reason string) {
		if bad {
			faults = append(faults, Fault{place, reason})
		}
	}
	add(announcement.Upstream == "", "Upstream", "empty")
	add(announcement.Incarnation == "", "Incarnation", "empty")
	add(announcement.Address == "", "Address", "empty")
	add(announcement.Group.Zone == "", "Zone", "empty")
	add(announcement.Group.Name == "", "Name", "empty")
	add(announcement.Group.Kind != EngineGroup && announcement.Group.Kind != ServiceGroup, "Kind", "neither engine nor service")
	if announcement.Group.Kind == EngineGroup {
		add(announcement.Slots < 1 || announcement.Slots > maxSlots, "Slots", "not in 1..4096")
		add(announcement.BatchSize < 1 || announcement.BatchSize > maxBatchSize, "BatchSize", "not in 1..65536")
		add(len(announcement.Resident) > announcement.Slots, "Resident", "more than Slots")
	}
	add(announcement.Queued < 0, "Queued", "negative")
	add(announcement.Running < 0, "Running", "negative")
	add(announcement.ReportAge < 0, "ReportAge", "negative")
	return faults
}
