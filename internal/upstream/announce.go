package upstream

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxAnnouncementBytes bounds the body of an announcement. The announcement of an engine
// with 4096 resident adapters is smaller.
const maxAnnouncementBytes = 1 << 20

// announcement is the JSON form of an upstream's announcement.
type announcement struct {
	Upstream        core.UpstreamID
	Incarnation     core.Incarnation
	Zone            core.ZoneID
	Kind            string
	Name            string
	Address         string
	Software        core.SoftwareVersion
	Leaving         bool
	ChecksFencing   bool
	Resumes         bool
	ExportsCache    bool
	Slots           int
	BatchSize       int
	Resident        []residentAdapter
	Queued          int
	Running         int
	ReportAgeMillis int64
	LastFencing     core.FencingToken
}

// residentAdapter is the JSON form of a loaded adapter version and its running calls.
type residentAdapter struct {
	Adapter core.AdapterID
	Version core.Version
	Running int
}

// DecodeAnnouncement decodes an announcement from JSON and validates it. It returns the
// validation errors of a decoded announcement, or an error if body cannot be decoded.
func DecodeAnnouncement(body []byte) (core.Announcement, []core.ValidationError, error) {
	var message announcement
	if err := json.Unmarshal(body, &message); err != nil {
		return core.Announcement{}, nil, errors.Wrap(err, "decode announcement")
	}
	result := core.Announcement{
		Upstream:      message.Upstream,
		Incarnation:   message.Incarnation,
		Group:         core.GroupID{Zone: message.Zone, Kind: parseKind(message.Kind), Name: message.Name},
		Address:       message.Address,
		Software:      message.Software,
		Leaving:       message.Leaving,
		ChecksFencing: message.ChecksFencing,
		Resumes:       message.Resumes,
		ExportsCache:  message.ExportsCache,
		Slots:         message.Slots,
		BatchSize:     message.BatchSize,
		Queued:        message.Queued,
		Running:       message.Running,
		ReportAge:     reportAge(message.ReportAgeMillis),
		LastFencing:   message.LastFencing,
	}
	for _, entry := range message.Resident {
		result.Resident = append(result.Resident, core.Resident{
			AdapterVersion: core.AdapterVersion{Adapter: entry.Adapter, Version: entry.Version},
			Running:        entry.Running,
		})
	}
	faults := result.Check()
	if parsed, err := netip.ParseAddrPort(message.Address); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		faults = append(faults, core.ValidationError{Place: "Address", Reason: "no IP number and port"})
	}
	return result, faults, nil
}

// reportAge returns milliseconds as a duration, or a negative one if they are negative or do
// not fit.
func reportAge(millis int64) time.Duration {
	if millis < 0 || millis > math.MaxInt64/int64(time.Millisecond) {
		return -1
	}
	return time.Duration(millis) * time.Millisecond
}

// parseKind returns the group kind with the given name, or zero if there is none.
func parseKind(text string) core.GroupKind {
	for _, kind := range []core.GroupKind{core.EngineGroup, core.ServiceGroup} {
		if kind.String() == text {
			return kind
		}
	}
	return 0
}

// cacheEvents is the JSON form of an engine's cache events.
type cacheEvents struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Events      []CacheEvent
}

// CacheEvent reports that an engine added a prompt prefix to its cache or evicted it.
// Sequence numbers the events of the engine, and Prefix is the hash of the prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

// DecodeCacheEvents decodes cache events from JSON. It returns the engine, its
// incarnation and the events.
func DecodeCacheEvents(body []byte) (core.UpstreamID, core.Incarnation, []CacheEvent, error) {
	var message cacheEvents
	if err := json.Unmarshal(body, &message); err != nil {
		return "", "", nil, errors.Wrap(err, "decode cache events")
	}
	return message.Upstream, message.Incarnation, message.Events, nil
}
