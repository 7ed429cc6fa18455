package entry

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// reportTimeout bounds the sending of a crash report to the replicated state. The
// error that the caller gets may wait for it. This VM itself records the crash at
// once.
const reportTimeout = 2 * time.Second

// reportCrash records the crash of an upstream in this VM's quarantine table and
// sends it to the replicated state. The next attempt does not wait for the report.
func (active *activeRequest) reportCrash(end core.End) {
	if !end.Crashed {
		return
	}
	incarnation := end.Incarnation
	if incarnation == "" {
		// Without an incarnation, each lost attempt counts as a separate crash.
		incarnation = core.Incarnation(end.Attempt)
	}
	active.entry.addCrash(incarnation, active.fingerprint)
	active.entry.Logger.Warn("Upstream crashed.", "upstream", end.Upstream, "incarnation", incarnation, "request", active.answer.Request, "fingerprint", active.fingerprint)
	if active.entry.Crashes == nil {
		return
	}
	report := ledger.CrashReport{
		Upstream: end.Upstream, Incarnation: incarnation,
		Fingerprints: []core.Fingerprint{active.fingerprint}, ConvictionMillis: active.entry.convictionTTL().Milliseconds(),
	}
	active.crashReports.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := active.entry.Crashes.ReportCrash(ctx, report); err != nil {
			active.entry.Logger.Error("Failed to replicate a crash report.", "upstream", end.Upstream, "error", err)
		}
	})
}

// convictionTTL returns the time for which a crash counts against a request.
func (entry *Entry) convictionTTL() time.Duration {
	if entry.Conviction > 0 {
		return entry.Conviction
	}
	return quarantine.DefaultTTL
}
