package audit

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	auditlog "github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// replicatedLog is the audit log of a VM with a disk that sends a second copy of each
// record over a peer link to another VM with a disk. Both VMs run in this process and
// share the disk and the processors with the request path, so the measured cost is
// higher than with two separate VMs.
type replicatedLog struct {
	folders []string
	writer  *auditlog.Writer
	auditor *auditor.Auditor
}

// nopRecorder discards all records, for the rounds without an audit log.
type nopRecorder struct{}

// Start discards the record.
func (nopRecorder) Start(context.Context, auditlog.Record) error { return nil }

// End discards the record.
func (nopRecorder) End(auditlog.Record) {}

// peerHandler handles the peer requests that the second VM receives.
type peerHandler struct{ auditor *auditor.Auditor }

// Handle stores an audit batch and sends its result; it answers any other request with
// a failure.
func (handler peerHandler) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	batch := request.GetAudit()
	if batch == nil {
		_ = peer.SendFailure(send, errors.New("not an audit batch"))
		return
	}
	result := handler.auditor.Receive(ctx, batch)
	_ = send(&wire.Response{Body: &wire.Response_AuditResult{AuditResult: result}})
}

var members = []auditor.Member{{VM: "vm-1", Zone: "a", Disk: true}, {VM: "vm-2", Zone: "b", Disk: true}}

// openLog opens the logs of both VMs in folder. The returned function closes everything
// in reverse order of opening; only its first call has an effect.
func openLog(folder string) (*replicatedLog, func(), error) {
	var closers []func()
	closeAll := sync.OnceFunc(func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	})
	result := &replicatedLog{folders: []string{filepath.Join(folder, "vm-1"), filepath.Join(folder, "vm-2")}}
	secondWriter, closeSecond, err := auditlog.Open(result.folders[1], auditlog.Options{VM: "vm-2"})
	if err != nil {
		return nil, nil, err
	}
	closers = append(closers, closeSecond)
	address, closeServer, err := serveSecondVM(secondWriter)
	if err != nil {
		closeAll()
		return nil, nil, err
	}
	closers = append(closers, closeServer)
	writer, closeWriter, err := auditlog.Open(result.folders[0], auditlog.Options{VM: "vm-1"})
	if err != nil {
		closeAll()
		return nil, nil, err
	}
	closers = append(closers, closeWriter)
	client, closeClient := peer.NewClient(peerIdentity("vm-1"), map[core.VMID]string{"vm-2": address}, discardLogger())
	closers = append(closers, closeClient)
	firstAuditor, closeFirstAuditor := auditor.New(auditor.Options{
		Self: members[0], Incarnation: "i1", Members: members, Store: writer, Caller: client, Logger: discardLogger(),
	})
	closers = append(closers, closeFirstAuditor)
	result.writer, result.auditor = writer, firstAuditor
	return result, closeAll, nil
}

// serveSecondVM starts the peer server of the second VM on a free port and returns its
// address.
func serveSecondVM(writer *auditlog.Writer) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	secondAuditor, closeAuditor := auditor.New(auditor.Options{
		Self: members[1], Incarnation: "i2", Members: members, Store: writer, Caller: noPeerCaller{}, Logger: discardLogger(),
	})
	closeServer := peer.Serve(listener, peerIdentity("vm-2"), peerHandler{secondAuditor}, discardLogger())
	return listener.Addr().String(), func() {
		closeServer()
		closeAuditor()
	}, nil
}

// noPeerCaller is the peer client of the second VM, which sends no requests.
type noPeerCaller struct{}

// Call returns an error.
func (noPeerCaller) Call(context.Context, core.VMID, *wire.Request) (*wire.Response, error) {
	return nil, errors.New("the second VM has no peer link")
}

func peerIdentity(vm core.VMID) peer.Identity {
	return peer.Identity{VM: vm, Zone: "a", Incarnation: core.Incarnation("i-" + string(vm)), Secret: []byte("a secret for the bench")}
}

func discardLogger() *log.Logger { return log.New(io.Discard) }
