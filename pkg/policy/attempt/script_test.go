package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

var epoch = time.Unix(1_000_000, 0)

// TestScripts guards against passing on a chunk of a superseded attempt, repeating a
// request that must not be repeated, continuing an answer with other software than the one
// that began it, and reporting a wrong outcome.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var lifecycle *Lifecycle
		budget := &Budget{}
		datadriven.RunTest(t, path, func(t *testing.T, line *datadriven.TestData) string {
			if line.Cmd == "request" {
				lifecycle = New(paramsOf(t, line))
				if lifecycle.Enqueue(); line.HasArg("claim") {
					return describe(lifecycle, refusalText(lifecycle.Claim(claimOf(t, line))))
				}
				return describe(lifecycle, "")
			}
			return describe(lifecycle, runCommand(t, lifecycle, budget, line))
		})
	})
}

func paramsOf(t *testing.T, line *datadriven.TestData) RequestParams {
	params := RequestParams{
		Repeatable: line.HasArg("repeatable"), Model: line.HasArg("model"), Buffered: line.HasArg("buffered"),
		Deadline: epoch.Add(5 * time.Second),
	}
	if params.Model {
		params.Pin = core.AdapterVersion{Adapter: "x", Version: "1"}
	}
	return params
}

func claimOf(t *testing.T, line *datadriven.TestData) ClaimResult {
	var name string
	line.ScanArgs(t, "claim", &name)
	names := map[string]ClaimResult{
		"granted": ClaimGranted, "in_progress": ClaimInProgress, "done": ClaimDone,
		"unknown": ClaimUnknown, "conflict": ClaimConflict, "unavailable": ClaimUnavailable,
	}
	return names[name]
}

func runCommand(t *testing.T, lifecycle *Lifecycle, budget *Budget, line *datadriven.TestData) string {
	var id string
	line.MaybeScanArgs(t, "id", &id)
	switch line.Cmd {
	case "send":
		offset, ok := lifecycle.Send(core.AttemptID(id))
		return fmt.Sprintf("offset=%d ok=%t", offset, ok)
	case "chunk":
		chunk, count := chunkOf(t, line, id)
		return lifecycle.Accept(chunk, count).String()
	case "end":
		return applyEnd(lifecycle, budget, t, line, id)
	case "abandon":
		return refusalText(lifecycle.Cancel())
	}
	t.Fatalf("unknown command %q", line.Cmd)
	return ""
}

func chunkOf(t *testing.T, line *datadriven.TestData, id string) (core.Chunk, core.Tokens) {
	offset, count := 0, 1
	line.MaybeScanArgs(t, "offset", &offset)
	line.MaybeScanArgs(t, "count", &count)
	chunk := core.Chunk{Attempt: core.AttemptID(id), Offset: core.Tokens(offset)}
	if line.HasArg("head") {
		var ran string
		line.ScanArgs(t, "head", &ran)
		av, err := core.ParseAdapterVersion(ran)
		if err != nil {
			t.Fatal(err)
		}
		software := "s1"
		line.MaybeScanArgs(t, "software", &software)
		chunk.Head = &core.Head{Ran: av, Software: core.SoftwareVersion(strings.TrimPrefix(software, "none"))}
	}
	return chunk, core.Tokens(count)
}

func applyEnd(lifecycle *Lifecycle, budget *Budget, t *testing.T, line *datadriven.TestData, id string) string {
	var outcome, code, upstream string
	var tokens, seconds int
	groups := 2
	line.MaybeScanArgs(t, "outcome", &outcome)
	line.MaybeScanArgs(t, "code", &code)
	line.MaybeScanArgs(t, "upstream", &upstream)
	line.MaybeScanArgs(t, "tokens", &tokens)
	line.MaybeScanArgs(t, "at", &seconds)
	line.MaybeScanArgs(t, "groups", &groups)
	parsed, _ := core.ParseOutcome(outcome)
	decision := lifecycle.End(core.End{
		Attempt: core.AttemptID(id), Whole: line.HasArg("whole"), Outcome: parsed,
		Code: core.RefusalCode(code), Tokens: core.Tokens(tokens), Upstream: core.UpstreamID(upstream),
	}, DecisionInput{Now: epoch.Add(time.Duration(seconds) * time.Second), Groups: groups, Budget: budget})
	text := decision.Action.String()
	if decision.Action != Refuse && decision.Action != Finish && decision.Action != Ignore {
		text += fmt.Sprintf(" after=%s next_group=%t", decision.After, decision.NextGroup)
	}
	return strings.TrimSpace(text + " " + refusalText(decision.Refusal))
}

func refusalText(refusal *core.Refusal) string {
	if refusal == nil {
		return ""
	}
	return string(refusal.Code) + "/" + refusal.Outcome.String()
}

func describe(lifecycle *Lifecycle, result string) string {
	text := fmt.Sprintf("%s outcome=%s tokens=%d\n", lifecycle.State(), lifecycle.Outcome(), lifecycle.Tokens())
	if result != "" {
		text = result + "\n" + text
	}
	return text
}
