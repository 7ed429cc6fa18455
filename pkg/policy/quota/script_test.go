package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// script has one grantor and some entry VMs, and one workspace. Messages are delivered one by one.
type script struct {
	workspace core.Workspace
	grantor   *Grantor
	shares    Shares
	leases    map[string]*Lease
	requests  map[string]Request
	asked     map[string]time.Duration
	results   map[string]Result
}

// TestScripts guards against the errors that the data files name, each against the loss of one
// mechanism that keeps the bound: its effect may be too small for the drawn plays of TestWindow.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &script{leases: make(map[string]*Lease), requests: make(map[string]Request), asked: make(map[string]time.Duration), results: make(map[string]Result)}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return script.run(t, data) + "\n" })
	})
}

func (script *script) run(t *testing.T, data *datadriven.TestData) string {
	number := func(name string) int64 {
		value := int64(0)
		data.MaybeScanArgs(t, name, &value)
		return value
	}
	at, vm, tokens := "0s", "a", core.Tokens(number("tokens"))
	data.MaybeScanArgs(t, "at", &at)
	data.MaybeScanArgs(t, "vm", &vm)
	since, err := time.ParseDuration(at)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour + since
	lease := script.leases[vm]
	if lease == nil {
		lease = &Lease{}
		script.leases[vm] = lease
	}
	switch data.Cmd {
	case "limit":
		script.workspace = core.Workspace{Workspace: "w", Quota: core.Quota{Rate: core.TokensPerSecond(number("rate")), Burst: core.Tokens(number("burst"))}}
		if script.grantor != nil {
			script.grantor.SetLimits(now, []core.Workspace{script.workspace})
		}
		for _, lease := range script.leases {
			lease.SetLimits(now, []core.Workspace{script.workspace})
		}
	case "grantor":
		script.grantor = NewGrantor(now, core.FencingToken(number("token")), script.shares, data.HasArg("resumed"))
		script.grantor.SetLimits(now, []core.Workspace{script.workspace})
	case "record":
		script.record(now)
		encoded, _ := json.Marshal(script.shares.Shares)
		return string(encoded)
	case "propose":
		shares, ok := script.grantor.Propose(now)
		encoded, _ := json.Marshal(shares.Shares)
		return fmt.Sprint(ok, " ", string(encoded))
	case "restart":
		script.leases[vm] = &Lease{}
	case "ask":
		script.ask(now, vm, core.Tokens(number("first")), core.Tokens(number("total")))
	case "deliver":
		script.results[vm] = script.grantor.Grant(now, script.requests[vm])
	case "answer":
		lease.Answer(now, script.asked[vm], script.requests[vm], script.results[vm])
		return script.granted(vm)
	case "exchange":
		script.ask(now, vm, core.Tokens(number("first")), max(core.Tokens(number("first")), core.Tokens(number("total"))))
		script.results[vm] = script.grantor.Grant(now, script.requests[vm])
		lease.Answer(now, script.asked[vm], script.requests[vm], script.results[vm])
		return script.granted(vm)
	case "settle":
		// Three exchanges record the share, tell the VM of it and count it.
		for i := range 4 {
			step := now + time.Duration(i)*time.Millisecond
			script.ask(step, vm, 0, 0)
			script.results[vm] = script.grantor.Grant(step, script.requests[vm])
			lease.Answer(step, script.asked[vm], script.requests[vm], script.results[vm])
			script.record(step)
		}
	case "take":
		decision, retryAfter := lease.Take(now, &script.workspace, tokens)
		return fmt.Sprint([]string{"", "taken", "ask", "refused"}[decision], " ", retryAfter)
	case "own":
		retryAfter, ok := lease.TakeOwn(now, &script.workspace, tokens)
		return fmt.Sprint(ok, " ", retryAfter.Round(time.Millisecond))
	case "return":
		taken := at
		data.MaybeScanArgs(t, "taken", &taken)
		since, err := time.ParseDuration(taken)
		if err != nil {
			t.Fatal(err)
		}
		lease.Return(now, "w", tokens, time.Hour+since)
	case "level":
		script.grantor.advance(now, 0)
		bucket := script.grantor.buckets["w"]
		bucket.fill(script.grantor.flow)
		return fmt.Sprintf("%.0f", bucket.level)
	default:
		return "unknown command"
	}
	return "ok"
}

func (script *script) record(now time.Duration) {
	if shares, ok := script.grantor.Propose(now); ok {
		script.shares = Shares{Number: shares.Number + 1, Shares: shares.Shares}
		script.grantor.SetShares(now, script.shares)
	}
}

func (script *script) ask(now time.Duration, vm string, first, total core.Tokens) {
	var waiting []Waiting
	if total > 0 {
		waiting = append(waiting, Waiting{Workspace: &script.workspace, First: first, Total: total})
	}
	script.asked[vm] = now
	script.requests[vm] = script.leases[vm].Request(now, core.VMID(vm), waiting)
}

// granted describes the answer to a VM.
func (script *script) granted(vm string) string {
	result := script.results[vm]
	out := fmt.Sprint("share=", result.Share)
	for _, grant := range result.Grants {
		out += fmt.Sprint(" tokens=", grant.Tokens, " retry=", grant.RetryAfter.Round(time.Millisecond))
	}
	return out
}
