package core

import "time"

// Resident is an adapter version that is loaded on an engine.
type Resident struct {
	AdapterVersion
	// Running is the number of requests in the engine's batch that use it.
	Running int
}

// AnnouncementLease is the time after an announcement during which an upstream
// receives new calls. It implements rule R6 of the design document.
const AnnouncementLease = 3 * time.Second

// Announcement is the status report that an upstream sends about once a second.
type Announcement struct {
	Upstream    UpstreamID
	Incarnation Incarnation
	Group       GroupID
	// Address is an IP address and a port.
	Address string
	// Software is the version of the upstream's software, empty if unknown. An answer is not
	// continued at an engine whose version is unknown.
	Software SoftwareVersion
	Leaving  bool
	// ChecksFencing, Resumes and ExportsCache are optional features of an engine:
	// it rejects outdated fencing tokens, resumes answers at an offset, and reports
	// changes of its prefix cache.
	ChecksFencing bool
	Resumes       bool
	ExportsCache  bool
	// Slots is the number of adapter versions that the engine can keep loaded.
	Slots int
	// BatchSize is the number of requests that the engine can run concurrently.
	BatchSize int
	Resident  []Resident
	// Queued and Running are the numbers of waiting and running requests when the
	// load was measured.
	Queued  int
	Running int
	// ReportAge is the time between that measurement and the announcement.
	ReportAge time.Duration
	// LastFencing is the largest fencing token that the engine has seen.
	LastFencing FencingToken
}

// Upper limits enforced by Announcement.Check, so that implausible values are
// rejected before they are stored.
const (
	maxSlots          = 4096
	maxBatchSize      = 65536
	maxSoftwareLength = 64
)

// Check returns all faults of the announcement, and nil if it is valid.
func (announcement Announcement) Check() []ValidationError {
	var faults []ValidationError
	addIf := func(invalid bool, place, reason string) {
		if invalid {
			faults = append(faults, ValidationError{place, reason})
		}
	}
	addIf(announcement.Upstream == "", "Upstream", "empty")
	addIf(announcement.Incarnation == "", "Incarnation", "empty")
	addIf(announcement.Address == "", "Address", "empty")
	addIf(len(announcement.Software) > maxSoftwareLength, "Software", "longer than 64 bytes")
	addIf(announcement.Group.Zone == "", "Zone", "empty")
	addIf(announcement.Group.Name == "", "Name", "empty")
	addIf(announcement.Group.Kind != EngineGroup && announcement.Group.Kind != ServiceGroup, "Kind", "neither engine nor service")
	if announcement.Group.Kind == EngineGroup {
		addIf(announcement.Slots < 1 || announcement.Slots > maxSlots, "Slots", "not in 1..4096")
		addIf(announcement.BatchSize < 1 || announcement.BatchSize > maxBatchSize, "BatchSize", "not in 1..65536")
		addIf(len(announcement.Resident) > announcement.Slots, "Resident", "more than Slots")
	}
	addIf(announcement.Queued < 0, "Queued", "negative")
	addIf(announcement.Running < 0, "Running", "negative")
	addIf(announcement.ReportAge < 0, "ReportAge", "negative")
	return faults
}
