package control

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
)

// applyCrashEvidence adds the report of an entry VM to the evidence and publishes the
// verdicts that follow from it.
func (control *Control) applyCrashEvidence(request *wire.CrashEvidence) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	var changed []conviction.Verdict
	for _, message := range request.GetCrashes() {
		changed = append(changed, control.judge.Report(now, peer.CrashFromMessage(message))...)
	}
	for _, message := range request.GetPasses() {
		pass := peer.EvidenceFromMessage(message)
		changed = append(changed, control.judge.Pass(now, pass.Trait, pass.PassAge)...)
	}
	for _, verdict := range changed {
		verdictCounts.Inc(verdict.Status.String(), "own")
		if verdict.Status == conviction.Suspected {
			continue
		}
		control.options.Logger.Warn("A verdict on the content of requests.", "trait", verdict.Trait, "status", verdict.Status, "left", verdict.Left)
	}
	control.hub.publishVerdicts(changed)
	control.mergeVerdicts(now, request.GetVerdicts())
}

// mergeVerdicts applies the verdicts of another VM and passes on those that are news, for VMs
// that cannot reach that one or have started since. The caller holds the lock.
func (control *Control) mergeVerdicts(now time.Duration, messages []*wire.Verdict) {
	var news []conviction.Verdict
	for _, message := range messages {
		verdict := peer.VerdictFromMessage(message)
		if !control.judge.Merge(now, verdict) {
			continue
		}
		news = append(news, verdict)
		verdictCounts.Inc(verdict.Status.String(), "merged")
	}
	control.hub.publishVerdicts(news)
}
