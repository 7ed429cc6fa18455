package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// recorder keeps the audit records of sends.
type recorder interface {
	// Begin takes a start, and waits for limit at most until it is on a disk. After an
	// error the send must not begin.
	Begin(ctx context.Context, record audit.Record, limit time.Duration) error
	// End takes the end of a send that has begun.
	End(record audit.Record)
}

// startWait bounds the wait for the record of a non-idempotent request. A call to another
// zone and a sync take 5 to 10 ms; the objective of such requests is 120 to 150 ms. Other
// records go with the next batch.
const startWait = 25 * time.Millisecond

// begin records that a send begins.
func (call *call) begin(ctx context.Context, pick fleet.Pick) error {
	call.ended, call.sent = 0, time.Now()
	recorder := call.gateway.parts.Recorder
	if recorder == nil {
		return nil
	}
	limit := time.Duration(0)
	if call.route.Kind == core.NonIdempotent {
		limit = startWait
	}
	return recorder.Begin(ctx, call.record(audit.EventStart, pick), limit)
}

// end records what became of a send. Before is the number of runs before it.
func (call *call) end(pick fleet.Pick, before int) {
	recorder := call.gateway.parts.Recorder
	if recorder == nil {
		return
	}
	record := call.record(audit.EventEnd, pick)
	outcome := call.ended
	switch {
	case outcome != 0:
	case call.history.Runs == before:
		outcome = core.NotRun
	default:
		outcome = core.Unknown
	}
	record.Outcome, record.Whole = outcome.String(), outcome == core.Ran
	record.TotalMicros = time.Since(call.sent).Microseconds()
	recorder.End(record)
}

func (call *call) record(event audit.Event, pick fleet.Pick) audit.Record {
	record := audit.Record{
		At: time.Now().UnixMilli(), Event: event, Request: call.request.ID,
		Attempt: core.AttemptID(string(call.request.ID) + "/" + strconv.Itoa(len(call.tried))),
		Config:  call.number, Route: call.route.Name, Service: call.service, Upstream: pick.Upstream, Zone: pick.Zone,
	}
	if call.request.Weights.Model != "" {
		record.Adapter = core.AdapterID(call.request.Weights.String())
	}
	if pick.Revision > 0 {
		record.Version = core.Version(strconv.FormatUint(uint64(pick.Revision), 10))
	}
	return record
}
