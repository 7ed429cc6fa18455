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

// auditLog is the log of one VM with a disk, whose second copies go over a peer
// link to another VM with a disk. Both disks and all processors are shared with the
// path, so the measured cost is above that of two VMs.
type auditLog struct {
	folders []string
	writer  *auditlog.Writer
	auditor *auditor.Auditor
}

// noRecorder is the path without an audit log.
type noRecorder struct{}

// Start returns at once.
func (noRecorder) Start(context.Context, auditlog.Record) error { return nil }

// End drops the record.
func (noRecorder) End(auditlog.Record) {}

// receiver answers the peer link of the second VM.
type receiver struct{ auditor *auditor.Auditor }

// Handle takes audit batches.
func (receiver receiver) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	batch := request.GetAudit()
	if batch == nil {
		_ = peer.Fail(send, errors.New("not an audit batch"))
		return
	}
	result := receiver.auditor.Receive(ctx, batch)
	_ = send(&wire.Response{Body: &wire.Response_AuditResult{AuditResult: result}})
}

var members = []auditor.Member{{VM: "vm-1", Zone: "a", Disk: true}, {VM: "vm-2", Zone: "b", Disk: true}}

// openLog opens both logs in folder and returns the function that ends them in order.
func openLog(folder string) (*auditLog, func(), error) {
	var closers []func()
	closeAll := sync.OnceFunc(func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	})
	result := &auditLog{folders: []string{filepath.Join(folder, "vm-1"), filepath.Join(folder, "vm-2")}}
	second, closeSecond, err := auditlog.Open(result.folders[1], auditlog.Options{VM: "vm-2"})
	if err != nil {
		return nil, nil, err
	}
	closers = append(closers, closeSecond)
	address, closeServer, err := serveSecond(second)
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
	client, closeClient := peer.NewClient(identity("vm-1"), map[core.VMID]string{"vm-2": address}, silent())
	closers = append(closers, closeClient)
	first, closeFirst := auditor.New(auditor.Options{
		Self: members[0], Incarnation: "i1", Members: members, Store: writer, Caller: client, Logger: silent(),
	})
	closers = append(closers, closeFirst)
	result.writer, result.auditor = writer, first
	return result, closeAll, nil
}

func serveSecond(writer *auditlog.Writer) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	second, closeSecond := auditor.New(auditor.Options{
		Self: members[1], Incarnation: "i2", Members: members, Store: writer, Caller: noPeers{}, Logger: silent(),
	})
	closeServer := peer.Serve(listener, identity("vm-2"), receiver{second}, silent())
	return listener.Addr().String(), func() {
		closeServer()
		closeSecond()
	}, nil
}

// noPeers is the way of a VM that sends nothing.
type noPeers struct{}

// Call fails.
func (noPeers) Call(context.Context, core.VMID, *wire.Request) (*wire.Response, error) {
	return nil, errors.New("no peers")
}

func identity(vm core.VMID) peer.Identity {
	return peer.Identity{VM: vm, Zone: "a", Incarnation: core.Incarnation("i-" + string(vm)), Secret: []byte("a secret for the bench")}
}

func silent() *log.Logger { return log.New(io.Discard) }
