package ledger

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/bytediff"
)

// script runs the commands of a data file against a state. Arguments have the form
// name=value; the argument at is the timestamp of the command in milliseconds.
type script struct {
	t     *testing.T
	state *State
	index uint64
	// follower is a configuration that is kept up to date by deltas.
	follower core.Config
	// prepared is a change of the route table that is applied later.
	prepared ChangeRoutes
}

// TestScripts checks the results of the state machine: history and conflicts of the
// lists, deltas, ownership, claims, crash reports and routes. The comment at the start
// of each data file says what it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &script{t: t, state: New(Limits{AnswerBytes: 100})}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			script.t = t
			return strings.TrimSuffix(script.run(data), "\n") + "\n"
		})
	})
}

func (script *script) run(data *datadriven.TestData) string {
	switch data.Cmd {
	case "plans", "grants":
		return script.put(data)
	case "assign":
		return script.assign(data)
	case "claim":
		return script.claim(data)
	case "record":
		return script.record(data)
	case "crash":
		return script.crash(data)
	case "routes":
		put := putRoutes(data)
		put.Compressed = data.HasArg("compressed")
		result := script.apply(data, Command{PutRoutes: &put})
		return fmt.Sprintf("changed=%t number=%d conflict=%t", result.PutRoutes.Changed, result.PutRoutes.Number, result.PutRoutes.Conflict)
	case "prepare":
		script.prepared, _ = script.state.RouteBase().Prepare(putRoutes(data))
		return fmt.Sprintf("from %d", script.prepared.Change.From)
	case "prepared":
		if data.HasArg("damaged") {
			script.prepared.Edits = append(script.prepared.Edits, bytediff.Edit{Data: []byte("x")})
		}
		return script.changeRoutes(data, script.prepared)
	case "change":
		change, _ := script.state.RouteBase().Prepare(putRoutes(data))
		return script.changeRoutes(data, change)
	case "document":
		table, document := script.state.Routes()
		return fmt.Sprintf("%d: %s", table.Number, document)
	case "workspaces":
		table, _ := script.state.Routes()
		return marshalJSON(table.Workspaces)
	case "revision":
		key := core.WeightKey{Model: "m", Adapter: core.AdapterID(stringArg(data, "adapter"))}
		result := script.apply(data, Command{NameRevision: &AnnounceRevision{Weights: key, Revision: core.Revision(intArg(data, "revision"))}})
		return fmt.Sprintf("newest=%d", result.NameRevision.Newest)
	case "quota-owner":
		group := core.QuotaGroup
		owner, _ := script.state.Owner(group)
		return fmt.Sprintf("token=%d", script.apply(data, Command{Assign: &Assign{Group: group, VM: core.VMID(stringArg(data, "vm")), Previous: owner.Token}}).Assign.Ownership.Token)
	case "quota-shares":
		shares := map[core.VMID]core.QuotaShare{core.VMID(stringArg(data, "vm")): core.QuotaShare(intArg(data, "share"))}
		put := &PutQuotaShares{Token: core.FencingToken(intArg(data, "token")), Replaces: uint64(intArg(data, "replaces")), Shares: shares}
		result := script.apply(data, Command{QuotaShares: put}).QuotaShares
		_, recorded := script.state.QuotaShares()
		return fmt.Sprintf("changed=%t number=%d shares=%s", result.Changed, result.Number, marshalJSON(recorded))
	case "revisions":
		return marshalJSON(script.state.RevisionsSince(uint64(intArg(data, "since"))))
	case "restart":
		return script.restart()
	case "at":
		return script.at(core.ConfigNumber(intArg(data, "number")))
	case "delta":
		return script.delta(core.ConfigNumber(intArg(data, "since")))
	case "follow":
		return script.follow()
	case "suspicions":
		return marshalJSON(script.state.SuspectedRequests())
	case "keys":
		return fmt.Sprint(script.state.ClaimCount())
	default:
		return "unknown command " + data.Cmd
	}
}

// putRoutes returns the command that the arguments and the document of a test case describe.
func putRoutes(data *datadriven.TestData) PutRoutes {
	table := core.RouteTable{Number: core.ConfigNumber(intArg(data, "number"))}
	if data.HasArg("workspace") {
		rank := int(intArg(data, "rank"))
		table.Workspaces = []core.Workspace{{Workspace: core.WorkspaceID(stringArg(data, "workspace")), Rank: &rank, Keys: []core.KeyDigest{core.DigestKey("k")}}}
	}
	return PutRoutes{Table: table, Document: []byte(data.Input)}
}

func (script *script) changeRoutes(data *datadriven.TestData, change ChangeRoutes) string {
	result := script.apply(data, Command{ChangeRoutes: &change}).PutRoutes
	return fmt.Sprintf("changed=%t number=%d conflict=%t stale=%t", result.Changed, result.Number, result.Conflict, result.Stale)
}

func stringArg(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func intArg(data *datadriven.TestData, name string) int64 {
	value, _ := strconv.ParseInt(stringArg(data, name), 10, 64)
	return value
}

func marshalJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// apply encodes and decodes the command, as the log does, and applies it.
func (script *script) apply(data *datadriven.TestData, command Command) Result {
	command.At = intArg(data, "at")
	if command.PutList != nil && !data.HasArg("raw") {
		change, result, done := script.state.PrepareChange(PreparePutList(*command.PutList))
		if done {
			return Result{PutList: &result}
		}
		command = Command{At: command.At, Change: &change}
	}
	encoded, err := EncodeCommand(command)
	if err != nil {
		script.t.Fatal(err)
	}
	decoded, err := DecodeCommand(encoded)
	if err != nil {
		script.t.Fatal(err)
	}
	script.index++
	return script.state.Apply(script.index, decoded)
}

// put replaces a list. Each input line is an entry: a plan and its customer, or a plan
// and its adapters.
func (script *script) put(data *datadriven.TestData) string {
	command := &PutList{Replaces: core.ConfigNumber(intArg(data, "replaces")), Operator: stringArg(data, "operator")}
	if data.Cmd == "plans" {
		command.Kind, command.Plans = core.PlansList, &core.Plans{}
	} else {
		command.Kind, command.Grants = core.GrantsList, &core.Grants{}
	}
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		if data.Cmd == "plans" {
			key := core.KeyHash(fmt.Sprintf("%064x", fields[0]))
			command.Plans.Plans = append(command.Plans.Plans, core.Plan{Plan: core.PlanID(fields[0]), Customer: core.CustomerID(fields[1]), KeyHashes: []core.KeyHash{key}})
			continue
		}
		grant := core.Grant{Plan: core.PlanID(fields[0])}
		for _, adapter := range fields[1:] {
			grant.Adapters = append(grant.Adapters, core.AdapterGrant{Adapter: core.AdapterID(adapter), Model: "m", Versions: []core.Version{"1"}})
		}
		command.Grants.Grants = append(command.Grants.Grants, grant)
	}
	result := script.apply(data, Command{PutList: command}).PutList
	line := fmt.Sprintf("accepted=%t number=%d hash=%.8s", result.Accepted, result.Number, result.Hash)
	if result.Winner != nil {
		line += fmt.Sprintf(" winner=%d by %s", result.Winner.Number, result.Winner.Operator)
	}
	for _, fault := range result.Faults {
		line += "\n" + fault.Error()
	}
	return line
}

func (script *script) assign(data *datadriven.TestData) string {
	result := script.apply(data, Command{Assign: &Assign{
		Group: core.GroupID{Zone: "z", Kind: core.EngineGroup, Name: stringArg(data, "group")},
		VM:    core.VMID(stringArg(data, "vm")), Incarnation: "1", Previous: core.FencingToken(intArg(data, "previous")),
	}}).Assign
	return fmt.Sprintf("changed=%t owner=%s token=%d directory=%d", result.Changed, result.Ownership.VM, result.Ownership.Token, script.state.DirectoryNumber())
}

func (script *script) claim(data *datadriven.TestData) string {
	result := script.apply(data, Command{Claim: &Claim{
		Customer: core.CustomerID(stringArg(data, "customer")), Key: core.IdempotencyKey(stringArg(data, "key")),
		Content: core.Fingerprint(stringArg(data, "content")), Attempt: core.AttemptID(stringArg(data, "attempt")),
		Holder: core.VMID(stringArg(data, "vm")), HolderIncarnation: core.Incarnation(stringArg(data, "run")), HoldMillis: intArg(data, "hold"),
	}}).Claim
	names := map[ClaimState]string{ClaimGranted: "granted", ClaimInProgress: "in progress", ClaimDone: "done", ClaimUnknown: "unknown", ClaimConflict: "conflict"}
	line := fmt.Sprintf("%s since=%d", names[result.State], result.Since)
	if answer := result.Answer; answer != nil {
		line += fmt.Sprintf(" status=%d body=%q truncated=%t length=%d", answer.Status, answer.Body, answer.Truncated, answer.Length)
	}
	return line
}

func (script *script) record(data *datadriven.TestData) string {
	outcome, _ := core.ParseOutcome(stringArg(data, "outcome"))
	record := &Record{
		Customer: core.CustomerID(stringArg(data, "customer")), Key: core.IdempotencyKey(stringArg(data, "key")),
		Attempt: core.AttemptID(stringArg(data, "attempt")), Outcome: outcome,
	}
	if outcome == core.Ran {
		size := intArg(data, "size")
		record.Answer = &Answer{Status: 200, Body: []byte(strings.Repeat("x", int(size))), Length: core.Bytes(size)}
	}
	return fmt.Sprintf("accepted=%t", script.apply(data, Command{Record: record}).Record.Accepted)
}

func (script *script) crash(data *datadriven.TestData) string {
	report := &CrashReport{Upstream: core.UpstreamID(stringArg(data, "upstream")), Incarnation: core.Incarnation(stringArg(data, "run")), ConvictionMillis: 600_000}
	for name := range strings.FieldsSeq(data.Input) {
		report.Fingerprints = append(report.Fingerprints, core.Fingerprint(name))
	}
	return marshalJSON(script.apply(data, Command{Crash: report}).Crash.Suspicions)
}

// restart replaces the state by the one that its snapshot decodes to.
func (script *script) restart() string {
	encoded, err := script.state.Encode()
	if err != nil {
		return err.Error()
	}
	restored, err := Decode(script.state.limits, encoded)
	if err != nil {
		return err.Error()
	}
	script.state = restored
	return "ok"
}

func (script *script) at(number core.ConfigNumber) string {
	config, ok, err := script.state.ConfigAt(number)
	if err != nil || !ok {
		return fmt.Sprint("not accepted ", err)
	}
	var lines []string
	for _, plan := range config.Plans.Plans {
		lines = append(lines, fmt.Sprintf("plan %s %s", plan.Plan, plan.Customer))
	}
	for _, grant := range config.Grants.Grants {
		line := "grant " + string(grant.Plan)
		for _, adapter := range grant.Adapters {
			line += " " + string(adapter.Adapter)
		}
		lines = append(lines, line)
	}
	hash := Hash(config.Plans, config.Grants)
	return strings.Join(append(lines, fmt.Sprintf("hash matches: %t", number == 0 || hash == config.Hash)), "\n")
}

func (script *script) delta(since core.ConfigNumber) string {
	delta := script.state.DeltaSince(since)
	names := func(entries []json.RawMessage) []core.PlanID {
		plans, _ := planIDs(entries)
		return plans
	}
	return fmt.Sprintf("%d to %d: plans %v -%v grants %v -%v", delta.From, delta.To, names(delta.Plans), delta.RemovedPlans, names(delta.Grants), delta.RemovedGrants)
}

// follow applies the missing delta to the follower and compares it with the state.
func (script *script) follow() string {
	next, err := script.state.DeltaSince(script.follower.Number).Apply(script.follower)
	if err != nil {
		return err.Error()
	}
	script.follower = next
	current, _, _ := script.state.ConfigAt(script.state.Number())
	return fmt.Sprintf("number=%d same=%t", next.Number, marshalJSON(next) == marshalJSON(current))
}
