package entry

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// auditStart returns after the start of the attempt is on a disk, or refuses.
func (run *run) auditStart(ctx context.Context) *core.Refusal {
	run.audited = true
	if err := run.entry.Recorder.Start(ctx, run.auditRecord(audit.EventStart)); err != nil {
		return core.Refuse(core.CodeAuditUnavailable, "the audit record could not be written: "+err.Error())
	}
	return nil
}

func (run *run) auditEnd(end core.End) {
	record := run.auditRecord(audit.EventEnd)
	record.Outcome, record.Code = run.life.AttemptOutcome(end).String(), end.Code
	record.Whole, record.Tokens = end.Whole, run.life.Tokens()
	record.Upstream = end.Upstream
	record.FirstByteMicros = run.pace.firstByte.Microseconds()
	record.StallMicros = run.answer.Head.Stalled.Microseconds()
	record.TotalMicros = time.Since(run.started).Microseconds()
	record.LongestGapMicros = run.pace.longestGap.Microseconds()
	run.entry.Recorder.End(record)
}

// auditRefused records a request that was admitted and refused before any attempt.
func (run *run) auditRefused(end core.End) {
	record := run.auditRecord(audit.EventRefused)
	record.Outcome, record.Code = end.Outcome.String(), end.Code
	run.entry.Recorder.End(record)
}

func (run *run) auditRecord(event audit.Event) audit.Record {
	return audit.Record{
		At:         time.Now().UnixMilli(),
		Event:      event,
		Request:    run.answer.Request,
		Attempt:    run.answer.Attempt,
		Customer:   run.admitted.Plan.Customer,
		Plan:       run.admitted.Plan.Plan,
		Config:     run.answer.Config,
		ConfigHash: run.hash,
		Adapter:    run.admitted.Pin.Adapter,
		Version:    run.admitted.Pin.Version,
		Service:    run.request.Service,
		Call:       run.request.Method + " " + run.request.Path,
		Zone:       run.entry.Zone,
		Isolated:   run.answer.ConfigAge > 0,
	}
}
