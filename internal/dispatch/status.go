package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Announced is the last announcement of an upstream and the time of its receipt.
type Announced struct {
	core.Announcement
	At time.Time
}

// upstreamMemory is the time for which a silent upstream is still listed. It gets no
// new work after its lease of 3 s.
const upstreamMemory = time.Minute

// Groups returns the groups that this VM has a table of, sorted.
func (owner *Owner) Groups() []core.GroupID {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return slices.SortedFunc(maps.Keys(owner.groups), func(a, b core.GroupID) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// Announced returns the last announcements of all upstreams that announced themselves
// within the last minute, sorted by name.
func (owner *Owner) Announced(now time.Time) []Announced {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	var list []Announced
	for _, group := range owner.groups {
		for id, entry := range group.announced {
			if now.Sub(entry.At) > upstreamMemory {
				delete(group.announced, id)
				continue
			}
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b Announced) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
