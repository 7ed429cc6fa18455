package control

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
)

// paceTable learns how the upstreams of one zone answer. The zero value is empty.
type paceTable struct {
	trackers map[core.ServiceID]*pace.Tracker
	services map[core.UpstreamID]core.ServiceID
}

// set adds an upstream or updates its state, and removes one that takes no more requests.
func (table *paceTable) set(now time.Duration, instance core.Instance) {
	if table.trackers == nil {
		table.trackers = make(map[core.ServiceID]*pace.Tracker)
		table.services = make(map[core.UpstreamID]core.ServiceID)
	}
	if before, ok := table.services[instance.Upstream]; ok && (before != instance.Service || instance.Leaving || instance.Gone) {
		table.remove(before, instance.Upstream)
	}
	if instance.Leaving || instance.Gone {
		return
	}
	tracker := table.trackers[instance.Service]
	if tracker == nil {
		tracker = &pace.Tracker{}
		table.trackers[instance.Service] = tracker
	}
	table.services[instance.Upstream] = instance.Service
	tracker.Set(now, pace.State{Upstream: instance.Upstream, Born: instance.Born, Slots: instance.Slots, Silent: instance.Silent})
}

// remove removes an upstream of a service. The tracker stays: an upstream of a service that has
// had others is not one that starts with the whole service.
func (table *paceTable) remove(service core.ServiceID, id core.UpstreamID) {
	if tracker := table.trackers[service]; tracker != nil {
		tracker.Remove(id)
	}
	delete(table.services, id)
	speedGauges.Remove(string(id))
	openGauges.Remove(string(id))
}

// clear removes all upstreams.
func (table *paceTable) clear() {
	for id, service := range table.services {
		table.remove(service, id)
	}
}

// observe adds what an entry VM reports of the answers of upstreams.
func (table *paceTable) observe(now time.Duration, usage *wire.Usage) {
	for _, message := range usage.GetMedians() {
		if tracker := table.trackers[core.ServiceID(message.GetService())]; tracker != nil {
			tracker.SetReference(now, peer.TimesFromMessage(message))
		}
	}
	for _, use := range usage.GetUpstreams() {
		id := core.UpstreamID(use.GetUpstream())
		if answers := use.GetAnswers(); answers != nil && table.services[id] != "" {
			table.trackers[table.services[id]].Observe(now, id, answers.GetBornUnixMillis(), peer.AnswersFromMessage(answers))
		}
	}
}

// state adds the shares of the upstreams to the result of a report, and their times if the
// report asks for them.
func (table *paceTable) state(now time.Duration, result *wire.UsageResult, times bool) {
	result.Paced, result.Times = true, times
	stated := make(map[core.UpstreamID]*wire.UpstreamUse, len(result.GetUpstreams()))
	for _, use := range result.GetUpstreams() {
		stated[core.UpstreamID(use.GetUpstream())] = use
	}
	for id, service := range table.services {
		value, ok := table.trackers[service].Value(now, id)
		if !ok || value.Open >= 1 && (!times || value.Times == pace.Times{}) {
			continue
		}
		use := stated[id]
		if use == nil {
			use = &wire.UpstreamUse{Upstream: string(id)}
			result.Upstreams = append(result.Upstreams, use)
		}
		peer.SetOpen(use, value.Open)
		if times {
			peer.SetTimes(use, value.Times)
		}
	}
}

// notePace logs the changes of what is assumed of upstreams, and updates the gauges. The caller
// holds the lock.
func (control *Control) notePace(now time.Duration) {
	if now < control.nextPaceNote {
		return
	}
	control.nextPaceNote = now + stepInterval
	for _, zone := range control.owned {
		for service, tracker := range zone.paces.trackers {
			for _, change := range tracker.TakeChanges(now) {
				control.logPace(service, change)
			}
			for _, id := range tracker.Upstreams(now) {
				value, _ := tracker.Value(now, id)
				speedGauges.Set(string(id), tracker.Speed(now, id))
				openGauges.Set(string(id), value.Open)
			}
		}
		for id, service := range zone.paces.services {
			if _, ok := zone.paces.trackers[service].Value(now, id); !ok {
				zone.paces.remove(service, id)
			}
		}
	}
}

// logPace counts and logs a change.
func (control *Control) logPace(service core.ServiceID, change pace.Change) {
	logger := control.options.Logger
	switch change.Kind {
	case pace.Began:
		paceCounts.Inc("start began", change.Cause.String())
		logger.Info("An upstream begins its start phase.", "upstream", change.Upstream, "service", service, "cause", change.Cause.String(), "open", change.Open)
	case pace.Ended:
		paceCounts.Inc("start ended", "")
		logger.Info("An upstream has ended its start phase.", "upstream", change.Upstream, "service", service)
	case pace.ClassChanged:
		paceCounts.Inc("speed", change.Class.String())
		logger.Info("The speed of an upstream has changed.", "upstream", change.Upstream, "service", service, "class", change.Class.String(), "speed", change.Speed)
	}
}
