package gateway

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// recorder stores the audit records of sends.
type recorder interface {
	// StartWithin stores the record of a start and waits at most limit until it is on a disk.
	// After an error the request must not be sent.
	StartWithin(ctx context.Context, record audit.Record, limit time.Duration) error
	// StartOnMajority stores the record of a start and returns after it is on the disks of a
	// majority of the VMs that have one, which takes at most limit. After an error the request
	// must not be sent.
	StartOnMajority(ctx context.Context, record audit.Record, limit time.Duration) error
	// End stores the record of the end of a send whose start was accepted.
	End(record audit.Record)
}

// startRecordTimeout bounds the wait until the start record of a non-idempotent request
// is on a disk. A call to another zone and a sync take 5 to 10 ms; the latency objective
// of such requests is 120 to 150 ms. Start records of other requests are not waited for
// and are written with the next batch.
const startRecordTimeout = 25 * time.Millisecond

// maxSoftwareRecordTimeout bounds the wait until the record of a send to another software version
// is on a majority of the disks. It covers a restart of the control VMs and a slow sync.
const maxSoftwareRecordTimeout = 2 * time.Second

// recordStart records the start of a send. It returns an error if the recorder did not
// accept the record; the request must not be sent then.
func (call *call) recordStart(ctx context.Context, selection fleet.Selection) error {
	call.outcome, call.sentAt = 0, time.Now()
	changed := call.changesSoftware(selection)
	recorder := call.gateway.options.Recorder
	if recorder == nil {
		call.noteSoftware(selection.Software)
		return nil
	}
	record := call.newRecord(audit.EventStart, selection)
	if changed {
		limit := min(maxSoftwareRecordTimeout, time.Until(call.deadline)/placementWaitDivisor)
		err := recorder.StartOnMajority(ctx, record, limit)
		softwareChanges.Inc(call.kind().String(), strconv.FormatBool(err == nil))
		if err != nil {
			return errors.Wrap(err, "record a send to another software version")
		}
		call.noteSoftware(selection.Software)
		return nil
	}
	call.noteSoftware(selection.Software)
	limit := time.Duration(0)
	if call.route.Kind == core.NonIdempotent {
		limit = startRecordTimeout
	}
	return recorder.StartWithin(ctx, record, limit)
}

// recordEnd records the outcome of a send. runsBefore is the value of counts.Runs before
// the send.
func (call *call) recordEnd(selection fleet.Selection, runsBefore int) {
	recorder := call.gateway.options.Recorder
	if recorder == nil {
		return
	}
	record := call.newRecord(audit.EventEnd, selection)
	outcome := call.outcome
	switch {
	case outcome != 0:
	case call.counts.Runs == runsBefore:
		outcome = core.NotRun
	default:
		outcome = core.Unknown
	}
	record.Outcome, record.Whole = outcome.String(), outcome == core.Ran
	record.TotalMicros = time.Since(call.sentAt).Microseconds()
	recorder.End(record)
}

// newRecord returns an audit record of the current send.
func (call *call) newRecord(event audit.Event, selection fleet.Selection) audit.Record {
	record := audit.Record{
		At: time.Now().UnixMilli(), Event: event, Request: call.request.ID,
		Attempt: core.AttemptID(string(call.request.ID) + "/" + strconv.Itoa(call.attemptNumber())),
		Config:  call.tableNumber, Route: call.route.Name, Service: call.service, Upstream: selection.Upstream, Zone: selection.Zone,
	}
	if event == audit.EventStart {
		record.Workspace = call.workspaceID()
	}
	if call.route.Kind == core.Stream && event == audit.EventStart {
		record.Software = cmp.Or(selection.Software, audit.UnknownSoftware)
	}
	if call.request.Weights.Model != "" {
		record.Adapter = core.AdapterID(call.request.Weights.String())
	}
	if selection.Revision > 0 {
		record.Version = core.Version(strconv.FormatUint(uint64(selection.Revision), 10))
	}
	return record
}

// attemptNumber returns the number of the current attempt, counted over the VMs that have had the
// request.
func (call *call) attemptNumber() int { return call.attemptsBefore + len(call.tried) }
