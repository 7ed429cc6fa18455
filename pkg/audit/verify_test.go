package audit

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/matryer/is"
)

var testConfig = core.Config{
	Number: 7, Hash: "hash-7",
	Plans: core.Plans{Plans: []core.Plan{{Plan: "gold", Customer: "customer"}}},
	Grants: core.Grants{Grants: []core.Grant{{
		Plan: "gold", Adapters: []core.AdapterGrant{{Adapter: "summary", Versions: []core.Version{"1", "2"}}},
		Services: []core.ServiceGrant{{Service: "orders"}},
	}}},
}

// testRecord returns record n of vm-1. Odd records are starts, and each even record is the
// end of the preceding start.
func testRecord(n int) Record {
	record := Record{
		VM: "vm-1", Incarnation: "i1", Sequence: uint64(n), At: int64(1000 * n), Event: EventStart,
		Request: core.RequestID(fmt.Sprintf("r%d", (n+1)/2)), Attempt: core.AttemptID(fmt.Sprintf("t%d", (n+1)/2)),
		Customer: "customer", Plan: "gold", Config: 7, ConfigHash: "hash-7", Adapter: "summary", Version: "1",
	}
	if n%2 == 0 {
		record.Event, record.Outcome, record.Whole = EventEnd, core.Ran.String(), true
	}
	return record
}

// set applies changes of the form key=value to the record.
func set(t *testing.T, record *Record, changes []string) {
	for _, change := range changes {
		key, value, _ := strings.Cut(change, "=")
		switch key {
		case "version":
			record.Version = core.Version(value)
		case "adapter":
			record.Adapter = core.AdapterID(value)
		case "plan":
			record.Plan = core.PlanID(value)
		case "config":
			number, err := strconv.Atoi(value)
			is.New(t).NoErr(err)
			record.Config = core.ConfigNumber(number)
		case "hash":
			record.ConfigHash = value
		case "route":
			record.Route, record.Adapter, record.Version = core.RouteName(value), "", ""
		case "service":
			record.Service = core.ServiceID(value)
		case "routes":
			// A committed route table, for example routes=r1:s1+s2,r2:s3.
			record.Event, record.Targets = EventRoutes, make(RouteTargets)
			for route := range strings.SplitSeq(value, ",") {
				name, services, _ := strings.Cut(route, ":")
				for service := range strings.SplitSeq(services, "+") {
					record.Targets[core.RouteName(name)] = append(record.Targets[core.RouteName(name)], core.ServiceID(service))
				}
			}
		default:
			t.Fatalf("unknown change %q", change)
		}
	}
}

func mustEncode(t *testing.T, record Record) Payload {
	payload, err := Encode(record)
	is.New(t).NoErr(err)
	return payload
}

// write appends the records given by lines such as "3 version=9": the number of the
// record and its changes.
func write(t *testing.T, folder, input string) {
	is := is.New(t)
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1"})
	is.NoErr(err)
	defer closeWriter()
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		n, err := strconv.Atoi(fields[0])
		is.NoErr(err)
		record := testRecord(n)
		set(t, &record, fields[1:])
		is.NoErr(writer.Append(context.Background(), mustEncode(t, record)))
	}
}

// tamper applies a change to the entries of a file and writes it back with correct block
// checksums, as an attacker would.
func tamper(t *testing.T, folder, command string) {
	is := is.New(t)
	files, err := Files(folder)
	is.NoErr(err)
	data, err := os.ReadFile(files[0])
	is.NoErr(err)
	_, at, err := decodeHeader(files[0], data)
	is.NoErr(err)
	result := slices.Clone(data[:at])
	var entries []entry
	for at < len(data) {
		block, ok := decodeBlock(data[at:])
		is.True(ok)
		found, _ := block.entries()
		entries, at = append(entries, found...), at+block.size
	}
	for _, entry := range change(t, entries, strings.Fields(command)) {
		buffer := appendEntry(startBlock(nil), entry)
		finishBlock(buffer, 1)
		result = append(result, buffer...)
	}
	is.NoErr(os.WriteFile(files[0], result, 0o600))
}

// change applies a command such as "alter 3 version=2" to the entries of a file. The number
// in it is the position of an entry, starting at 1.
func change(t *testing.T, entries []entry, words []string) []entry {
	n, err := strconv.Atoi(words[1])
	is.New(t).NoErr(err)
	switch words[0] {
	case "alter":
		record, err := Decode(entries[n-1].payload)
		is.New(t).NoErr(err)
		set(t, &record, words[2:])
		entries[n-1].payload = mustEncode(t, record)
	case "rechain":
		hash := Hash{}
		for i := range entries {
			hash = hash.extend(entries[i].index, entries[i].payload)
			entries[i].hash = hash
		}
	case "drop":
		entries = slices.Delete(entries, n-1, n)
	case "double":
		entries = slices.Insert(entries, n, entries[n-1])
	case "swap":
		entries[n-1], entries[n] = entries[n], entries[n-1]
	case "truncate":
		entries = entries[:n]
	}
	return entries
}

// TestVerify guards against a forged or damaged log that passes verification, and against
// an intact one that does not. Cases are read from testdata/verify.
func TestVerify(t *testing.T) {
	root := t.TempDir()
	datadriven.RunTest(t, "testdata/verify", func(t *testing.T, data *datadriven.TestData) string {
		var folders []string
		for _, arg := range data.CmdArgs {
			if arg.Key == "folders" {
				for _, name := range arg.Vals {
					folders = append(folders, filepath.Join(root, name))
				}
			}
		}
		switch data.Cmd {
		case "write":
			write(t, folders[0], data.Input)
		case "tamper":
			for line := range strings.Lines(data.Input) {
				tamper(t, folders[0], line)
			}
		case "verify":
			report, err := Verify(folders, Scope{Partial: data.HasArg("partial"), History: History{7: testConfig}})
			is.New(t).NoErr(err)
			return strings.ReplaceAll(show(report), root, "")
		}
		return ""
	})
}

func show(report Report) string {
	text := fmt.Sprintf("records=%d single=%d runs=%d joined=%d\n", report.Records, report.Single, report.Runs, report.Joined)
	for _, finding := range report.Faults {
		finding.Offset = 0
		text += finding.String() + "\n"
	}
	for _, finding := range report.Notices {
		text += "notice " + finding.String() + "\n"
	}
	return text
}
