package entry

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// auditStart returns after the start of the attempt is on a disk, or refuses.
func (active *activeRequest) auditStart(ctx context.Context) *core.Refusal {
	active.audited = true
	if err := active.entry.Recorder.Start(ctx, active.auditRecord(audit.EventStart)); err != nil {
		return core.NewRefusal(core.CodeAuditUnavailable, "the audit record could not be written: "+err.Error())
	}
	return nil
}

// auditEnd records how the current attempt ended.
func (active *activeRequest) auditEnd(end core.End) {
	record := active.auditRecord(audit.EventEnd)
	record.Outcome, record.Code = active.lifecycle.AttemptOutcome(end).String(), end.Code
	record.Whole, record.Tokens = end.Whole, active.lifecycle.Tokens()
	record.Upstream = end.Upstream
	record.FirstByteMicros = active.timing.firstByte.Microseconds()
	record.StallMicros = active.answer.Head.Stalled.Microseconds()
	record.TotalMicros = time.Since(active.started).Microseconds()
	record.LongestGapMicros = active.timing.longestGap.Microseconds()
	active.entry.Recorder.End(record)
}

// auditRefused records a request that was admitted and refused before any attempt.
func (active *activeRequest) auditRefused(end core.End) {
	record := active.auditRecord(audit.EventRefused)
	record.Outcome, record.Code = end.Outcome.String(), end.Code
	active.entry.Recorder.End(record)
}

// auditRecord returns an audit record of the request and its current attempt.
func (active *activeRequest) auditRecord(event audit.Event) audit.Record {
	return audit.Record{
		At:         time.Now().UnixMilli(),
		Event:      event,
		Request:    active.answer.Request,
		Attempt:    active.answer.Attempt,
		Customer:   active.admitted.Plan.Customer,
		Plan:       active.admitted.Plan.Plan,
		Config:     active.answer.Config,
		ConfigHash: active.configHash,
		Adapter:    active.admitted.Pin.Adapter,
		Version:    active.admitted.Pin.Version,
		Service:    active.request.Service,
		Call:       active.request.Method + " " + active.request.Path,
		Zone:       active.entry.Zone,
		Isolated:   active.answer.ConfigAge > 0,
	}
}
