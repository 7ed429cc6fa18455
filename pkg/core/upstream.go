package core

import (
	"fmt"
	"time"
)

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
	// maxAnnouncedCalls bounds the calls that an upstream reports, and maxReportAge the age of
	// the report.
	maxAnnouncedCalls = 1 << 20
	maxReportAge      = time.Hour
)

// Check returns all faults of the announcement, and nil if it is valid.
func (announcement Announcement) Check() []ValidationError {
	var faults []ValidationError
	addIf := func(invalid bool, place, reason string) {
		if invalid {
			faults = append(faults, ValidationError{place, reason})
		}
	}
	const notToken, notName = "empty, longer than 128 bytes or not printable ASCII", "empty, longer than 128 bytes or not text"
	addIf(!isToken(string(announcement.Upstream)), "Upstream", notToken)
	addIf(!isToken(string(announcement.Incarnation)), "Incarnation", notToken)
	addIf(!isToken(announcement.Address), "Address", notToken)
	addIf(len(announcement.Software) > maxSoftwareLength, "Software", "longer than 64 bytes")
	addIf(!isName(string(announcement.Group.Zone)), "Zone", notName)
	addIf(!isName(announcement.Group.Name), "Name", notName)
	addIf(announcement.Group.Kind != EngineGroup && announcement.Group.Kind != ServiceGroup, "Kind", "neither engine nor service")
	if announcement.Group.Kind == EngineGroup {
		addIf(announcement.Slots < 1 || announcement.Slots > maxSlots, "Slots", "not in 1..4096")
		addIf(announcement.BatchSize < 1 || announcement.BatchSize > maxBatchSize, "BatchSize", "not in 1..65536")
		addIf(len(announcement.Resident) > announcement.Slots, "Resident", "more than Slots")
	}
	for i, resident := range announcement.Resident {
		if !isName(string(resident.Adapter)) || !isName(string(resident.Version)) || resident.Running < 0 || resident.Running > maxAnnouncedCalls {
			addIf(true, fmt.Sprintf("Resident[%d]", i), "a name that is "+notName+", or Running not in 0..1048576")
			break
		}
	}
	addIf(announcement.Queued < 0 || announcement.Queued > maxAnnouncedCalls, "Queued", "not in 0..1048576")
	addIf(announcement.Running < 0 || announcement.Running > maxAnnouncedCalls, "Running", "not in 0..1048576")
	addIf(announcement.ReportAge < 0 || announcement.ReportAge > maxReportAge, "ReportAge", "not in 0 s to 1 h")
	return faults
}
