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
	lock   sync.Mutex // a leaf: nothing else is locked while it is held
	groups map[core.GroupID]map[core.UpstreamID]announced
}

type announced struct {
	at            time.Time
	checksFencing bool
	token         core.FencingToken
}

func (table *demandTable) announced(now time.Time, announcement core.Announcement) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.groups == nil {
		table.groups = make(map[core.GroupID]map[core.UpstreamID]announced)
	}
	members := table.groups[announcement.Group]
	if members == nil {
		members = make(map[core.UpstreamID]announced)
		table.groups[announcement.Group] = members
	}
	members[announcement.Upstream] = announced{now, announcement.ChecksFencing, announcement.LastFencing}
}

// demands returns the groups with a present upstream, sorted. A group checks tokens
// if every one of its upstreams does.
func (table *demandTable) demands(now time.Time, loads map[core.GroupID]core.LoadsPerSecond) []lease.Demand {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.expire(now)
	var demands []lease.Demand
	for _, group := range slices.SortedFunc(maps.Keys(table.groups), lease.CompareGroups) {
		demand := lease.Demand{Group: group, Wanted: true, Loads: loads[group], ChecksFencing: true}
		for _, one := range table.groups[group] {
			demand.ChecksFencing = demand.ChecksFencing && one.checksFencing
			demand.Seen = max(demand.Seen, one.token)
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

func (table *demandTable) expire(now time.Time) {
	for group, members := range table.groups {
		maps.DeleteFunc(members, func(_ core.UpstreamID, one announced) bool { return now.Sub(one.at) > core.AnnouncementLease })
		if len(members) == 0 {
			delete(table.groups, group)
		}
	}
}
