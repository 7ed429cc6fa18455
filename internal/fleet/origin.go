package fleet

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

const (
	// maxOriginQueries bounds the concurrent questions of one VM about the origins of streams,
	// so that callers who name streams that never began do not take up the control VMs.
	maxOriginQueries = 256
	// originRecordWait bounds the wait for the record of a send, which reaches a control VM with a
	// batch, at most 250 ms later.
	originRecordWait = 400 * time.Millisecond
	// originRetry is the time between two questions while too few control VMs answer.
	originRetry = 100 * time.Millisecond
	// originRound bounds one question, after which the control VMs that did not answer are asked again.
	originRound = 500 * time.Millisecond
	// originReplyMargin is the time that the answer of a control VM may take beyond its wait.
	originReplyMargin = 50 * time.Millisecond
)

// FindOrigin asks all control VMs for the origin of the stream whose first event the answer to
// a request brought. A majority of their group, as the latest of them knows it, must say what they know now, which shows each send to
// another software version; it is waited for until the time wait has passed. If none of them knows a
// send, the record of the only ones may be on its way, and is waited for as well. If none knows one by
// then, or the request is empty, the origin is the only software version that the service had lately,
// as far as a majority of the control VMs knows. FindOrigin returns false if there were several, if too
// few control VMs have answered, or if too many other requests are asked about.
func (follower *Follower) FindOrigin(ctx context.Context, service core.ServiceID, request core.RequestID, wait time.Duration) (origin.Origin, bool) {
	if follower.originQueries.Add(1) > maxOriginQueries {
		follower.originQueries.Add(-1)
		return origin.Origin{}, false
	}
	defer follower.originQueries.Add(-1)
	question := &originQuestion{follower: follower, service: service, request: request, asked: follower.controlIDs()}
	if request == "" {
		return orSole(origin.Origin{}, false, service, question.ask(ctx, 0, min(wait, originRecordWait), never))
	}
	started := time.Now()
	now := question.ask(ctx, 0, min(wait, originRound), (*origin.Survey).Settled)
	for !now.Settled() && now.Sole() == "" && len(question.asked) > 0 && ctx.Err() == nil && time.Since(started) < wait-originRetry {
		sleep(ctx, originRetry)
		now = question.ask(ctx, 0, min(wait-time.Since(started), originRound), (*origin.Survey).Settled)
	}
	if from, ok := now.Origin(); ok || !now.Settled() {
		return orSole(from, ok, service, now)
	}
	// All sends went to one version, so the first record that arrives states it.
	left := min(wait-time.Since(started), originRecordWait)
	later := question.ask(ctx, left, left, (*origin.Survey).Found)
	from, ok := later.Latest()
	return orSole(from, ok, service, later)
}

// never waits for the answers of all control VMs.
func never(*origin.Survey) bool { return false }

// orSole returns the origin that was found, or else the only version of the service that the
// asked control VMs agree on.
func orSole(found origin.Origin, ok bool, service core.ServiceID, survey *origin.Survey) (origin.Origin, bool) {
	if ok {
		return found, true
	}
	software := survey.Sole()
	return origin.Origin{Service: service, Software: software}, software != ""
}

// controlIDs returns the control VMs.
func (follower *Follower) controlIDs() []core.VMID {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	var vms []core.VMID
	for _, control := range follower.controls.all(clock.Now()) {
		vms = append(vms, control.VM)
	}
	return vms
}

// originQuestion is a question about one stream to the control VMs.
type originQuestion struct {
	follower *Follower
	service  core.ServiceID
	request  core.RequestID
	asked    []core.VMID
}

// ask asks all control VMs, which wait for a record at most for the time wait, and returns their
// answers once they are enough, all have answered, or limit and a margin have passed.
func (question *originQuestion) ask(ctx context.Context, wait, limit time.Duration, enough func(*origin.Survey) bool) *origin.Survey {
	ctx, cancel := context.WithTimeout(ctx, limit+originReplyMargin)
	defer cancel()
	type reply struct {
		vm     core.VMID
		result *wire.OriginResult
	}
	answers := make(chan reply, len(question.asked))
	for _, vm := range question.asked {
		go func() {
			answers <- reply{vm, question.follower.askOrigin(ctx, vm, question.service, question.request, wait)}
		}()
	}
	survey := &origin.Survey{Asked: len(question.asked)}
	for range question.asked {
		select {
		case answer := <-answers:
			if answer.result != nil {
				survey.Add(answer.vm, peer.OriginFromMessage(answer.result))
			}
		case <-ctx.Done():
			return survey
		}
		if enough(survey) {
			break
		}
	}
	return survey
}

// askOrigin asks one control VM for the origin of a stream. It returns nil if that does not
// answer.
func (follower *Follower) askOrigin(ctx context.Context, vm core.VMID, service core.ServiceID, request core.RequestID, wait time.Duration) *wire.OriginResult {
	response, err := follower.options.Calls.Call(ctx, vm, &wire.Request{Body: &wire.Request_OriginQuery{
		OriginQuery: &wire.OriginQuery{Service: string(service), Request: string(request), WaitMillis: uint64(max(0, wait.Milliseconds()))},
	}})
	if err != nil {
		if ctx.Err() == nil {
			follower.options.Logger.Debug("A question about the origin of a stream failed.", "control", vm, "request", request, "error", err)
		}
		return nil
	}
	return response.GetOriginResult()
}
