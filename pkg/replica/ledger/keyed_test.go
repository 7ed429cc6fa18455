package ledger

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestOldBuildGetsNoKeyedTable guards against a control VM of a build without workspaces that
// applies a table with workspaces from the log or from a snapshot, and so lets each caller in.
func TestOldBuildGetsNoKeyedTable(t *testing.T) {
	is := is.New(t)
	table := core.RouteTable{Number: 3, Workspaces: []core.Workspace{{Workspace: "north"}}}
	command := Command{PutRoutes: &PutRoutes{Table: table}}
	encoded, err := EncodeCommand(command)
	is.NoErr(err)
	var known struct{ PutRoutes *json.RawMessage } // what a build without workspaces reads
	is.NoErr(json.Unmarshal(encoded, &known))
	is.Equal(known.PutRoutes, nil)
	is.True(command.PutRoutes != nil) // the caller's command is unchanged

	state := New(Limits{})
	state.Apply(1, command)
	snapshot, err := state.Encode()
	is.NoErr(err)
	var old struct {
		Applied uint64
		Routes  struct {
			Table    core.RouteTable
			Document []byte
		}
	}
	is.NoErr(gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&old))
	is.Equal(old.Applied, uint64(1))
	is.Equal(old.Routes.Table.Number, core.ConfigNumber(0))
	is.Equal(len(old.Routes.Table.Workspaces), 0)
}
