package control

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// saveInterval is the least time between two writes of the known upstreams.
	saveInterval = 500 * time.Millisecond
	// recallTime is the time after a start for which an upstream that was known before, and
	// has not announced itself since, is kept.
	recallTime = 3 * time.Second
	recallMode = 0o600
)

// recall is what this VM remembers of upstreams over a restart. Without it, a deployment
// whose VMs were all killed serves nothing until the upstreams have announced themselves
// again. The file is a hint: it is not synced, and a damaged one is left out.
type recall struct {
	path  string
	saved time.Duration
	dirty bool
	// waiting holds the sequences of the recalled upstreams that have not been heard.
	waiting map[core.UpstreamID]uint64
	until   time.Duration
	failed  bool
}

// restore takes in the upstreams that were known before the start, as silent ones. The
// caller holds the lock.
func (control *Control) restore(now time.Duration) {
	data, err := os.ReadFile(control.recall.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var instances []core.Instance
	if err == nil {
		err = json.Unmarshal(data, &instances)
	}
	if err != nil {
		control.parts.Logger.Warn("The upstreams known before the start were not read.", "error", err)
		return
	}
	control.recall.waiting = make(map[core.UpstreamID]uint64)
	control.recall.until = now + recallTime
	for _, instance := range instances {
		if instance.Gone || instance.Leaving {
			continue
		}
		instance.Silent = true
		control.known.Announce(now, instance)
		control.recall.waiting[instance.Upstream] = instance.Sequence
	}
	control.parts.Logger.Info("Upstreams known before the start were taken in.", "upstreams", len(control.recall.waiting))
}

// settleRecall drops the recalled upstreams that have not announced themselves in time. The
// caller holds the lock.
func (control *Control) settleRecall(now time.Duration) {
	if len(control.recall.waiting) == 0 || now < control.recall.until {
		return
	}
	for id, sequence := range control.recall.waiting {
		instance, ok := control.known.Get(id)
		if !ok || instance.Sequence != sequence || !instance.Silent {
			continue
		}
		instance.Gone = true
		control.known.Judge(instance)
		control.hub.instance(instance)
		control.setEngine(now, instance)
		control.parts.Logger.Info("An upstream known before the start did not come back.", "upstream", id)
	}
	control.recall.waiting = nil
}

// saveSteadily saves the known upstreams until the context ends. It has a goroutine of its
// own, since a disk can hang.
func (control *Control) saveSteadily(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			control.save()
		}
	}
}

// save writes the known upstreams if they have changed. It runs beside the lock.
func (control *Control) save() {
	now := clock.Now()
	control.lock.Lock()
	due := control.recall.path != "" && control.recall.dirty && now-control.recall.saved >= saveInterval
	var instances []core.Instance
	if due {
		control.recall.dirty, control.recall.saved = false, now
		instances = control.known.All()
	}
	control.lock.Unlock()
	if !due {
		return
	}
	err := writeRecall(control.recall.path, instances)
	control.lock.Lock()
	defer control.lock.Unlock()
	if err != nil && !control.recall.failed {
		control.parts.Logger.Warn("The known upstreams were not saved.", "error", err)
	}
	control.recall.failed = err != nil
}

func writeRecall(path string, instances []core.Instance) error {
	data, err := json.Marshal(instances)
	if err != nil {
		return errors.Wrap(err, "encode upstreams")
	}
	if err := os.WriteFile(path+".tmp", data, recallMode); err != nil {
		return errors.Wrap(err, "write upstreams")
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return errors.Wrap(err, "replace upstreams")
	}
	return nil
}
