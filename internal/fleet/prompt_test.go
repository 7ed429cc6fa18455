package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// promptTable returns a table with two engines that hold the weights.
func promptTable(weights core.WeightKey) *Table {
	table := NewTable("z")
	for _, id := range []core.UpstreamID{"u1", "u2"} {
		table.SetInstance(0, core.Instance{
			Upstream: id, Born: 1, Sequence: 1, Service: "s", Address: "a-" + string(id), Zone: "z", Slots: 24,
			Models: []core.ModelResidency{{Model: weights.Model}},
		})
	}
	return table
}

// TestPromptsInFlight guards against a request that is sent behind a long prompt, of this VM or
// of another one, while another engine is free, and against a prompt that counts after its first
// event or after its request has ended.
func TestPromptsInFlight(t *testing.T) {
	is := is.New(t)
	weights := core.WeightKey{Model: "m"}
	table := promptTable(weights)
	query := Query{Service: "s", Weights: weights, Objective: time.Second}
	long := query
	long.Prompt = 10_000
	first, ok := table.Select(0, long)
	is.True(ok)
	for range 3 {
		short, ok := table.Select(0, query)
		is.True(ok)
		is.True(short.Upstream != first.Upstream) // a long prompt weighs more than some requests
	}
	table.PromptRead(first, 300*time.Millisecond)
	table.PromptRead(first, 300*time.Millisecond) // a second time has no effect
	is.Equal(table.upstreams[first.Upstream].ownPrompts, core.Tokens(0))
	next, _ := table.Select(0, query)
	is.Equal(next.Upstream, first.Upstream)
	table.Finish(first)
	is.Equal(table.upstreams[first.Upstream].ownPrompts, core.Tokens(0))

	unanswered, _ := table.Reserve(0, "u1", long)
	var reported uint64
	for _, use := range table.collectUsage(0, "e", "z").GetUpstreams() {
		reported += use.GetPromptTokens()
	}
	is.Equal(reported, uint64(10_000))
	table.Finish(unanswered)
	is.Equal(table.upstreams["u1"].ownPrompts, core.Tokens(0))

	table.setOtherRunning("z", &wire.UsageResult{Upstreams: []*wire.UpstreamUse{{Upstream: "u1", Running: 1, PromptTokens: 50_000}}})
	elsewhere, _ := table.Select(0, query)
	is.Equal(elsewhere.Upstream, core.UpstreamID("u2"))
	table.setOtherRunning("z", &wire.UsageResult{})
	is.Equal(table.upstreams["u1"].otherPrompts, core.Tokens(0))
}
