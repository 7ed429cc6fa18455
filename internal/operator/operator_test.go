package operator

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// backend answers from one replicated state machine without replicas.
type backend struct {
	state  *ledger.State
	index  uint64
	failed error
}

// The errors of a put without and with an effect that is not known.
var (
	errNoMajority = errors.New("no majority of disks")
	errUncertain  = errors.New("no answer from the majority of disks")
)

// PutList applies a change at once.
func (backend *backend) PutList(_ context.Context, put ledger.PutList) (ledger.PutListResult, error) {
	if backend.failed != nil {
		return ledger.PutListResult{}, backend.failed
	}
	backend.index++
	result := backend.state.Apply(backend.index, ledger.Command{At: 1000 * int64(backend.index), PutList: &put})
	return *result.PutList, nil
}

// Config returns a configuration of the state.
func (backend *backend) Config(_ context.Context, number core.ConfigNumber) (core.Config, bool, error) {
	if number == 0 {
		number = backend.state.Number()
	}
	return backend.state.At(number)
}

// History returns the changes of the state.
func (backend *backend) History(_ context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error) {
	return backend.state.History(after, limit), nil
}

// Status returns a status with one VM.
func (backend *backend) Status(context.Context) Status {
	return Status{VM: "vm-1", Zone: "a", Leader: "vm-1", VMs: []VMStatus{{VM: "vm-1", Zone: "a", Disk: true, Reachable: true}}}
}

// Unconfirmed names a zone that never confirms.
func (backend *backend) Unconfirmed(context.Context, core.ConfigNumber) []core.ZoneID {
	return []core.ZoneID{"d"}
}

// TestCalls guards against an answer that differs from docs/interfaces.md, a bad
// list that is accepted, a fault without its place, and a call without a token.
// Cases are read from testdata/calls.
func TestCalls(t *testing.T) {
	backend := &backend{state: ledger.New(ledger.Limits{})}
	logs, err := logging.New(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	handler := New(Parts{
		TokenHashes: []core.KeyHash{settings.HashToken("other"), settings.HashToken("token")},
		Lists:       backend, NotAccepted: []error{errNoMajority}, Configurations: backend, Statuses: backend, Levels: logs, Logger: log.New(io.Discard),
	})
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "lose-majority":
			backend.failed = errors.Wrap(errNoMajority, "put list")
			if data.HasArg("uncertain") {
				backend.failed = errors.Wrap(errUncertain, "put list")
			}
			return ""
		case "regain-majority":
			backend.failed = nil
			return ""
		}
		token := "token"
		if len(data.CmdArgs) > 1 {
			token = data.CmdArgs[1].Key
		}
		path := data.CmdArgs[0].Key
		if len(data.CmdArgs[0].Vals) > 0 { // datadriven splits at the "=" of a query
			path += "=" + data.CmdArgs[0].Vals[0]
		}
		request := httptest.NewRequest(strings.ToUpper(data.Cmd), "/admin/v1/"+path, strings.NewReader(data.Input))
		request.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return fmt.Sprintf("%d %s", recorder.Code, recorder.Body)
	})
}
