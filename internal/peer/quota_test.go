package peer

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
)

// TestQuotaMessages guards against a field of a request for tokens, or of its answer, that is lost
// or changed on its way to another VM.
func TestQuotaMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := func(name string) core.Tokens { return core.Tokens(rapid.Int64Range(0, 1<<40).Draw(t, name)) }
		stamp := quota.Stamp{Token: core.FencingToken(rapid.Uint64().Draw(t, "token")), At: time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "at"))}
		share := core.QuotaShare(rapid.Uint32Range(0, uint32(core.WholeQuota)).Draw(t, "share"))
		request := quota.Request{VM: "vm", Share: share, Answered: stamp}
		result := quota.Result{Stamp: stamp, Share: share}
		for range rapid.IntRange(0, 3).Draw(t, "wants") {
			first := tokens("first")
			request.Wants = append(request.Wants, quota.Want{
				Workspace: "w", Min: first, Waiting: first + tokens("more"), Ahead: tokens("ahead"), Reserve: tokens("reserve"),
				Returned: tokens("returned"), ReturnedFrom: time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "from")),
			})
			retry := time.Duration(rapid.Int64Range(0, maxRetryMillis).Draw(t, "retry")) * time.Millisecond
			result.Grants = append(result.Grants, quota.Grant{Workspace: "w", Tokens: tokens("granted"), RetryAfter: retry})
		}
		requestMessage, resultMessage := &wire.QuotaRequest{}, &wire.QuotaResult{}
		overWire(t, QuotaRequestMessage(request, 7), requestMessage)
		overWire(t, QuotaResultMessage(result), resultMessage)
		if got := QuotaRequestFromMessage(requestMessage); !reflect.DeepEqual(got, request) {
			t.Fatalf("%+v arrived as %+v", request, got)
		}
		if got := QuotaResultFromMessage(resultMessage); !reflect.DeepEqual(got, result) {
			t.Fatalf("%+v arrived as %+v", result, got)
		}
	})
}

// overWire encodes a message and decodes it into another one.
func overWire(t *rapid.T, from, to proto.Message) {
	encoded, err := proto.Marshal(from)
	if err == nil {
		err = proto.Unmarshal(encoded, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}
