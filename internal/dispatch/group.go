package dispatch

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// upstreamLease is the time after its last announcement for which an upstream gets
// new work.
const upstreamLease = 3 * time.Second

// group is one upstream group. Its owner's lock guards it.
type group struct {
	members map[core.UpstreamID]*member
	ejected func(address string) bool
	// changed is closed and replaced when a waiting call may find a place.
	changed chan struct{}
}

// member is one upstream.
type member struct {
	id          core.UpstreamID
	incarnation core.Incarnation
	address     string
	leaving     bool
	until       time.Time
	slots       int
	batch       int
	running     int
	adapters    map[core.AdapterVersion]*residency
}

type residency struct {
	ready bool
	pins  int
	used  time.Time
}

func newGroup(ejected func(address string) bool) *group {
	return &group{members: make(map[core.UpstreamID]*member), ejected: ejected, changed: make(chan struct{})}
}

// alive reports whether any upstream takes new work, now or when a place is free.
func (group *group) alive(now time.Time) bool {
	for _, entry := range group.members {
		if group.lives(entry, now) {
			return true
		}
	}
	return false
}

func (group *group) lives(entry *member, now time.Time) bool {
	return !entry.leaving && now.Before(entry.until) && !group.ejected(entry.address)
}

func (group *group) takes(entry *member, now time.Time) bool {
	return group.lives(entry, now) && (entry.batch == 0 || entry.running < entry.batch)
}

func (group *group) wake() {
	close(group.changed)
	group.changed = make(chan struct{})
}

func (group *group) announce(announcement core.Announcement, now time.Time) {
	entry, ok := group.members[announcement.Upstream]
	if !ok || entry.incarnation != announcement.Incarnation {
		entry = &member{id: announcement.Upstream, incarnation: announcement.Incarnation, adapters: make(map[core.AdapterVersion]*residency)}
		group.members[announcement.Upstream] = entry
		for _, resident := range announcement.Resident {
			entry.adapters[resident.AdapterVersion] = &residency{ready: true, used: now}
		}
	}
	entry.address = announcement.Address
	entry.leaving = announcement.Leaving
	entry.until = now.Add(upstreamLease)
	entry.slots, entry.batch = announcement.Slots, announcement.BatchSize
	group.wake()
}

// choose returns an upstream with a place reserved, or one on which the adapter is to
// be loaded first, or nil if the call has to wait.
func (group *group) choose(adapter core.AdapterVersion, now time.Time) (chosen *member, load bool, evict core.AdapterVersion) {
	var best *member
	for _, entry := range group.members {
		if !group.takes(entry, now) || !entry.holds(adapter) {
			continue
		}
		if best == nil || entry.running < best.running {
			best = entry
		}
	}
	if best != nil {
		best.pin(adapter, now)
		return best, false, core.AdapterVersion{}
	}
	if adapter.IsZero() || group.loading(adapter) {
		return nil, false, core.AdapterVersion{}
	}
	return group.chooseSlot(adapter, now)
}

func (group *group) chooseSlot(adapter core.AdapterVersion, now time.Time) (*member, bool, core.AdapterVersion) {
	var best *member
	var evict core.AdapterVersion
	for _, entry := range group.members {
		victim, ok := entry.victim()
		if !group.takes(entry, now) || !ok {
			continue
		}
		if best == nil || entry.running < best.running {
			best, evict = entry, victim
		}
	}
	if best == nil {
		return nil, false, evict
	}
	best.adapters[adapter] = &residency{used: now}
	delete(best.adapters, evict)
	return best, true, evict
}

func (group *group) loading(adapter core.AdapterVersion) bool {
	for _, entry := range group.members {
		if held, ok := entry.adapters[adapter]; ok && !held.ready {
			return true
		}
	}
	return false
}

func (group *group) loaded(chosen *member, adapter core.AdapterVersion, ok bool) {
	if ok {
		chosen.adapters[adapter].ready = true
	} else {
		delete(chosen.adapters, adapter)
	}
	group.wake()
}

func (group *group) release(chosen *member, adapter core.AdapterVersion) {
	chosen.running--
	if held, ok := chosen.adapters[adapter]; ok {
		held.pins--
	}
	group.wake()
}

func (entry *member) holds(adapter core.AdapterVersion) bool {
	held, ok := entry.adapters[adapter]
	return adapter.IsZero() || (ok && held.ready)
}

func (entry *member) pin(adapter core.AdapterVersion, now time.Time) {
	entry.running++
	if held, ok := entry.adapters[adapter]; ok {
		held.pins++
		held.used = now
	}
}

// victim returns the least recently used adapter version without a pin, or none if a
// slot is free. The second result is false if every slot is pinned.
func (entry *member) victim() (core.AdapterVersion, bool) {
	if len(entry.adapters) < entry.slots {
		return core.AdapterVersion{}, true
	}
	var oldest core.AdapterVersion
	var used time.Time
	for adapter, held := range entry.adapters {
		if held.ready && held.pins == 0 && (oldest.IsZero() || held.used.Before(used)) {
			oldest, used = adapter, held.used
		}
	}
	return oldest, !oldest.IsZero()
}
