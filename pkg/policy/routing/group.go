package routing

import "time"

// Group describes one upstream group that could run a call.
type Group struct {
	// Own is set for a group in the zone of the entry VM.
	Own bool
	// Delay is the round trip to the group's zone.
	Delay time.Duration
	// Wait is the expected time to the first token in the group.
	Wait time.Duration
	// Refused is set if the group refused this call before it ran.
	Refused bool
	// Reachable is set if the group has an owner that can be reached.
	Reachable bool
}

// PickGroup returns the index of the group that gets the call: the own zone
// first, then the smallest delay and wait together. Groups that refused the call
// or cannot be reached are left out; it returns false if none remains.
func PickGroup(groups []Group) (int, bool) {
	best := -1
	for i := range groups {
		if groups[i].Refused || !groups[i].Reachable {
			continue
		}
		if best < 0 || better(&groups[i], &groups[best]) {
			best = i
		}
	}
	return best, best >= 0
}

func better(group, than *Group) bool {
	if group.Own != than.Own {
		return group.Own
	}
	return group.Delay+group.Wait < than.Delay+than.Wait
}
