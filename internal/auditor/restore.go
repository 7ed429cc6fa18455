package auditor

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// streamer asks another VM and receives a series of answers.
type streamer interface {
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

const (
	// restoreRetry is the pause before a VM that did not answer is asked again.
	restoreRetry = time.Second
	// restoredMarker is the file that states that the folder holds what the other disks
	// hold. It is missing on a new disk.
	restoredMarker = "restored"
)

// Restorer gives a new disk the records of the other disks, so that a second disk may
// be lost without loss of a record. A record that arrives twice is kept twice; readers
// join the copies.
type Restorer struct {
	folder string
	store  store
	others []core.VMID
	peers  streamer
	logger *log.Logger
	done   atomic.Bool
}

// NewRestorer returns the restorer of an audit folder. Others are the other VMs with a
// disk. It has nothing to do if the folder was restored before.
func NewRestorer(folder string, store store, others []core.VMID, peers streamer, logger *log.Logger) *Restorer {
	restorer := &Restorer{folder: folder, store: store, others: others, peers: peers, logger: logger}
	_, err := os.Stat(restorer.marker())
	restorer.done.Store(err == nil)
	return restorer
}

// Done reports whether the folder holds what the other disks held.
func (restorer *Restorer) Done() bool {
	return restorer.done.Load()
}

// Run fetches the records of every other disk. It returns when all are on this disk, or
// when the context ends.
func (restorer *Restorer) Run(ctx context.Context) {
	if restorer.Done() {
		return
	}
	for _, vm := range restorer.others {
		for {
			count, err := restorer.fetch(ctx, vm)
			if err == nil {
				restorer.logger.Info("Records restored.", "from", vm, "records", count)
				break
			}
			restorer.logger.Warn("Records not restored yet.", "from", vm, "error", err)
			if !pause(ctx, restoreRetry) {
				return
			}
		}
	}
	if err := restorer.mark(); err != nil {
		restorer.logger.Error("Restored records not marked.", "error", err)
		return
	}
	restorer.done.Store(true)
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetch appends every record of one VM and returns their number.
func (restorer *Restorer) fetch(ctx context.Context, vm core.VMID) (int, error) {
	count, whole := 0, false
	var failure error
	request := &wire.Request{Body: &wire.Request_AuditFetch{AuditFetch: &wire.AuditFetch{}}}
	err := restorer.peers.Stream(ctx, vm, request, func(response *wire.Response) bool {
		page := response.GetAuditPage()
		if page == nil {
			failure = errors.New("the answer holds no page")
			return false
		}
		count += len(page.Records)
		whole = page.Last
		failure = restorer.append(ctx, page)
		return failure == nil && !whole
	})
	switch {
	case failure != nil:
		return count, failure
	case err != nil:
		return count, errors.Wrap(err, "fetch audit records")
	default:
		return count, nil
	}
}

func (restorer *Restorer) append(ctx context.Context, page *wire.AuditPage) error {
	if len(page.Records) == 0 {
		return nil
	}
	payloads := make([]audit.Payload, len(page.Records))
	for i, record := range page.Records {
		payloads[i] = record
	}
	if err := restorer.store.Append(ctx, payloads...); err != nil {
		return errors.Wrap(err, "append restored records")
	}
	return nil
}

func (restorer *Restorer) marker() string {
	return filepath.Join(filepath.Dir(restorer.folder), filepath.Base(restorer.folder)+"-"+restoredMarker)
}

// mark creates the marker and syncs the folder that holds it.
func (restorer *Restorer) mark() error {
	file, err := os.Create(restorer.marker())
	if err != nil {
		return errors.Wrap(err, "create marker")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close marker")
	}
	folder, err := os.Open(filepath.Dir(restorer.folder))
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return nil
}

// SendLog sends every record of an audit folder in pages. A place that cannot be read
// is left out; the verification of this disk reports it.
func SendLog(folder string, send func(*wire.Response) error) error {
	page := &wire.AuditPage{}
	size := 0
	flush := func(last bool) error {
		page.Last = last
		err := send(&wire.Response{Body: &wire.Response_AuditPage{AuditPage: page}})
		page, size = &wire.AuditPage{}, 0
		return err
	}
	for entry, err := range audit.NewReader(folder).Entries() {
		if err != nil {
			return errors.Wrap(err, "read audit log")
		}
		if entry.Problem != "" {
			continue
		}
		payload := encode(entry.Record)
		page.Records = append(page.Records, payload)
		size += len(payload)
		if len(page.Records) < batchRecords && size < batchBytes {
			continue
		}
		if err := flush(false); err != nil {
			return errors.Wrap(err, "send audit records")
		}
	}
	if err := flush(true); err != nil {
		return errors.Wrap(err, "send audit records")
	}
	return nil
}
