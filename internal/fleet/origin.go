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
	// originReplyMargin is the time that the answer of a control VM may take beyond its wait.
	originReplyMargin = 50 * time.Millisecond
)

// FindOrigin asks all control VMs for the origin of the stream whose first event the answer to
// a request brought, and returns the latest send that one of them knows. If none knows it within
// the time wait, or the request is empty, the origin is the only software version that the service
// had lately, as far as a majority of the control VMs knows. FindOrigin returns false if there
// were several, or if too many other requests are asked about.
func (follower *Follower) FindOrigin(ctx context.Context, service core.ServiceID, request core.RequestID, wait time.Duration) (origin.Origin, bool) {
	if follower.originQueries.Add(1) > maxOriginQueries {
		follower.originQueries.Add(-1)
		return origin.Origin{}, false
	}
	defer follower.originQueries.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, wait+originReplyMargin)
	defer cancel()
	asked := follower.followedVMs()
	answers := make(chan *wire.OriginResult, len(asked))
	for _, vm := range asked {
		go func() { answers <- follower.askOrigin(ctx, vm, service, request, wait) }()
	}
	var latest origin.Origin
	found := false
	var sole []core.SoftwareVersion
	var settled <-chan time.Time
	for range asked {
		select {
		case answer := <-answers:
			from, ok := peer.OriginFromMessage(answer)
			if !ok {
				if answer != nil {
					sole = append(sole, core.SoftwareVersion(answer.GetSole()))
				}
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
			return orSole(latest, found, service, sole, len(asked))
		}
	}
	return orSole(latest, found, service, sole, len(asked))
}

// orSole returns the origin that was found, or else the only version of the service that the
// asked control VMs agree on.
func orSole(latest origin.Origin, found bool, service core.ServiceID, sole []core.SoftwareVersion, asked int) (origin.Origin, bool) {
	if found {
		return latest, true
	}
	software := origin.Agreed(sole, asked)
	return origin.Origin{Service: service, Software: software}, software != ""
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
