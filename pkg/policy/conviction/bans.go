package conviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// firstTrial is the time after a conviction at which the trait is tried again; the time
// until the next trial doubles. Without a trial, a trait that was convicted wrongly while
// no request with it could pass would stay refused until the end of its term.
const firstTrial = 30 * time.Second

// ban is a convicted trait on an entry VM.
type ban struct {
	since, until time.Duration
	// nextTrial is the time of the next trial, and trialDelay the time after which the one
	// after it follows.
	nextTrial, trialDelay time.Duration
	// trial is the content of the last request that was let pass as a trial.
	trial Trait
	// trier is the VM that carries out the trials.
	trier core.VMID
}

// clearance is the time of a clearance, and the time until which it is remembered.
type clearance struct{ since, until time.Duration }

// Bans holds the verdicts that an entry VM knows. Set VM before the first use; otherwise the
// zero value is ready to use. Times are readings of a monotonic clock that continues while
// the machine is suspended. A Bans is not safe for concurrent use.
type Bans struct {
	// VM is this VM. Which VM carries out a trial depends on it.
	VM core.VMID

	bans map[Trait]*ban
	// cleared holds the last clearance by trait. An older conviction may arrive after it.
	cleared map[Trait]clearance
	// watched holds the time until which passes of a suspected trait are reported.
	watched map[Trait]time.Duration
}

// Apply applies a verdict of a control VM, unless a younger one is known.
func (bans *Bans) Apply(now time.Duration, verdict Verdict) {
	if bans.bans == nil {
		bans.bans, bans.cleared, bans.watched = make(map[Trait]*ban), make(map[Trait]clearance), make(map[Trait]time.Duration)
	}
	bans.expire(now)
	since := now - verdict.Age
	cleared, wasCleared := bans.cleared[verdict.Trait]
	if verdict.Left <= 0 || wasCleared && cleared.since >= since {
		return
	}
	current := bans.bans[verdict.Trait]
	switch verdict.Status {
	case Suspected:
		if len(bans.watched) < maxTraits {
			bans.watched[verdict.Trait] = now + verdict.Left
		}
	case Convicted:
		if current != nil {
			current.until = max(current.until, now+verdict.Left)
			current.trier = cmp.Or(verdict.Trier, current.trier)
		} else if len(bans.bans) < maxTraits {
			bans.bans[verdict.Trait] = newBan(now, since, verdict)
		}
	case Cleared:
		delete(bans.watched, verdict.Trait)
		if current != nil && current.since < since {
			delete(bans.bans, verdict.Trait)
		}
		if len(bans.cleared) < maxTraits {
			bans.cleared[verdict.Trait] = clearance{since: since, until: now + verdict.Left}
		}
	}
}

// newBan returns the ban of a convicted trait. It skips the trials whose time has passed: a VM
// that has started again may have carried them out before.
func newBan(now, since time.Duration, verdict Verdict) *ban {
	next := &ban{since: since, until: now + verdict.Left, nextTrial: since + firstTrial, trialDelay: 2 * firstTrial, trier: verdict.Trier}
	for next.nextTrial < now {
		next.nextTrial += next.trialDelay
		next.trialDelay *= 2
	}
	return next
}

// Convictions returns the convictions in force, sorted by trait.
func (bans *Bans) Convictions(now time.Duration) []Verdict {
	var all []Verdict
	for trait, current := range bans.bans {
		if now < current.until {
			all = append(all, Verdict{Trait: trait, Status: Convicted, Age: now - current.since, Left: current.until - now, Trier: current.trier})
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return all
}

// expire removes what has ended.
func (bans *Bans) expire(now time.Duration) {
	for trait, current := range bans.bans {
		if now >= current.until {
			delete(bans.bans, trait)
		}
	}
	for trait, cleared := range bans.cleared {
		if now >= cleared.until {
			delete(bans.cleared, trait)
		}
	}
	for trait, until := range bans.watched {
		if now >= until {
			delete(bans.watched, trait)
		}
	}
}

// Refuse returns true and the time until the conviction ends if a trait of the request is
// convicted. It lets a request pass that is a trial: the VM that the verdict names carries out
// each trial, with one request.
func (bans *Bans) Refuse(now time.Duration, request Request) (time.Duration, bool) {
	if len(bans.bans) == 0 {
		return 0, false
	}
	left, refused := time.Duration(0), false
	for _, trait := range request.traits() {
		current := bans.bans[trait]
		if current == nil || now >= current.until {
			continue
		}
		if bans.startTrial(now, current) {
			current.trial = request.Content
			continue
		}
		left, refused = max(left, current.until-now), true
	}
	return left, refused
}

// Refused reports whether a trait of the request is convicted and it is not the trial that
// Refuse has let pass.
func (bans *Bans) Refused(now time.Duration, request Request) bool {
	for _, trait := range request.traits() {
		if current := bans.bans[trait]; current != nil && now < current.until && current.trial != request.Content {
			return true
		}
	}
	return false
}

// startTrial reports whether a request is the trial of a convicted trait.
func (bans *Bans) startTrial(now time.Duration, current *ban) bool {
	if now < current.nextTrial {
		return false
	}
	current.nextTrial, current.trialDelay, current.trial = now+current.trialDelay, 2*current.trialDelay, ""
	return current.trier != "" && current.trier == bans.VM
}

// Watched returns the traits of a request whose passes are to be reported: the suspected and
// the convicted ones.
func (bans *Bans) Watched(now time.Duration, request Request) []Trait {
	if len(bans.bans) == 0 && len(bans.watched) == 0 {
		return nil
	}
	var watched []Trait
	for _, trait := range request.traits() {
		if bans.bans[trait] != nil || bans.watched[trait] > now {
			watched = append(watched, trait)
		}
	}
	return watched
}
