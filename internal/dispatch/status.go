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

// announcementTTL is the time after its last announcement for which an upstream is
// listed. It gets no new calls or loads after core.AnnouncementLease, 3 s.
const announcementTTL = time.Minute

// Groups returns the groups for which this VM holds state, sorted by their string
// form.
func (owner *Owner) Groups() []core.GroupID {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return slices.SortedFunc(maps.Keys(owner.groups), func(a, b core.GroupID) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// Announcements returns the last announcement of each upstream that announced itself
// within announcementTTL before now, sorted by upstream name. It deletes older
// announcements.
func (owner *Owner) Announcements(now time.Time) []Announced {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	var list []Announced
	for _, group := range owner.groups {
		for id, entry := range group.announced {
			if now.Sub(entry.At) > announcementTTL {
				delete(group.announced, id)
				continue
			}
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b Announced) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
