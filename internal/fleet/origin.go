package fleet

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

const (
	// maxOriginQueries bounds the concurrent questions of one VM about the origins of streams,
	// so that callers who name streams that never began do not take up the control VMs.
	maxOriginQueries = 256
	// originSettleTime is the time for which the other control VMs are waited for after one has
	// answered: the records of two sends of a request may be on different ones.
	originSettleTime = 20 * time.Millisecond
)

// FindOrigin asks all control VMs for the origin of the stream whose first event the answer to
// a request brought, and returns the latest send that one of them knows. It returns false if
// none knows it within the time wait, or if too many other requests are asked about.
func (follower *Follower) FindOrigin(ctx context.Context, request core.RequestID, wait time.Duration) (origin.Origin, bool) {
	if follower.originQueries.Add(1) > maxOriginQueries {
		follower.originQueries.Add(-1)
		return origin.Origin{}, false
	}
	defer follower.originQueries.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked := follower.followedVMs()
	answers := make(chan *wire.OriginResult, len(asked))
	for _, vm := range asked {
		go func() { answers <- follower.askOrigin(ctx, vm, request, wait) }()
	}
	var latest origin.Origin
	found := false
	var settled <-chan time.Time
	for range asked {
		select {
		case answer := <-answers:
			from, ok := peer.OriginFromMessage(answer)
			if !ok {
				continue
			}
			if !found {
				timer := time.NewTimer(originSettleTime)
				defer timer.Stop()
				settled = timer.C
			}
			if !found || from.Newer(latest) {
				latest, found = from, true
			}
		case <-settled:
			return latest, found
		case <-ctx.Done():
			return latest, found
		}
	}
	return latest, found
}

// followedVMs returns the control VMs that this VM follows.
func (follower *Follower) followedVMs() []core.VMID {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	vms := make([]core.VMID, 0, len(follower.watched))
	for vm := range follower.watched {
		vms = append(vms, vm)
	}
	return vms
}

// askOrigin asks one control VM for the origin of a stream. It returns nil if that does not
// answer.
func (follower *Follower) askOrigin(ctx context.Context, vm core.VMID, request core.RequestID, wait time.Duration) *wire.OriginResult {
	response, err := follower.options.Calls.Call(ctx, vm, &wire.Request{Body: &wire.Request_OriginQuery{
		OriginQuery: &wire.OriginQuery{Request: string(request), WaitMillis: uint64(max(0, wait.Milliseconds()))},
	}})
	if err != nil {
		if ctx.Err() == nil {
			follower.options.Logger.Debug("A question about the origin of a stream failed.", "control", vm, "request", request, "error", err)
		}
		return nil
	}
	return response.GetOriginResult()
}
