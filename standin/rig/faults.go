package rig

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault, or another event that a play contains.
type FaultKind string

// The kinds of faults.
const (
	FreezeEntry    FaultKind = "freeze-entry"
	KillEntry      FaultKind = "kill-entry"
	KillEntries    FaultKind = "kill-entries" // more than half of them at once
	StopEntry      FaultKind = "stop-entry"
	RollEntries    FaultKind = "roll-entries" // stops one after the other
	FreezeControl  FaultKind = "freeze-control"
	KillControl    FaultKind = "kill-control"
	StopControl    FaultKind = "stop-control"
	KillControls   FaultKind = "kill-controls" // all at once
	FreezeZone     FaultKind = "freeze-zone"   // the VMs of one zone
	FreezeUpstream FaultKind = "freeze-upstream"
	KillUpstream   FaultKind = "kill-upstream"
	StopUpstream   FaultKind = "stop-upstream"
	Cut            FaultKind = "cut" // the links to upstreams, both ways
	CutRequests    FaultKind = "cut-requests"
	CutAnswers     FaultKind = "cut-answers"
	Silence        FaultKind = "silence" // open connections go silent, new ones work
	Reset          FaultKind = "reset"   // open connections are reset
	Delay          FaultKind = "delay"
	LoseAnswers    FaultKind = "lose-answers" // all engines reset or reject many requests
	Burst          FaultKind = "burst"
	Change         FaultKind = "change" // of the configuration
	Crash          FaultKind = "crash"  // a request that crashes engines
)

// Fault is one fault of a play. Targets are disrupted at the same time, except by RollEntries.
type Fault struct {
	// After is the time since the first request.
	After   time.Duration
	Kind    FaultKind
	Targets []string
	Length  time.Duration
}

// members are the processes of a play among which faults choose.
type members struct {
	entries, controls []string
	zones             [][]string // the VMs of each zone
	upstreams         []string
	engines           []string // the upstreams of the first service
	relayed           []string // the upstreams behind the relay
	tolerate          int
	catchUp           time.Duration
}

// planner draws the faults of a play.
type planner struct {
	members members
	random  *rand.Rand
	// busy is the time until which a process is disrupted or catches up.
	busy map[string]time.Duration
}

// firstFault is the time of undisturbed requests at the begin of a play.
const firstFault = 3 * time.Second

// planFaults returns the faults of a play by time. They depend on the seed only. No process
// has two faults at once, and the control VMs that are lost at the same time are at most as
// many as the deployment tolerates, except if all are.
func planFaults(play *Play, members members, random *rand.Rand) []Fault {
	planner := &planner{members: members, random: random, busy: make(map[string]time.Duration)}
	var kinds []FaultKind
	for _, kind := range slices.Sorted(maps.Keys(play.Faults)) {
		for range play.Faults[kind] {
			kinds = append(kinds, kind)
		}
	}
	var faults []Fault
	if len(kinds) == 0 {
		return faults
	}
	last := play.length() - time.Duration(play.QuietSeconds)*time.Second
	mean := time.Duration(play.FaultMillis) * time.Millisecond
	for at := firstFault; at < last; at += time.Duration(random.ExpFloat64() * float64(mean)) {
		if fault, ok := planner.draw(kinds[random.IntN(len(kinds))], at, last); ok {
			faults = append(faults, fault)
		}
	}
	return faults
}

// draw returns a fault of the kind that ends by last. It returns false if no process for it
// is undisturbed.
func (planner *planner) draw(kind FaultKind, at, last time.Duration) (Fault, bool) {
	random := planner.random
	length := min(time.Duration(300+random.IntN(4200))*time.Millisecond, last-at)
	fault := Fault{After: at, Kind: kind, Length: length}
	catchUp := time.Duration(0)
	switch kind {
	case FreezeEntry, KillEntry, StopEntry:
		fault.Targets = planner.some(planner.members.entries, 1, at)
	case KillEntries:
		fault.Targets = planner.some(planner.members.entries, len(planner.members.entries)/2+1+random.IntN(2), at)
		fault.Length = min(length, 2*time.Second)
	case RollEntries:
		fault.Targets = planner.some(planner.members.entries, len(planner.members.entries)/2, at)
		fault.Length = time.Second
	case FreezeControl, KillControl, StopControl:
		if lost := planner.lost(at); lost < planner.members.tolerate {
			fault.Targets = planner.some(planner.members.controls, 1, at)
		}
		catchUp = planner.members.catchUp
	case KillControls:
		if planner.lost(at) == 0 {
			fault.Targets = planner.members.controls
		}
		fault.Length, catchUp = min(length, time.Second), 2*planner.members.catchUp
	case FreezeZone:
		zone := planner.members.zones[random.IntN(len(planner.members.zones))]
		if planner.lost(at) == 0 && len(planner.some(zone, len(zone), at)) == len(zone) {
			fault.Targets = zone
		}
		catchUp = planner.members.catchUp
	case FreezeUpstream, KillUpstream, StopUpstream:
		fault.Targets = planner.some(planner.members.upstreams, 1+random.IntN(3), at)
	case Cut, CutRequests, CutAnswers, Silence, Reset, Delay:
		fault.Targets = planner.some(planner.members.relayed, 1+random.IntN(max(1, len(planner.members.relayed)/2)), at)
	case LoseAnswers:
		// Long enough for the repeats of a whole window of the budget.
		fault.Length = min(2*length, last-at)
		if planner.busy[string(kind)] <= at {
			fault.Targets = planner.members.engines
		}
		planner.busy[string(kind)] = at + fault.Length
		return fault, len(fault.Targets) > 0
	case Burst, Change, Crash:
		return fault, true
	}
	for _, target := range fault.Targets {
		planner.busy[target] = at + fault.Length + catchUp
		if kind == RollEntries || kind == StopEntry || kind == StopControl || kind == StopUpstream {
			// The time of the stop itself is not known in advance.
			planner.busy[target] += stopAllowance
		}
	}
	return fault, len(fault.Targets) > 0
}

// stopAllowance is the time that a planned stop takes at most, beside its length.
const stopAllowance = 9 * time.Second

// some returns up to count of the names that are undisturbed at a time.
func (planner *planner) some(names []string, count int, at time.Duration) []string {
	var free []string
	for _, i := range planner.random.Perm(len(names)) {
		if planner.busy[names[i]] <= at && len(free) < count {
			free = append(free, names[i])
		}
	}
	return free
}

// lost returns the number of control VMs that are lost at a time.
func (planner *planner) lost(at time.Duration) int {
	count := 0
	for _, name := range planner.members.controls {
		if planner.busy[name] > at {
			count++
		}
	}
	return count
}
