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

// streamer sends a request to another VM and receives a stream of responses.
type streamer interface {
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

const (
	// restoreRetry is the delay before records are fetched again from a VM after a failure.
	restoreRetry = time.Second
	// restoredMarker is the suffix of the marker file, which exists if the records of the
	// other disks were copied to the folder. It is missing on a new disk.
	restoredMarker = "restored"
)

// Restorer copies the records of the other disks to a new disk, so that no record is lost
// if another disk is lost later. A record that is received twice is stored twice; readers
// merge the copies.
type Restorer struct {
	folder string
	store  store
	others []core.VMID
	peers  streamer
	logger *log.Logger
	done   atomic.Bool
}

// NewRestorer returns the Restorer of an audit folder; others lists the other VMs with a
// disk. If the folder was restored before, Done reports true and Run does nothing.
func NewRestorer(folder string, store store, others []core.VMID, peers streamer, logger *log.Logger) *Restorer {
	restorer := &Restorer{folder: folder, store: store, others: others, peers: peers, logger: logger}
	_, err := os.Stat(restorer.markerPath())
	restorer.done.Store(err == nil)
	return restorer
}

// Done reports whether the records of the other disks were copied to the folder.
func (restorer *Restorer) Done() bool {
	return restorer.done.Load()
}

// Run fetches the records of every other disk. It retries after failures, and returns when
// all records are on this disk or when the context ends. If the marker cannot be created,
// it logs the error and returns, and Done still reports false.
func (restorer *Restorer) Run(ctx context.Context) {
	if restorer.Done() {
		return
	}
	for _, vm := range restorer.others {
		for {
			count, err := restorer.fetch(ctx, vm)
			if err == nil {
				restorer.logger.Info("Audit records restored.", "from", vm, "records", count)
				break
			}
			restorer.logger.Warn("Audit records not restored, trying again.", "from", vm, "error", err)
			if !sleep(ctx, restoreRetry) {
				return
			}
		}
	}
	if err := restorer.createMarker(); err != nil {
		restorer.logger.Error("Marker of restored audit records not created.", "error", err)
		return
	}
	restorer.done.Store(true)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetch appends every record of one VM to the folder and returns the number of records
// received.
func (restorer *Restorer) fetch(ctx context.Context, vm core.VMID) (int, error) {
	count, last := 0, false
	var failure error
	request := &wire.Request{Body: &wire.Request_AuditFetch{AuditFetch: &wire.AuditFetch{}}}
	err := restorer.peers.Stream(ctx, vm, request, func(response *wire.Response) bool {
		page := response.GetAuditPage()
		if page == nil {
			failure = errors.New("the response contains no page of audit records")
			return false
		}
		count += len(page.Records)
		last = page.Last
		failure = restorer.append(ctx, page)
		return failure == nil && !last
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

func (restorer *Restorer) markerPath() string {
	return filepath.Join(filepath.Dir(restorer.folder), filepath.Base(restorer.folder)+"-"+restoredMarker)
}

// createMarker creates the marker file and syncs the folder that contains it.
func (restorer *Restorer) createMarker() error {
	file, err := os.Create(restorer.markerPath())
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

// SendLog sends every record of an audit folder in pages, the last one with Last set.
// Entries that cannot be decoded are skipped; audit.Verify reports them. SendLog returns
// the error of send, or an error if the files cannot be read.
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
