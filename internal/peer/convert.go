package peer

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// GroupFromMessage returns the group that a message names.
func GroupFromMessage(message *wire.Group) core.GroupID {
	return core.GroupID{Zone: core.ZoneID(message.GetZone()), Kind: core.GroupKind(message.GetKind()), Name: message.GetName()}
}

// GroupMessage returns the message that names a group.
func GroupMessage(group core.GroupID) *wire.Group {
	return &wire.Group{Zone: string(group.Zone), Kind: uint32(group.Kind), Name: group.Name}
}

func headerMessages(headers []core.Header) []*wire.Header {
	messages := make([]*wire.Header, len(headers))
	for i, header := range headers {
		messages[i] = &wire.Header{Name: header.Name, Value: header.Value}
	}
	return messages
}

func headersFromMessages(messages []*wire.Header) []core.Header {
	headers := make([]core.Header, len(messages))
	for i, message := range messages {
		headers[i] = core.Header{Name: message.Name, Value: message.Value}
	}
	return headers
}

// ForwardMessage returns the message that carries a call.
func ForwardMessage(call core.Call) *wire.Forward {
	return &wire.Forward{
		Attempt: string(call.Attempt),
		Request: string(call.Request),
		Group:   GroupMessage(call.Group),
		Pin: &wire.Pin{
			Adapter:      string(call.Pin.Adapter),
			Version:      string(call.Pin.Version),
			Model:        string(call.Pin.Model),
			ConfigNumber: uint64(call.Pin.Config),
		},
		Priority:       int32(call.Priority),
		DeadlineMillis: call.Deadline.Milliseconds(),
		Fingerprint:    string(call.Fingerprint),
		Method:         call.Method,
		Path:           call.Path,
		Headers:        headerMessages(call.Headers),
		Body:           call.Body,
		ResumeOffset:   int64(call.ResumeOffset),
		Software:       string(call.Software),
		Customer:       string(call.Customer),
		IdempotencyKey: string(call.IdempotencyKey),
		EntryVm:        string(call.EntryVM),
		Repeatable:     call.Repeatable,
		Suspect:        call.Suspect,
		Prefixes:       call.Prefixes,
		CrossedZone:    call.CrossedZone,
	}
}

// CallFromMessage returns the call that a message carries.
func CallFromMessage(message *wire.Forward) core.Call {
	pin := message.GetPin()
	return core.Call{
		Attempt:  core.AttemptID(message.GetAttempt()),
		Request:  core.RequestID(message.GetRequest()),
		Customer: core.CustomerID(message.GetCustomer()),
		EntryVM:  core.VMID(message.GetEntryVm()),
		Group:    GroupFromMessage(message.GetGroup()),
		Pin: core.Pin{
			AdapterVersion: core.AdapterVersion{Adapter: core.AdapterID(pin.GetAdapter()), Version: core.Version(pin.GetVersion())},
			Model:          core.ModelID(pin.GetModel()),
			Config:         core.ConfigNumber(pin.GetConfigNumber()),
		},
		Priority:       core.Priority(message.GetPriority()),
		Deadline:       time.Duration(message.GetDeadlineMillis()) * time.Millisecond,
		Fingerprint:    core.Fingerprint(message.GetFingerprint()),
		Method:         message.GetMethod(),
		Path:           message.GetPath(),
		Headers:        headersFromMessages(message.GetHeaders()),
		Body:           message.GetBody(),
		ResumeOffset:   core.Tokens(message.GetResumeOffset()),
		Software:       core.SoftwareVersion(message.GetSoftware()),
		IdempotencyKey: core.IdempotencyKey(message.GetIdempotencyKey()),
		Repeatable:     message.GetRepeatable(),
		Suspect:        message.GetSuspect(),
		Prefixes:       message.GetPrefixes(),
		CrossedZone:    message.GetCrossedZone(),
	}
}

// ChunkMessage returns the message that carries a chunk of an answer.
func ChunkMessage(chunk core.Chunk) *wire.Chunk {
	message := &wire.Chunk{Attempt: string(chunk.Attempt), Data: chunk.Data, TokenOffset: int64(chunk.Offset)}
	if head := chunk.Head; head != nil {
		message.Head = &wire.Head{
			Status:       int32(head.Status),
			Headers:      headerMessages(head.Headers),
			Adapter:      string(head.Ran.Adapter),
			Version:      string(head.Ran.Version),
			Software:     string(head.Software),
			Upstream:     string(head.Upstream),
			Incarnation:  string(head.Incarnation),
			FencingToken: uint64(head.Token),
			QueueMicros:  head.Queued.Microseconds(),
			StallMicros:  head.Stalled.Microseconds(),
		}
	}
	return message
}

// ChunkFromMessage returns the chunk of an answer that a message carries.
func ChunkFromMessage(message *wire.Chunk) core.Chunk {
	chunk := core.Chunk{
		Attempt: core.AttemptID(message.GetAttempt()),
		Data:    message.GetData(),
		Offset:  core.Tokens(message.GetTokenOffset()),
	}
	if head := message.GetHead(); head != nil {
		chunk.Head = &core.Head{
			Status:      int(head.Status),
			Headers:     headersFromMessages(head.Headers),
			Ran:         core.AdapterVersion{Adapter: core.AdapterID(head.Adapter), Version: core.Version(head.Version)},
			Software:    core.SoftwareVersion(head.Software),
			Upstream:    core.UpstreamID(head.Upstream),
			Incarnation: core.Incarnation(head.Incarnation),
			Token:       core.FencingToken(head.FencingToken),
			Queued:      time.Duration(head.QueueMicros) * time.Microsecond,
			Stalled:     time.Duration(head.StallMicros) * time.Microsecond,
		}
	}
	return chunk
}

// EndMessage returns the message that carries the end of an attempt.
func EndMessage(end core.End) *wire.End {
	return &wire.End{
		Attempt:     string(end.Attempt),
		Whole:       end.Whole,
		Outcome:     uint32(end.Outcome),
		Code:        string(end.Code),
		Message:     end.Message,
		Tokens:      int64(end.Tokens),
		Upstream:    string(end.Upstream),
		Crashed:     end.Crashed,
		Incarnation: string(end.Incarnation),
	}
}

// EndFromMessage returns the end of an attempt that a message carries. An outcome value
// that this version does not define becomes core.Unknown.
func EndFromMessage(message *wire.End) core.End {
	end := core.End{
		Attempt:     core.AttemptID(message.GetAttempt()),
		Whole:       message.GetWhole(),
		Outcome:     core.Outcome(message.GetOutcome()),
		Code:        core.RefusalCode(message.GetCode()),
		Message:     message.GetMessage(),
		Tokens:      core.Tokens(message.GetTokens()),
		Upstream:    core.UpstreamID(message.GetUpstream()),
		Crashed:     message.GetCrashed(),
		Incarnation: core.Incarnation(message.GetIncarnation()),
	}
	if end.Outcome != core.NotRun && end.Outcome != core.Ran {
		end.Outcome = core.Unknown
	}
	return end
}

// AnnounceMessage returns the message that carries an announcement to a group's owner.
func AnnounceMessage(announcement core.Announcement) *wire.Announce {
	message := &wire.Announce{
		Upstream:        string(announcement.Upstream),
		Incarnation:     string(announcement.Incarnation),
		Group:           GroupMessage(announcement.Group),
		Address:         announcement.Address,
		Software:        string(announcement.Software),
		Leaving:         announcement.Leaving,
		ChecksFencing:   announcement.ChecksFencing,
		Resumes:         announcement.Resumes,
		ExportsCache:    announcement.ExportsCache,
		Slots:           int32(announcement.Slots),
		BatchSize:       int32(announcement.BatchSize),
		Queued:          int32(announcement.Queued),
		Running:         int32(announcement.Running),
		ReportAgeMillis: announcement.ReportAge.Milliseconds(),
		LastFencing:     uint64(announcement.LastFencing),
	}
	for _, resident := range announcement.Resident {
		message.Resident = append(message.Resident, &wire.ResidentAdapter{
			Adapter: string(resident.Adapter),
			Version: string(resident.Version),
			Running: int32(resident.Running),
		})
	}
	return message
}

// AnnouncementFromMessage returns the announcement that a message carries.
func AnnouncementFromMessage(message *wire.Announce) core.Announcement {
	announcement := core.Announcement{
		Upstream:      core.UpstreamID(message.GetUpstream()),
		Incarnation:   core.Incarnation(message.GetIncarnation()),
		Group:         GroupFromMessage(message.GetGroup()),
		Address:       message.GetAddress(),
		Software:      core.SoftwareVersion(message.GetSoftware()),
		Leaving:       message.GetLeaving(),
		ChecksFencing: message.GetChecksFencing(),
		Resumes:       message.GetResumes(),
		ExportsCache:  message.GetExportsCache(),
		Slots:         int(message.GetSlots()),
		BatchSize:     int(message.GetBatchSize()),
		Queued:        int(message.GetQueued()),
		Running:       int(message.GetRunning()),
		ReportAge:     time.Duration(message.GetReportAgeMillis()) * time.Millisecond,
		LastFencing:   core.FencingToken(message.GetLastFencing()),
	}
	for _, resident := range message.GetResident() {
		announcement.Resident = append(announcement.Resident, core.Resident{
			AdapterVersion: core.AdapterVersion{Adapter: core.AdapterID(resident.Adapter), Version: core.Version(resident.Version)},
			Running:        int(resident.Running),
		})
	}
	return announcement
}
