package control

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

var errUnknownRequest = errors.New("this VM does not handle the request")

// Handle answers a request of another VM with one message, or with a stream of messages for
// a watch.
func (control *Control) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	if watch := request.GetWatch(); watch != nil {
		control.serveWatch(ctx, watch, send)
		return
	}
	response, err := control.answer(ctx, request)
	if err != nil {
		_ = peer.SendFailure(send, err)
		return
	}
	_ = send(response)
}

// answer returns the response to a request that is answered with one message. It returns
// errUnknownRequest for a request that this VM does not handle.
func (control *Control) answer(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	switch body := request.GetBody().(type) {
	case *wire.Request_RoutesFetch:
		page, err := control.answerRoutesFetch(ctx, body.RoutesFetch)
		if err != nil {
			return nil, err
		}
		return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: page}}, nil
	case *wire.Request_Hold:
		return &wire.Response{Body: &wire.Response_HoldResult{HoldResult: control.grantLease(ctx, body.Hold)}}, nil
	case *wire.Request_Place:
		return &wire.Response{Body: &wire.Response_PlaceResult{PlaceResult: control.place(ctx, body.Place)}}, nil
	case *wire.Request_Usage:
		return &wire.Response{Body: &wire.Response_UsageResult{UsageResult: control.recordUsage(body.Usage)}}, nil
	case *wire.Request_CrashEvidence:
		control.applyCrashEvidence(body.CrashEvidence)
		return &wire.Response{Body: &wire.Response_CrashEvidenceResult{CrashEvidenceResult: &wire.CrashEvidenceResult{}}}, nil
	case *wire.Request_Departure:
		if err := control.applyDeparture(body.Departure); err != nil {
			return nil, err
		}
		return &wire.Response{Body: &wire.Response_DepartureResult{DepartureResult: &wire.DepartureResult{}}}, nil
	case *wire.Request_Admit:
		return &wire.Response{Body: &wire.Response_AdmitResult{AdmitResult: control.admit(body.Admit)}}, nil
	case *wire.Request_QuotaRequest:
		return &wire.Response{Body: &wire.Response_QuotaResult{QuotaResult: control.grantQuotas(body.QuotaRequest)}}, nil
	case *wire.Request_OriginQuery:
		return &wire.Response{Body: &wire.Response_OriginResult{OriginResult: control.answerOriginQuery(ctx, body.OriginQuery)}}, nil
	case *wire.Request_OriginFetch:
		return &wire.Response{Body: &wire.Response_OriginRecords{OriginRecords: control.originRecords(body.OriginFetch)}}, nil
	case *wire.Request_Audit:
		control.origins.addBatch(clock.Now(), body.Audit)
		if control.options.Records != nil {
			result := control.options.Records.Receive(ctx, body.Audit)
			if body.Audit.GetMajority() {
				result.Group = peer.ControlGroupMessage(control.view())
			}
			return &wire.Response{Body: &wire.Response_AuditResult{AuditResult: result}}, nil
		}
	}
	if response, ok := control.options.Host.Handle(ctx, request); ok {
		return response, nil
	}
	return nil, errUnknownRequest
}
