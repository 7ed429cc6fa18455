package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestFeatures guards against a leader that commits a table with workspaces while a control VM in
// contact would serve it without them, and against one that refuses each table for a VM that is
// gone.
func TestFeatures(t *testing.T) {
	datadriven.Walk(t, "testdata/features", func(t *testing.T, path string) {
		peers := NewPeers(Peer{VM: "leader"})
		start := clock.Now()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				switch {
				case strings.HasPrefix(fields[0], "commit"):
					table := core.RouteTable{Number: 1}
					for _, name := range fields[1:] {
						table.Workspaces = append(table.Workspaces, core.Workspace{Workspace: core.WorkspaceID(name)})
					}
					command := ledger.Command{PutRoutes: &ledger.PutRoutes{Table: table, Compressed: fields[0] == "commit-compressed"}}
					if fields[0] == "commit-change" {
						_, change := routediff.Table{}.Replace(table)
						command = ledger.Command{ChangeRoutes: &ledger.ChangeRoutes{Change: change}}
					}
					fmt.Fprintf(&out, "%s: %q\n", strings.TrimSpace(line), peers.RefuseCommand(command))
				case len(fields) > 1 && fields[1] == "told":
					// Another control VM tells of it, with the features that it has stated there.
					ago, err := time.ParseDuration(fields[2])
					if err != nil {
						t.Fatal(err)
					}
					peers.recordMentions(start, []*wire.ControlVm{{Vm: fields[0], HeardMillisAgo: uint32(ago.Milliseconds()), Features: fields[3:]}})
				case len(fields) > 1 && (fields[1] == "holds" || fields[1] == "mentioned"):
					// A VM that was heard of some time ago.
					ago, err := time.ParseDuration(fields[2])
					if err != nil {
						t.Fatal(err)
					}
					vm := core.VMID(fields[0])
					peers.recordContact(start-ago, Peer{VM: vm})
					if fields[1] == "holds" {
						var features []core.Feature
						for _, name := range fields[3:] {
							features = append(features, core.Feature(name))
						}
						peers.recordFeatures(vm, features)
					}
				default:
					t.Fatalf("unknown line %q", line)
				}
			}
			return out.String()
		})
	})
}
