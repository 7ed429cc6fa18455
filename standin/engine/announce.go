package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dandelionring/dandelionring/standin/announce"
)

// report is the load of the engine at a point in time: the numbers of queued and
// running attempts.
type report struct {
	takenAt time.Time
	queued  int
	running int
}

// reportInterval is the interval between two load reports, and so the resolution
// of Settings.ReportLag.
const reportInterval = 50 * time.Millisecond

func (engine *Engine) runAnnouncements(ctx context.Context) {
	go engine.runReports(ctx)
	go engine.runCacheEvents(ctx)
	announcer := announce.New(engine.settings.VMs, engine.settings.VMToken)
	announcer.Run(ctx, engine.announcement, engine.onAnnounced)
}

// onAnnounced records the time since which a VM knows that the engine leaves.
func (engine *Engine) onAnnounced(body announce.Body) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !body.Leaving {
		engine.leavingSince = time.Time{}
	} else if engine.leavingSince.IsZero() {
		engine.leavingSince = time.Now()
	}
}

func (engine *Engine) announcement() announce.Body {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	settings := engine.settings
	body := announce.Body{
		Upstream: settings.Upstream, Incarnation: engine.incarnation, Zone: settings.Zone,
		Kind: "engine", Name: string(settings.Model), Address: settings.Address, Software: settings.Software,
		Leaving: engine.faults.Leaving, ChecksFencing: settings.ChecksFencing, Resumes: settings.Resumes,
		Slots: settings.Slots, BatchSize: settings.BatchSize, LastFencing: engine.lastToken,
		Resident: engine.residents(),
	}
	if len(engine.reports) > 0 {
		oldest := engine.reports[0]
		body.Queued, body.Running = oldest.queued, oldest.running
		body.ReportAgeMillis = time.Since(oldest.takenAt).Milliseconds()
	}
	return body
}

// residents returns the loaded adapter versions. The caller must hold the lock.
func (engine *Engine) residents() []announce.Resident {
	residents := []announce.Resident{}
	for av, adapterSlot := range engine.slots {
		if adapterSlot.resident {
			residents = append(residents, announce.Resident{Adapter: av.Adapter, Version: av.Version, Running: adapterSlot.users})
		}
	}
	return residents
}

// runReports takes load reports until the context ends and keeps those of the last
// ReportLag. An announcement contains the oldest of them.
func (engine *Engine) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			engine.addReport(now)
		}
	}
}

func (engine *Engine) addReport(now time.Time) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.reports = append(engine.reports, report{takenAt: now, queued: len(engine.queue), running: len(engine.batch)})
	for len(engine.reports) > 1 && now.Sub(engine.reports[1].takenAt) >= engine.settings.ReportLag {
		engine.reports = engine.reports[1:]
	}
}

// runCacheEvents publishes the cache events once per EventDelay and drops a random
// share of them.
func (engine *Engine) runCacheEvents(ctx context.Context) {
	if engine.settings.EventDelay <= 0 {
		return
	}
	announcer := announce.New(engine.settings.VMs, engine.settings.VMToken)
	ticker := time.NewTicker(engine.settings.EventDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			engine.publish(ctx, announcer)
		}
	}
}

func (engine *Engine) publish(ctx context.Context, announcer *announce.Announcer) {
	engine.mu.Lock()
	events := engine.cache.takeEvents()
	engine.mu.Unlock()
	kept := events[:0]
	for _, event := range events {
		if rand.Float64() >= engine.settings.EventLoss {
			kept = append(kept, event)
		}
	}
	if len(kept) == 0 {
		return
	}
	// The interface allows lost events, so a failed send needs no retry.
	_ = announcer.Post(ctx, "/v1/cache-events", map[string]any{
		"Upstream": engine.settings.Upstream, "Incarnation": engine.incarnation, "Events": kept,
	})
}
