package peer

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
)

// QuotaRequestMessage returns the message with a request for tokens of a VM that applies the
// given route table.
func QuotaRequestMessage(request quota.Request, number core.ConfigNumber) *wire.QuotaRequest {
	message := &wire.QuotaRequest{
		Vm: string(request.VM), Attached: request.Answered != (quota.Stamp{}), TableNumber: uint64(number),
		Share: uint32(request.Share), Answered: quotaStampMessage(request.Answered),
	}
	for _, want := range request.Wants {
		message.Wants = append(message.Wants, &wire.QuotaWant{
			Workspace: string(want.Workspace), MinTokens: uint64(want.Min), WaitingTokens: uint64(want.Waiting), WantedTokens: uint64(want.Ahead),
			ReserveTokens: uint64(want.Reserve), ReturnedTokens: uint64(want.Returned), ReturnedStampNanos: uint64(want.ReturnedFrom),
		})
	}
	return message
}

// QuotaRequestFromMessage returns the request that a message carries. It is the inverse of
// QuotaRequestMessage.
func QuotaRequestFromMessage(message *wire.QuotaRequest) quota.Request {
	request := quota.Request{
		VM: core.VMID(message.GetVm()), Share: min(core.QuotaShare(message.GetShare()), core.WholeQuota), Answered: quotaStampFromMessage(message.GetAnswered()),
	}
	for _, want := range message.GetWants() {
		request.Wants = append(request.Wants, quota.Want{
			Workspace: core.WorkspaceID(want.GetWorkspace()), Min: tokens(want.GetMinTokens()), Waiting: tokens(max(want.GetMinTokens(), want.GetWaitingTokens())), Ahead: tokens(want.GetWantedTokens()),
			Reserve: tokens(want.GetReserveTokens()), Returned: tokens(want.GetReturnedTokens()), ReturnedFrom: time.Duration(min(want.GetReturnedStampNanos(), 1<<62)),
		})
	}
	return request
}

// QuotaResultMessage returns the message with the answer to a request for tokens.
func QuotaResultMessage(result quota.Result) *wire.QuotaResult {
	message := &wire.QuotaResult{Stamp: quotaStampMessage(result.Stamp), Share: uint32(result.Share)}
	for _, grant := range result.Grants {
		message.Grants = append(message.Grants, &wire.QuotaGrant{
			Workspace: string(grant.Workspace), GrantedTokens: uint64(grant.Tokens), RetryAfterMillis: uint64((grant.RetryAfter + time.Millisecond - 1).Milliseconds()),
		})
	}
	return message
}

// QuotaResultFromMessage returns the answer that a message carries. It is the inverse of
// QuotaResultMessage, but for fractions of a millisecond.
func QuotaResultFromMessage(message *wire.QuotaResult) quota.Result {
	result := quota.Result{Stamp: quotaStampFromMessage(message.GetStamp()), Share: min(core.QuotaShare(message.GetShare()), core.WholeQuota)}
	for _, grant := range message.GetGrants() {
		result.Grants = append(result.Grants, quota.Grant{
			Workspace: core.WorkspaceID(grant.GetWorkspace()), Tokens: tokens(grant.GetGrantedTokens()), RetryAfter: time.Duration(min(grant.GetRetryAfterMillis(), maxRetryMillis)) * time.Millisecond,
		})
	}
	return result
}

const (
	// maxTokens bounds the tokens of a message, whose sums must not overflow.
	maxTokens = 1 << 48
	// maxRetryMillis bounds the time of a message after which a caller returns.
	maxRetryMillis = 60_000
)

func tokens(value uint64) core.Tokens { return core.Tokens(min(value, maxTokens)) }

// quotaStampMessage returns nil for the zero stamp.
func quotaStampMessage(stamp quota.Stamp) *wire.QuotaStamp {
	if stamp == (quota.Stamp{}) {
		return nil
	}
	return &wire.QuotaStamp{FencingToken: uint64(stamp.Token), Nanos: uint64(stamp.At)}
}

func quotaStampFromMessage(message *wire.QuotaStamp) quota.Stamp {
	return quota.Stamp{Token: core.FencingToken(message.GetFencingToken()), At: time.Duration(min(message.GetNanos(), 1<<62))}
}
