package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
)

const (
	// evidenceTimeout bounds one report to a control VM.
	evidenceTimeout = 500 * time.Millisecond
	// passDelay is the time for which passes of suspected traits are collected before they
	// are reported. Many requests may share a suspected trait.
	passDelay = 50 * time.Millisecond
)

// crashes is what an entry VM knows of content that crashes upstreams.
type crashes struct {
	// lock has position 3 in the lock order. It guards the fields below.
	lock   sync.Mutex
	passes conviction.Passes
	bans   conviction.Bans
	// opening holds the requests at upstreams that have not begun to answer them.
	opening map[*openRequest]struct{}
	// unreported holds the last pass of suspected traits that was not reported.
	unreported map[conviction.Trait]time.Duration
}

// openRequest is a request at an upstream that has not begun to answer it.
type openRequest struct {
	request conviction.Request
	cancel  func()
}

// Refuse returns true and the time until the refusal ends if a request has content that
// crashes upstreams.
func (follower *Follower) Refuse(request conviction.Request) (time.Duration, bool) {
	follower.crashes.lock.Lock()
	defer follower.crashes.lock.Unlock()
	return follower.crashes.bans.Refuse(clock.Now(), request)
}

// Begin notes that a request is sent to an upstream, until release is called. It returns
// false if the request has content that crashes upstreams. Otherwise cancel is called if its
// content is convicted before release.
func (follower *Follower) Begin(request conviction.Request, cancel func()) (release func(), ok bool) {
	current := &openRequest{request: request, cancel: cancel}
	follower.crashes.lock.Lock()
	defer follower.crashes.lock.Unlock()
	if follower.crashes.bans.Refused(clock.Now(), request) {
		return func() {}, false
	}
	if follower.crashes.opening == nil {
		follower.crashes.opening = make(map[*openRequest]struct{})
	}
	follower.crashes.opening[current] = struct{}{}
	return func() {
		follower.crashes.lock.Lock()
		defer follower.crashes.lock.Unlock()
		delete(follower.crashes.opening, current)
	}, true
}

// cancelConvicted cancels the requests with a trait that are at upstreams which have not
// begun to answer them. The caller holds the lock of crashes.
func (follower *Follower) cancelConvicted(trait conviction.Trait) {
	for current := range follower.crashes.opening {
		if current.request.Has(trait) {
			current.cancel()
		}
	}
}

// Passed notes that an upstream has answered a request and goes on. It reports that if a
// trait of the request is suspected.
func (follower *Follower) Passed(request conviction.Request) {
	now := clock.Now()
	follower.crashes.lock.Lock()
	defer follower.crashes.lock.Unlock()
	follower.crashes.passes.Record(now, request)
	for _, trait := range follower.crashes.bans.Watched(now, request) {
		follower.notePass(trait, now)
	}
}

// notePass makes the pass of a trait part of the next report. The caller holds the lock of
// crashes.
func (follower *Follower) notePass(trait conviction.Trait, at time.Duration) {
	first := len(follower.crashes.unreported) == 0
	if first {
		follower.crashes.unreported = make(map[conviction.Trait]time.Duration)
	}
	follower.crashes.unreported[trait] = at
	if first && follower.ctx.Err() == nil {
		follower.running.Go(func() {
			sleep(follower.ctx, passDelay)
			follower.reportPasses()
		})
	}
}

// reportPasses reports the passes that notePass has collected.
func (follower *Follower) reportPasses() {
	now := clock.Now()
	evidence := &wire.CrashEvidence{Vm: string(follower.options.VM)}
	follower.crashes.lock.Lock()
	for trait, at := range follower.crashes.unreported {
		evidence.Passes = append(evidence.Passes, peer.EvidenceMessage(conviction.Evidence{Trait: trait, Passed: true, PassAge: now - at}))
	}
	follower.crashes.unreported = nil
	follower.crashes.lock.Unlock()
	follower.reportEvidence(evidence)
}

// Crashed reports the end of an upstream process, some time ago, with the requests that may
// have caused it.
func (follower *Follower) Crashed(upstream core.UpstreamID, born int64, ago time.Duration, requests []conviction.Request) {
	now := clock.Now()
	crash := conviction.Crash{Upstream: upstream, Born: born, Age: ago}
	follower.crashes.lock.Lock()
	for _, request := range requests {
		crash.Suspects = append(crash.Suspects, follower.crashes.passes.Suspect(now, request))
	}
	follower.crashes.lock.Unlock()
	follower.reportEvidence(&wire.CrashEvidence{Vm: string(follower.options.VM), Crashes: []*wire.Crash{peer.CrashMessage(crash)}})
}

// reportConvictions reports the convictions that this VM knows to a control VM that it has
// just begun to follow. That one may have restarted, together with all others, and so know
// none.
func (follower *Follower) reportConvictions(vm core.VMID) {
	evidence := &wire.CrashEvidence{Vm: string(follower.options.VM)}
	follower.crashes.lock.Lock()
	for _, verdict := range follower.crashes.bans.Convictions(clock.Now()) {
		evidence.Verdicts = append(evidence.Verdicts, peer.VerdictMessage(verdict))
	}
	follower.crashes.lock.Unlock()
	if len(evidence.Verdicts) > 0 {
		follower.sendEvidence(vm, evidence)
	}
}

// reportEvidence sends a report to all control VMs, each of which judges by itself.
func (follower *Follower) reportEvidence(evidence *wire.CrashEvidence) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	for vm := range follower.watched {
		follower.sendEvidence(vm, evidence)
	}
}

// sendEvidence sends a report to a control VM without waiting for it.
func (follower *Follower) sendEvidence(vm core.VMID, evidence *wire.CrashEvidence) {
	if follower.ctx.Err() != nil {
		return
	}
	follower.running.Go(func() {
		ctx, cancel := context.WithTimeout(follower.ctx, evidenceTimeout)
		defer cancel()
		_, err := follower.options.Calls.Call(ctx, vm, &wire.Request{Body: &wire.Request_CrashEvidence{CrashEvidence: evidence}})
		if err != nil {
			follower.options.Logger.Debug("A report on ended upstreams failed.", "control", vm, "error", err)
		}
	})
}

// applyVerdicts applies the verdicts of a control VM. It reports passes of suspected and
// convicted traits that this VM has seen before: they may prove a verdict wrong.
func (follower *Follower) applyVerdicts(vm core.VMID, messages []*wire.Verdict) {
	now := clock.Now()
	follower.crashes.lock.Lock()
	defer follower.crashes.lock.Unlock()
	for _, message := range messages {
		verdict := peer.VerdictFromMessage(message)
		follower.crashes.bans.Apply(now, verdict)
		if verdict.Status == conviction.Convicted {
			follower.cancelConvicted(verdict.Trait)
			follower.options.Logger.Info("A verdict on the content of requests.", "trait", verdict.Trait, "status", verdict.Status, "left", verdict.Left, "control", vm)
		}
		if at, passed := follower.crashes.passes.Last(verdict.Trait); passed && verdict.Status != conviction.Cleared {
			follower.notePass(verdict.Trait, at)
		}
	}
}
