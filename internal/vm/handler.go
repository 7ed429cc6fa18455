package vm

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/session"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// errUnknownRequest is returned for a request that this version does not support, or that
// requires a disk on a VM without one.
var errUnknownRequest = errors.New("this VM does not handle the request")

// handler handles the requests of other VMs.
type handler struct {
	forwarding *forwardServer
	registry   registry
	session    *session.Session
	auditor    *auditor.Auditor
	archive    archive
	// auditFolder is empty on a VM without a disk.
	auditFolder string
	info        infoHandler
	// host is nil on a VM without a disk.
	host *host.Host
}

// Handle passes the responses to a request of another VM to send. An error is sent as a
// Failure response.
func (handler handler) Handle(ctx context.Context, from core.VMID, request *wire.Request, send func(*wire.Response) error) {
	if forward := request.GetForward(); forward != nil {
		handler.forwarding.serve(ctx, forward, send)
		return
	}
	if request.GetAuditFetch() != nil {
		handler.sendAuditLog(send)
		return
	}
	response, err := handler.answer(ctx, from, request)
	if err != nil {
		_ = peer.SendFailure(send, err)
		return
	}
	_ = send(response)
}

func (handler handler) answer(ctx context.Context, _ core.VMID, request *wire.Request) (*wire.Response, error) {
	switch body := request.Body.(type) {
	case *wire.Request_AttemptQuery:
		state := handler.forwarding.withdrawAttempt(body.AttemptQuery)
		return &wire.Response{Body: &wire.Response_AttemptState{AttemptState: state}}, nil
	case *wire.Request_Announce:
		result := handler.registry.handleAnnounce(body.Announce)
		return &wire.Response{Body: &wire.Response_AnnounceResult{AnnounceResult: result}}, nil
	case *wire.Request_Audit:
		result := handler.auditor.Receive(ctx, body.Audit)
		return &wire.Response{Body: &wire.Response_AuditResult{AuditResult: result}}, nil
	case *wire.Request_ConfigFetch:
		return handler.configPage(body.ConfigFetch)
	case *wire.Request_VmInfo:
		result := handler.info.answer(ctx, body.VmInfo)
		return &wire.Response{Body: &wire.Response_VmInfoResult{VmInfoResult: result}}, nil
	}
	if response, ok := handler.session.Handle(ctx, request); ok {
		return response, nil
	}
	if handler.host != nil {
		if response, ok := handler.host.Handle(ctx, request); ok {
			return response, nil
		}
	}
	return nil, errUnknownRequest
}

// sendAuditLog sends every audit record on this VM's disk to a VM that restores its own.
func (handler handler) sendAuditLog(send func(*wire.Response) error) {
	if handler.auditFolder == "" {
		_ = peer.SendFailure(send, errUnknownRequest)
		return
	}
	if err := auditor.SendLog(handler.auditFolder, send); err != nil {
		_ = peer.SendFailure(send, err)
	}
}

func (handler handler) configPage(request *wire.ConfigFetch) (*wire.Response, error) {
	if handler.archive.replica == nil {
		return nil, errUnknownRequest
	}
	page, err := handler.archive.read(request)
	if err != nil {
		return nil, err
	}
	return &wire.Response{Body: &wire.Response_ConfigPage{ConfigPage: page}}, nil
}
