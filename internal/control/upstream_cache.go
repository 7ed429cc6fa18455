package control

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// saveInterval is the minimum time between two writes of the known upstreams.
const saveInterval = 500 * time.Millisecond

// upstreamCache keeps the known upstreams in a file across a restart. Without it, a
// deployment whose VMs were all killed serves nothing until the upstreams have announced
// themselves again. The file is synced: which software versions served before the start is
// taken from it, and after a loss of power an older file would hide the newest ones. Without
// a file that can be read, the history of the versions is not complete.
type upstreamCache struct {
	path       string
	system     wal.FileSystem
	savedAt    time.Duration
	dirty      bool
	saveFailed bool
}

// restoreUpstreams adds the upstreams in the file to the known ones, as silent. One that is not
// announced again stays silent until it is removed: this VM may be cut off from those that hear it,
// so its own silence does not show that an upstream is gone. It skips those that were leaving or
// gone. The caller holds the lock.
func (control *Control) restoreUpstreams(now time.Duration) {
	data, err := os.ReadFile(control.cache.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var entries []json.RawMessage
	if err == nil {
		err = json.Unmarshal(data, &entries)
	}
	if err != nil {
		control.options.Logger.Warn("The file of the known upstreams could not be read.", "error", err)
		control.versions.Start(now)
		return
	}
	// The file holds all that were known at most saveInterval before the end.
	control.versions.CompleteFrom = now
	restored := 0
	for i, entry := range entries {
		instance, err := decodeUpstream(entry)
		if err != nil {
			control.options.Logger.Warn("An entry of the file of the known upstreams is ignored.", "entry", i, "error", err)
			continue
		}
		control.versions.Note(now, instance.Service, instance.Software)
		if instance.Gone || instance.Leaving {
			continue
		}
		instance.Silent = true
		control.known.Announce(now, instance)
		restored++
	}
	control.options.Logger.Info("Upstreams known before the start were taken in.", "upstreams", restored)
}

// decodeUpstream decodes and checks one entry of the file.
func decodeUpstream(entry json.RawMessage) (core.Instance, error) {
	var instance core.Instance
	if err := json.Unmarshal(entry, &instance); err != nil {
		return core.Instance{}, errors.Wrap(err, "decode upstream")
	}
	if faults := instance.Check(); len(faults) > 0 {
		return core.Instance{}, errors.Wrap(faults[0], "check upstream")
	}
	return instance, nil
}

// saveLoop saves the known upstreams periodically until the context ends. It runs in its
// own goroutine, since a disk can hang.
func (control *Control) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			control.saveUpstreams()
		}
	}
}

// saveUpstreams writes the known upstreams to the file if they have changed. It does not
// hold the lock while it writes.
func (control *Control) saveUpstreams() {
	now := clock.Now()
	control.lock.Lock()
	due := control.cache.path != "" && control.cache.dirty && now-control.cache.savedAt >= saveInterval
	var instances []core.Instance
	if due {
		control.cache.dirty, control.cache.savedAt = false, now
		instances = control.known.All()
	}
	control.lock.Unlock()
	if !due {
		return
	}
	err := writeUpstreams(control.cache.system, control.cache.path, instances)
	control.lock.Lock()
	defer control.lock.Unlock()
	if err != nil && !control.cache.saveFailed {
		control.options.Logger.Warn("The known upstreams could not be saved.", "error", err)
	}
	control.cache.saveFailed = err != nil
}

// writeUpstreams replaces the file durably.
func writeUpstreams(system wal.FileSystem, path string, instances []core.Instance) error {
	data, err := json.Marshal(instances)
	if err != nil {
		return errors.Wrap(err, "encode upstreams")
	}
	if err := wal.WriteFile(system, path, data); err != nil {
		return errors.Wrap(err, "write upstreams")
	}
	return nil
}
