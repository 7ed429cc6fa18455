package conviction

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// script plays a script on the types of the package.
type script struct {
	judge  Judge
	passes Passes
	bans   Bans
}

// TestScripts guards against content that crashes one upstream after another, and against
// the conviction of content that sound requests have too or that several upstreams were
// lost with by another cause.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		script := &script{bans: Bans{VM: "entry"}}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var at, age, left time.Duration
			for _, arg := range data.CmdArgs {
				for name, value := range map[string]*time.Duration{"at": &at, "age": &age, "left": &left} {
					if arg.Key != name {
						continue
					}
					var err error
					if *value, err = time.ParseDuration(arg.Vals[0]); err != nil {
						t.Fatal(err)
					}
				}
			}
			return script.play(t, data, at, age, left)
		})
	})
}

func (script *script) play(t *testing.T, data *datadriven.TestData, now, age, left time.Duration) string {
	switch data.Cmd {
	case "crash":
		var upstream string
		data.ScanArgs(t, "of", &upstream)
		return renderVerdicts(script.judge.Report(now, Crash{Upstream: core.UpstreamID(upstream), Born: 1, Age: age, Suspects: parseSuspects(data.Input)}))
	case "pass":
		return renderVerdicts(script.judge.Pass(now, Trait(data.Input), age))
	case "verdicts":
		return renderVerdicts(script.judge.Verdicts(now))
	case "merge":
		return fmt.Sprintln(script.judge.Merge(now, parseVerdict(data.Input, age, left)))
	case "apply":
		verdict := parseVerdict(data.Input, age, left)
		verdict.Trier = "entry"
		for _, arg := range data.CmdArgs {
			if arg.Key == "trier" {
				verdict.Trier = core.VMID(arg.Vals[0])
			}
		}
		script.bans.Apply(now, verdict)
		return ""
	case "convictions":
		return renderVerdicts(script.bans.Convictions(now))
	case "refuse":
		request := parseRequest(data.Input)
		left, refused := script.bans.Refuse(now, request)
		return fmt.Sprintln(refused, left, script.bans.Refused(now, request), script.bans.Watched(now, request))
	case "answered":
		script.passes.Record(now, parseRequest(data.Input))
		return ""
	case "suspect":
		return fmt.Sprintln(script.passes.Suspect(now, parseRequest(data.Input)))
	default:
		return "unknown command\n"
	}
}

// parseRequest parses a content and the parts of a prompt without its last one.
func parseRequest(text string) Request {
	fields := strings.Fields(text)
	request := Request{Content: Trait(fields[0])}
	for _, part := range fields[1:] {
		request.Parts = append(request.Parts, Trait(part))
	}
	return request
}

// parseSuspects parses a request a line. A trait may be followed by a tilde and the time
// since it passed.
func parseSuspects(text string) []Suspect {
	var suspects []Suspect
	for line := range strings.Lines(text) {
		request := parseRequest(line)
		suspect := Suspect{Content: parseEvidence(request.Content)}
		for _, part := range request.Parts {
			suspect.Parts = append(suspect.Parts, parseEvidence(part))
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

func parseEvidence(text Trait) Evidence {
	trait, ageText, passed := strings.Cut(string(text), "~")
	age, _ := time.ParseDuration(ageText)
	return Evidence{Trait: Trait(trait), Passed: passed, PassAge: age}
}

func parseVerdict(text string, age, left time.Duration) Verdict {
	name, status, _ := strings.Cut(text, " ")
	verdict := Verdict{Trait: Trait(name), Age: age, Left: left}
	for _, known := range []Status{Suspected, Convicted, Cleared} {
		if known.String() == status {
			verdict.Status = known
		}
	}
	return verdict
}

func renderVerdicts(verdicts []Verdict) string {
	var out strings.Builder
	for _, verdict := range verdicts {
		fmt.Fprintf(&out, "%s %s age=%v left=%v\n", verdict.Trait, verdict.Status, verdict.Age, verdict.Left)
	}
	return out.String()
}

// TestJudgeBounds guards against an attacker whose requests have ever new parts and so fill
// the memory of a control VM.
func TestJudgeBounds(t *testing.T) {
	judge := &Judge{}
	now := time.Duration(0)
	for i := range 2 * maxEnds {
		crash := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), Born: 1}
		for j := range 2 * maxTraitsOfEnd {
			trait := Trait(fmt.Sprint("p", i, "-", j))
			crash.Suspects = append(crash.Suspects, Suspect{Content: Evidence{Trait: trait, Passed: true}})
		}
		now += together
		judge.Report(now, crash)
	}
	if len(judge.ends) > maxEnds || len(judge.lastPass) > maxTraits || len(judge.judgements) > maxTraits {
		t.Fatalf("%d ends, %d passes and %d judgements are kept", len(judge.ends), len(judge.lastPass), len(judge.judgements))
	}
	for _, end := range judge.ends {
		if len(end.traits) > maxTraitsOfEnd {
			t.Fatalf("an end has %d traits", len(end.traits))
		}
	}
}
