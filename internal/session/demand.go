package session

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

// demandTable holds the groups whose upstreams announce themselves to this VM.
type demandTable struct {
	lock   sync.Mutex // leaf lock: no other lock is taken while it is held
	groups map[core.GroupID]map[core.UpstreamID]upstreamAnnouncement
}

type upstreamAnnouncement struct {
	received      time.Time
	checksFencing bool
	token         core.FencingToken
}

func (table *demandTable) recordAnnouncement(now time.Time, announcement core.Announcement) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.groups == nil {
		table.groups = make(map[core.GroupID]map[core.UpstreamID]upstreamAnnouncement)
	}
	upstreams := table.groups[announcement.Group]
	if upstreams == nil {
		upstreams = make(map[core.UpstreamID]upstreamAnnouncement)
		table.groups[announcement.Group] = upstreams
	}
	upstreams[announcement.Upstream] = upstreamAnnouncement{now, announcement.ChecksFencing, announcement.LastFencing}
}

// demands returns the groups with a present upstream, sorted, followed by the other
// groups in loads. A group checks fencing tokens only if all of its upstreams do.
func (table *demandTable) demands(now time.Time, loads map[core.GroupID]core.LoadsPerSecond) []lease.Demand {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.removeExpired(now)
	var demands []lease.Demand
	for _, group := range slices.SortedFunc(maps.Keys(table.groups), lease.CompareGroups) {
		demand := lease.Demand{Group: group, Wanted: true, Loads: loads[group], ChecksFencing: true}
		for _, announcement := range table.groups[group] {
			demand.ChecksFencing = demand.ChecksFencing && announcement.checksFencing
			demand.Seen = max(demand.Seen, announcement.token)
		}
		demands = append(demands, demand)
	}
	for _, group := range slices.SortedFunc(maps.Keys(loads), lease.CompareGroups) {
		if _, ok := table.groups[group]; !ok {
			demands = append(demands, lease.Demand{Group: group, Loads: loads[group]})
		}
	}
	return demands
}

func (table *demandTable) removeExpired(now time.Time) {
	for group, upstreams := range table.groups {
		maps.DeleteFunc(upstreams, func(_ core.UpstreamID, announcement upstreamAnnouncement) bool {
			return now.Sub(announcement.received) > core.AnnouncementLease
		})
		if len(upstreams) == 0 {
			delete(table.groups, group)
		}
	}
}
