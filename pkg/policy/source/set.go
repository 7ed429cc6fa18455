package source

import (
	"hash/fnv"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// localGrace is the time after the first statement of a number for which a control VM of the own
	// zone is waited for. The others learn of a commit with the next heartbeat of the leader, which
	// alone would serve all entry VMs otherwise.
	localGrace = 100 * time.Millisecond
	// minPause and maxPause bound the time for which a control VM is not asked after a failed fetch.
	// The pause doubles with each failure in a row.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// maxWait is the time until the next look if nothing else ends the wait.
	maxWait = time.Second
)

// Set holds the control VMs that an entry VM follows, with the numbers that they have stated. The
// zero value is empty. A Set is not safe for concurrent use.
type Set struct {
	peers map[core.VMID]*peer
	// newest is the highest number that was stated, and newestAt the time of its first statement.
	newest   core.ConfigNumber
	newestAt time.Duration
}

// peer is a control VM that is followed.
type peer struct {
	zone   core.ZoneID
	number core.ConfigNumber
	// asking is set while a fetch runs, and asked is the number that was stated when it began.
	asking      bool
	asked       core.ConfigNumber
	failures    int
	pausedUntil time.Duration
}

// State notes that a control VM is followed and has stated a number. The zone is empty if it is
// not known.
func (set *Set) State(now time.Duration, vm core.VMID, zone core.ZoneID, number core.ConfigNumber) {
	if set.peers == nil {
		set.peers = make(map[core.VMID]*peer)
	}
	known := set.peers[vm]
	if known == nil {
		known = &peer{}
		set.peers[vm] = known
	}
	known.zone, known.number = zone, number
	if number > set.newest {
		set.newest, set.newestAt = number, now
	}
}

// Leave notes that a control VM is not followed any more.
func (set *Set) Leave(vm core.VMID) { delete(set.peers, vm) }

// Next returns the control VM from which an entry VM fetches the route table now, if it holds the
// number held, zero for none. Otherwise the name is empty, and the time is that until the next
// look, or zero if no control VM has stated a higher number.
func (set *Set) Next(now time.Duration, self core.VMID, zone core.ZoneID, held core.ConfigNumber) (core.VMID, time.Duration) {
	var best core.VMID
	var bestScore uint64
	wait := time.Duration(0)
	local := false
	for vm, peer := range set.peers {
		if peer.number <= held {
			local = local || peer.zone == zone
			continue
		}
		if peer.asking || peer.pausedUntil > now {
			wait = soonest(wait, maxWait)
			if !peer.asking {
				wait = soonest(wait, peer.pausedUntil-now)
			}
			continue
		}
		if score := score(self, vm, peer.zone == zone); best == "" || score > bestScore || score == bestScore && vm < best {
			best, bestScore = vm, score
		}
	}
	if best == "" {
		return "", wait
	}
	if grace := set.newestAt + localGrace - now; held > 0 && local && grace > 0 && set.peers[best].zone != zone {
		return "", soonest(wait, grace)
	}
	return best, 0
}

// soonest returns the shorter one of two times, of which zero stands for none.
func soonest(wait, other time.Duration) time.Duration {
	if wait == 0 {
		return other
	}
	return min(wait, other)
}

// score returns the rank of a control VM in the order of an entry VM; the highest one comes first.
func score(self, vm core.VMID, local bool) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(self))
	hash.Write([]byte{0}) // distinguishes "ab"+"c" from "a"+"bc"
	hash.Write([]byte(vm))
	rank := hash.Sum64() >> 1
	if local {
		rank |= 1 << 63
	}
	return rank
}

// Begin notes that a fetch from a control VM begins. It returns the number that the VM has stated.
func (set *Set) Begin(vm core.VMID) core.ConfigNumber {
	peer := set.peers[vm]
	if peer == nil {
		return 0
	}
	peer.asking, peer.asked = true, peer.number
	return peer.number
}

// Answer notes that a fetch has ended with the table of the given number. A control VM that answers
// with a lower number than the one it had stated before does not have that any more.
func (set *Set) Answer(now time.Duration, vm core.VMID, number core.ConfigNumber) {
	peer := set.peers[vm]
	if peer == nil {
		return
	}
	peer.asking = false
	if number < peer.asked {
		if peer.number == peer.asked {
			peer.number = number
		}
		set.pause(now, peer)
		return
	}
	peer.failures = 0
}

// Fail notes that a fetch has failed.
func (set *Set) Fail(now time.Duration, vm core.VMID) {
	peer := set.peers[vm]
	if peer == nil {
		return
	}
	peer.asking = false
	set.pause(now, peer)
}

func (set *Set) pause(now time.Duration, peer *peer) {
	pause := min(minPause<<min(peer.failures, 8), maxPause)
	peer.pausedUntil = now + pause
	peer.failures++
}
