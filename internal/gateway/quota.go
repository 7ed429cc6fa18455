package gateway

import (
	"net/http"

	"github.com/dandelionring/dandelionring/internal/clock"
)

// takeQuota takes the tokens of the request from the quota of the workspace. If the workspace is at
// its limit, it refuses the request and returns false. A request that another VM has handed over was
// counted there.
func (call *call) takeQuota() bool {
	quotas := call.gateway.options.Quotas
	if quotas == nil || call.workspace == nil || call.takenOver {
		return true
	}
	tokens := call.workspace.Quota.Cost(call.request.Tokens)
	left, ok := quotas.Take(call.incoming.Context(), call.workspace, tokens)
	if !ok {
		call.retryAfter = left
		call.refuse(http.StatusTooManyRequests, reasonQuota)
		return false
	}
	call.tokens, call.tokensAt = tokens, clock.Now()
	return true
}

// reasonQuota is the reason why a request is refused whose workspace is at its limit.
const reasonQuota = "the workspace is at its limit of tokens"

// returnQuota gives back the tokens of a request that was not sent to any upstream.
func (call *call) returnQuota() {
	if call.tokens > 0 && call.counts.Sends == 0 {
		call.gateway.options.Quotas.Return(call.workspace, call.tokens, call.tokensAt)
		call.tokens = 0
	}
}
