package upstream

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxAnnouncement bounds the body of an announcement in bytes. An engine with 4096
// resident adapters stays below it.
const maxAnnouncement = 1 << 20

// announcement is the format of an upstream's announcement.
type announcement struct {
	Upstream        core.UpstreamID
	Incarnation     core.Incarnation
	Zone            core.ZoneID
	Kind            string
	Name            string
	Address         string
	Leaving         bool
	ChecksFencing   bool
	Resumes         bool
	ExportsCache    bool
	Slots           int
	BatchSize       int
	Resident        []resident
	Queued          int
	Running         int
	ReportAgeMillis int64
	LastFencing     core.FencingToken
}

type resident struct {
	Adapter core.AdapterID
	Version core.Version
	Running int
}

// DecodeAnnouncement parses the JSON of an announcement and checks it. It returns
// the faults of a readable announcement and an error for an unreadable one.
func DecodeAnnouncement(body []byte) (core.Announcement, []core.Fault, error) {
	var message announcement
	if err := json.Unmarshal(body, &message); err != nil {
		return core.Announcement{}, nil, errors.Wrap(err, "decode announcement")
	}
	result := core.Announcement{
		Upstream:      message.Upstream,
		Incarnation:   message.Incarnation,
		Group:         core.GroupID{Zone: message.Zone, Kind: parseKind(message.Kind), Name: message.Name},
		Address:       message.Address,
		Leaving:       message.Leaving,
		ChecksFencing: message.ChecksFencing,
		Resumes:       message.Resumes,
		ExportsCache:  message.ExportsCache,
		Slots:         message.Slots,
		BatchSize:     message.BatchSize,
		Queued:        message.Queued,
		Running:       message.Running,
		ReportAge:     time.Duration(message.ReportAgeMillis) * time.Millisecond,
		LastFencing:   message.LastFencing,
	}
	for _, entry := range message.Resident {
		result.Resident = append(result.Resident, core.Resident{
			AdapterVersion: core.AdapterVersion{Adapter: entry.Adapter, Version: entry.Version},
			Running:        entry.Running,
		})
	}
	return result, result.Check(), nil
}

func parseKind(text string) core.GroupKind {
	for _, kind := range []core.GroupKind{core.EngineGroup, core.ServiceGroup} {
		if kind.String() == text {
			return kind
		}
	}
	return 0
}

// cacheEvents is the format of an engine's cache events.
type cacheEvents struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Events      []CacheEvent
}

// CacheEvent states that an engine added a prompt prefix to its cache or dropped it.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

// DecodeCacheEvents parses the JSON of cache events.
func DecodeCacheEvents(body []byte) (core.UpstreamID, core.Incarnation, []CacheEvent, error) {
	var message cacheEvents
	if err := json.Unmarshal(body, &message); err != nil {
		return "", "", nil, errors.Wrap(err, "decode cache events")
	}
	return message.Upstream, message.Incarnation, message.Events, nil
}

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	request.Body = http.MaxBytesReader(writer, request.Body, limit)
	defer request.Body.Close()
	var body json.RawMessage
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return body, nil
}
