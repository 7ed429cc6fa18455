package routing

import "time"

// Group describes an upstream group that can run a call.
type Group struct {
	// Own is set for a group in the zone of the entry VM.
	Own bool
	// Delay is the round-trip time to the zone of the group.
	Delay time.Duration
	// Wait is the expected time to the first token in the group.
	Wait time.Duration
	// Refused is set if the group refused an earlier attempt of this call.
	Refused bool
	// Reachable is set if the group has an owner and the owner can be reached.
	Reachable bool
}

// SelectGroup returns the index of the group that receives the call. It prefers the
// group in the zone of the entry VM, then the smallest sum of Delay and Wait. Groups that
// refused the call or are unreachable are excluded. If no group remains, it returns -1
// and false.
func SelectGroup(groups []Group) (int, bool) {
	best := -1
	for i := range groups {
		if groups[i].Refused || !groups[i].Reachable {
			continue
		}
		if best < 0 || isBetter(&groups[i], &groups[best]) {
			best = i
		}
	}
	return best, best >= 0
}

// isBetter reports whether SelectGroup prefers group over other.
func isBetter(group, other *Group) bool {
	if group.Own != other.Own {
		return group.Own
	}
	return group.Delay+group.Wait < other.Delay+other.Wait
}
