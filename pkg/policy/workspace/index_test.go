package workspace

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a key that is taken for that of another workspace, an unknown or
// empty key that is accepted, and a workspace that is not found by its name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		index := &Index{}
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "workspaces":
				index = NewIndex(parseWorkspaces(data.Input))
				return fmt.Sprintf("required=%t\n", index.Required())
			case "identify":
				return lookUp(data.Input, func(text string) (*core.Workspace, bool) { return index.Identify(text) })
			case "find":
				return lookUp(data.Input, func(text string) (*core.Workspace, bool) { return index.Find(core.WorkspaceID(text)) })
			default:
				return "unknown command\n"
			}
		})
	})
}

// parseWorkspaces parses lines of a name and its keys.
func parseWorkspaces(input string) []core.Workspace {
	var workspaces []core.Workspace
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		workspace := core.Workspace{Workspace: core.WorkspaceID(fields[0])}
		for _, key := range fields[1:] {
			workspace.Keys = append(workspace.Keys, core.DigestKey(key))
		}
		workspaces = append(workspaces, workspace)
	}
	return workspaces
}

// lookUp looks up the text of each line, which may be empty.
func lookUp(input string, find func(string) (*core.Workspace, bool)) string {
	var out strings.Builder
	for text := range strings.SplitSeq(input, "\n") {
		text = strings.Trim(text, `"`)
		name := core.WorkspaceID("none")
		if workspace, ok := find(text); ok {
			name = workspace.Workspace
		}
		fmt.Fprintf(&out, "%q: %s\n", text, name)
	}
	return out.String()
}

// TestEqualPrefixes guards against a key that is taken for another one whose digest begins with
// the same 64 bits.
func TestEqualPrefixes(t *testing.T) {
	digest := core.DigestKey("k")
	var others []core.KeyDigest
	for i := range 3 {
		other := digest
		other[31] ^= byte(i + 1)
		others = append(others, other)
	}
	before := NewIndex([]core.Workspace{{Workspace: "other", Keys: others}})
	if found, ok := before.Identify("k"); ok {
		t.Fatalf("a key with another digest is that of %s", found.Workspace)
	}
	index := NewIndex([]core.Workspace{{Workspace: "other", Keys: others}, {Workspace: "own", Keys: []core.KeyDigest{digest}}})
	if found, ok := index.Identify("k"); !ok || found.Workspace != "own" {
		t.Fatal("the key is not found behind others with the same beginning of the digest")
	}
}

// manyWorkspaces is the number of workspaces for which time and memory are bounded.
const manyWorkspaces = 10000

func generateWorkspaces(count int) []core.Workspace {
	rank := 0
	workspaces := make([]core.Workspace, count)
	for i := range workspaces {
		workspaces[i] = core.Workspace{
			Workspace: core.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Rank: &rank, Quota: core.Quota{Rate: 1000, Burst: 1000, PlainTokens: 10},
			Keys: []core.KeyDigest{core.DigestKey(fmt.Sprintf("first-key-of-%d", i)), core.DigestKey(fmt.Sprintf("second-key-of-%d", i))},
		}
	}
	return workspaces
}

// heapInUse returns the bytes of the heap that are in use. A pool of package sync gives its
// elements up in the second collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestMemory guards against a table of 10,000 workspaces with two keys each that takes more than
// 8 MB on a VM, as it is received and indexed there. Entry VMs have 144 MB.
func TestMemory(t *testing.T) {
	const limit = 8 << 20
	encoded, err := json.Marshal(core.RouteTable{Number: 1, Workspaces: generateWorkspaces(manyWorkspaces)})
	if err != nil {
		t.Fatal(err)
	}
	before := heapInUse()
	var table core.RouteTable
	if err := json.Unmarshal(encoded, &table); err != nil {
		t.Fatal(err)
	}
	index := NewIndex(table.Workspaces)
	taken := heapInUse() - before
	t.Logf("%d workspaces take %d bytes", manyWorkspaces, taken)
	if taken <= 0 || taken > limit {
		t.Fatalf("%d workspaces take %d bytes, not 1 to %d", manyWorkspaces, taken, limit)
	}
	if _, ok := index.Identify("second-key-of-9999"); !ok || len(table.Workspaces) != manyWorkspaces {
		t.Fatal("a workspace is missing")
	}
	runtime.KeepAlive(encoded)
}

// TestIdentifyAllocates guards against a check that allocates more than for the digest of the key,
// with each request.
func TestIdentifyAllocates(t *testing.T) {
	index := NewIndex(generateWorkspaces(100))
	key := "first-key-of-50-" + strings.Repeat("x", 200) // longer than a buffer on the stack
	if allocations := testing.AllocsPerRun(100, func() { index.Identify(key) }); allocations > 1 {
		t.Fatalf("the check of a key allocates %v times", allocations)
	}
}

func BenchmarkIdentify(b *testing.B) {
	index := NewIndex(generateWorkspaces(manyWorkspaces))
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = fmt.Sprintf("first-key-of-%d", i*7)
	}
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, ok := index.Identify(keys[i%len(keys)]); !ok {
				b.Fatal("a key is missing")
			}
		}
	})
	b.Run("unknown", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := index.Identify("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"); ok {
				b.Fatal("an unknown key is found")
			}
		}
	})
}
