package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dandelionring/dandelionring/standin/announce"
)

// report is the load of the engine at one time.
type report struct {
	at      time.Time
	queued  int
	running int
}

// reportInterval is the resolution of the lag of load reports.
const reportInterval = 50 * time.Millisecond

func (engine *Engine) runAnnouncements(ctx context.Context) {
	go engine.runReports(ctx)
	go engine.runCacheEvents(ctx)
	announcer := announce.New(engine.settings.VMs, engine.settings.VMToken)
	announcer.Run(ctx, engine.announcement, engine.announced)
}

// announced remembers since when the VMs know that the engine leaves.
func (engine *Engine) announced(body announce.Body) {
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
		Kind: "engine", Name: string(settings.Model), Address: settings.Address,
		Leaving: engine.faults.Leaving, ChecksFencing: settings.ChecksFencing, Resumes: settings.Resumes,
		Slots: settings.Slots, BatchSize: settings.BatchSize, LastFencing: engine.lastToken,
		Resident: engine.residents(),
	}
	if len(engine.reports) > 0 {
		oldest := engine.reports[0]
		body.Queued, body.Running = oldest.queued, oldest.running
		body.ReportAgeMillis = time.Since(oldest.at).Milliseconds()
	}
	return body
}

// residents lists the loaded adapter versions. The caller holds the lock.
func (engine *Engine) residents() []announce.Resident {
	residents := []announce.Resident{}
	for av, held := range engine.slots {
		if held.resident {
			residents = append(residents, announce.Resident{Adapter: av.Adapter, Version: av.Version, Running: held.users})
		}
	}
	return residents
}

// runReports keeps the reports of the last ReportLag, so that the oldest one is
// what an announcement shows.
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
	engine.reports = append(engine.reports, report{at: now, queued: len(engine.queue), running: len(engine.batch)})
	for len(engine.reports) > 1 && now.Sub(engine.reports[1].at) >= engine.settings.ReportLag {
		engine.reports = engine.reports[1:]
	}
}

// runCacheEvents publishes cache events late and with gaps.
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
	events := engine.cache.take()
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
	// Lost events are part of the interface, so an error is a gap like any other.
	_ = announcer.Post(ctx, "/v1/cache-events", map[string]any{
		"Upstream": engine.settings.Upstream, "Incarnation": engine.incarnation, "Events": kept,
	})
}
