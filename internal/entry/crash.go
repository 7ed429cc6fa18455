package entry

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// reportTimeout bounds the time for which a caller's error waits for the replicated
// crash report. This VM knows of the crash at once.
const reportTimeout = 2 * time.Second

// report takes the crash of an upstream into this VM's view and sends it to the
// replicated state. The next attempt does not wait for it.
func (run *run) report(end core.End) {
	if !end.Crashed {
		return
	}
	incarnation := end.Incarnation
	if incarnation == "" {
		// Without the name of the run, each lost attempt counts as a crash of its own.
		incarnation = core.Incarnation(end.Attempt)
	}
	run.entry.suspect(incarnation, run.fingerprint)
	run.entry.Logger.Warn("Upstream crashed.", "upstream", end.Upstream, "incarnation", incarnation, "request", run.answer.Request, "fingerprint", run.fingerprint)
	if run.entry.Crashes == nil {
		return
	}
	report := ledger.CrashReport{
		Upstream: end.Upstream, Incarnation: incarnation,
		Fingerprints: []core.Fingerprint{run.fingerprint}, ConvictionMillis: run.entry.convictionTerm().Milliseconds(),
	}
	run.reports.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := run.entry.Crashes.Report(ctx, report); err != nil {
			run.entry.Logger.Error("Crash not replicated.", "upstream", end.Upstream, "error", err)
		}
	})
}

func (entry *Entry) convictionTerm() time.Duration {
	if entry.Conviction > 0 {
		return entry.Conviction
	}
	return quarantine.DefaultTerm
}
