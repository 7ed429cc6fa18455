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

// backend implements the interfaces of Options on a single state machine without
// replication.
type backend struct {
	state  *ledger.State
	index  uint64
	putErr error
}

// errNoMajority means that a put had no effect, errUncertain that it may have had one.
var (
	errNoMajority = errors.New("no majority of disks")
	errUncertain  = errors.New("no answer from the majority of disks")
)

// PutList applies the change immediately, or returns putErr if it is set.
func (backend *backend) PutList(_ context.Context, put ledger.PutList) (ledger.PutListResult, error) {
	if backend.putErr != nil {
		return ledger.PutListResult{}, backend.putErr
	}
	backend.index++
	result := backend.state.Apply(backend.index, ledger.Command{At: 1000 * int64(backend.index), PutList: &put})
	return *result.PutList, nil
}

// Config implements configurationReader.
func (backend *backend) Config(_ context.Context, number core.ConfigNumber) (core.Config, bool, error) {
	if number == 0 {
		number = backend.state.Number()
	}
	return backend.state.ConfigAt(number)
}

// History implements configurationReader.
func (backend *backend) History(_ context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error) {
	return backend.state.History(after, limit), nil
}

// Status returns the status of a deployment with one VM.
func (backend *backend) Status(context.Context) Status {
	return Status{VM: "vm-1", Zone: "a", Leader: "vm-1", VMs: []VMStatus{{VM: "vm-1", Zone: "a", Disk: true, Reachable: true}}}
}

// Unconfirmed returns one zone that never confirms.
func (backend *backend) Unconfirmed(context.Context, core.ConfigNumber) []core.ZoneID {
	return []core.ZoneID{"d"}
}

// TestCalls guards against responses that differ from docs/interfaces.md, invalid lists
// that are accepted, faults without a location, and requests that are served without a
// known token. Cases are read from testdata/calls.
func TestCalls(t *testing.T) {
	backend := &backend{state: ledger.New(ledger.Limits{})}
	loggers, err := logging.New(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	handler := New(Options{
		TokenHashes: []core.KeyHash{settings.HashToken("other"), settings.HashToken("token")},
		Lists:       backend, NotAccepted: []error{errNoMajority}, Configurations: backend, Statuses: backend, Levels: loggers, Logger: log.New(io.Discard),
	})
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "lose-majority":
			backend.putErr = errors.Wrap(errNoMajority, "put list")
			if data.HasArg("uncertain") {
				backend.putErr = errors.Wrap(errUncertain, "put list")
			}
			return ""
		case "regain-majority":
			backend.putErr = nil
			return ""
		}
		token := "token"
		if len(data.CmdArgs) > 1 {
			token = data.CmdArgs[1].Key
		}
		path := data.CmdArgs[0].Key
		if len(data.CmdArgs[0].Vals) > 0 { // datadriven splits the query at "="
			path += "=" + data.CmdArgs[0].Vals[0]
		}
		request := httptest.NewRequest(strings.ToUpper(data.Cmd), "/admin/v1/"+path, strings.NewReader(data.Input))
		request.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return fmt.Sprintf("%d %s", recorder.Code, recorder.Body)
	})
}
