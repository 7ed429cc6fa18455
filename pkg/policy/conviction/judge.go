package conviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// endsToConvict is the number of ends without a pass in between that convict a trait.
	// Two can befall any request that is sent again after a failure of several upstreams.
	endsToConvict = 3
	// endsToSuspect is the number of ends from which entry VMs report the passes of a trait.
	endsToSuspect = 2
	// contentsToConvict is the number of different requests with which a part must have been
	// suspect. A single request that is sent again convicts only its content.
	contentsToConvict = 2
	// together is the time within which ends count as one: upstreams that end at the same
	// moment have a common cause other than one request each.
	together = 50 * time.Millisecond
	// evidenceMemory is the time for which an end counts.
	evidenceMemory = 20 * time.Second
	// Term is the length of the first conviction of a trait. Each later one takes twice as
	// long as the one before, up to maxTerm, and needs a single end.
	Term    = 10 * time.Minute
	maxTerm = time.Hour
	// maxTraits and maxEnds bound the memory for traits and ends. Upstreams that end under
	// more traits than that are lost to failures that no trait explains.
	maxTraits = 4096
	maxEnds   = 64
	// maxTraitsOfEnd bounds the traits of one end. An upstream has some ten requests that it
	// has not begun to answer, with four traits each.
	maxTraitsOfEnd = 256
)

// incarnation identifies an upstream process.
type incarnation struct {
	upstream core.UpstreamID
	born     int64
}

// presence holds how a trait was suspect at an end.
type presence struct {
	// position is the position of a part in its prompt.
	position int
	// contents holds the contents of the suspect requests with the trait, at most
	// contentsToConvict.
	contents []Trait
}

// end is the end of one upstream process, or of several that ended together.
type end struct {
	at        time.Duration
	processes []incarnation
	traits    map[Trait]*presence
}

// judgement is the last verdict about a trait.
type judgement struct {
	status       Status
	since, until time.Duration
	// firstEnd is the time of the first end that counted against the trait. A pass before
	// it proves nothing.
	firstEnd time.Duration
	// term is the length of the last conviction.
	term time.Duration
}

// Judge decides which traits crash upstreams. The zero value is ready to use. Times are
// readings of a monotonic clock that continues while the machine is suspended. A Judge is
// not safe for concurrent use.
type Judge struct {
	// ends are in the order of their reports.
	ends       []*end
	lastPass   map[Trait]time.Duration
	judgements map[Trait]*judgement
}

// Report adds the report of an entry VM about the end of an upstream process. It returns
// the verdicts that changed.
func (judge *Judge) Report(now time.Duration, crash Crash) []Verdict {
	judge.expire(now)
	current := judge.endOf(now-crash.Age, incarnation{crash.Upstream, crash.Born})
	for _, suspect := range crash.Suspects {
		judge.notePass(now, suspect.Content)
		current.add(suspect.Content.Trait, suspect.Content.Trait, 0)
		for position, part := range suspect.Parts {
			judge.notePass(now, part)
			current.add(part.Trait, suspect.Content.Trait, position)
		}
	}
	return judge.decide(now, current)
}

// endOf returns the end of a process, which may be that of another process at the same time.
func (judge *Judge) endOf(at time.Duration, process incarnation) *end {
	for _, other := range judge.ends {
		if slices.Contains(other.processes, process) {
			return other
		}
	}
	for _, other := range judge.ends {
		if (at - other.at).Abs() < together {
			other.processes = append(other.processes, process)
			return other
		}
	}
	if len(judge.ends) >= maxEnds {
		judge.ends = slices.Delete(judge.ends, 0, 1)
	}
	next := &end{at: at, processes: []incarnation{process}, traits: make(map[Trait]*presence)}
	judge.ends = append(judge.ends, next)
	return next
}

// add notes that a request with the trait and the content was suspect.
func (end *end) add(trait, content Trait, position int) {
	current := end.traits[trait]
	if current == nil {
		if len(end.traits) >= maxTraitsOfEnd {
			return
		}
		current = &presence{position: position}
		end.traits[trait] = current
	}
	if len(current.contents) < contentsToConvict && !slices.Contains(current.contents, content) {
		current.contents = append(current.contents, content)
	}
}

// Pass notes that a suspected or convicted trait has passed, the given time ago. The trait is
// cleared unless the ends since then are enough to convict it. It returns the verdicts that
// changed.
func (judge *Judge) Pass(now time.Duration, trait Trait, age time.Duration) []Verdict {
	judge.notePass(now, Evidence{Trait: trait, Passed: true, PassAge: age})
	current := judge.judgements[trait]
	if current == nil || current.status == Cleared || current.firstEnd >= now-age || judge.endsSincePass(trait) >= endsToConvict {
		return nil
	}
	until := now + evidenceMemory
	if current.status == Convicted {
		// A VM that was cut off may still report the conviction until its end.
		until = max(until, current.until)
	}
	*current = judgement{status: Cleared, since: now, until: until}
	return []Verdict{current.verdict(now, trait)}
}

// endsSincePass returns the number of ends with the trait since its last pass.
func (judge *Judge) endsSincePass(trait Trait) int {
	count := 0
	passed, everPassed := judge.lastPass[trait]
	for _, end := range judge.ends {
		if end.traits[trait] != nil && (!everPassed || end.at > passed) {
			count++
		}
	}
	return count
}

// notePass stores the time of the last known pass of a trait.
func (judge *Judge) notePass(now time.Duration, evidence Evidence) {
	if !evidence.Passed || evidence.PassAge > evidenceMemory {
		return
	}
	if judge.lastPass == nil {
		judge.lastPass = make(map[Trait]time.Duration)
	}
	at, known := judge.lastPass[evidence.Trait]
	if known || len(judge.lastPass) < maxTraits {
		judge.lastPass[evidence.Trait] = max(at, now-evidence.PassAge)
	}
}

// score is the evidence against a trait.
type score struct {
	ends     int
	first    time.Duration
	position int
	contents []Trait
}

// scores returns the evidence against the traits of an end: that against all others is as
// it was. An end counts against a trait if it came after the trait's last pass, and not if a
// convicted part explains it.
func (judge *Judge) scores(of *end) map[Trait]*score {
	scores := make(map[Trait]*score)
	for _, end := range judge.ends {
		if judge.explained(end) {
			continue
		}
		for trait := range of.traits {
			present := end.traits[trait]
			if passed, ok := judge.lastPass[trait]; present == nil || ok && passed >= end.at {
				continue
			}
			current := scores[trait]
			if current == nil {
				current = &score{first: end.at}
				scores[trait] = current
			}
			current.ends++
			current.first = min(current.first, end.at)
			current.position = max(current.position, present.position)
			for _, content := range present.contents {
				if len(current.contents) < contentsToConvict && !slices.Contains(current.contents, content) {
					current.contents = append(current.contents, content)
				}
			}
		}
	}
	return scores
}

// explained reports whether a part that is convicted was suspect at the end.
func (judge *Judge) explained(end *end) bool {
	for trait, present := range end.traits {
		if current := judge.judgements[trait]; current != nil && current.status == Convicted && !present.isContent(trait) {
			return true
		}
	}
	return false
}

// isContent reports whether the trait is the content of the suspect request.
func (present *presence) isContent(trait Trait) bool {
	return len(present.contents) > 0 && present.contents[0] == trait
}

// decide convicts traits of the end that was reported last and returns the verdicts that
// changed.
func (judge *Judge) decide(now time.Duration, reported *end) []Verdict {
	var changed []Verdict
	for {
		scores := judge.scores(reported)
		trait := judge.strongest(scores)
		if trait == "" {
			return append(changed, judge.suspect(now, scores)...)
		}
		changed = append(changed, judge.convict(now, trait, scores[trait].first))
	}
}

// strongest returns the trait to convict next, or an empty one. It is the trait that
// explains most ends; of two with equally many, the part that stands later in its prompt,
// which fewer requests share, and of a part and a content the part.
func (judge *Judge) strongest(scores map[Trait]*score) Trait {
	var chosen Trait
	for trait, current := range scores {
		if !judge.convictable(trait, current) {
			continue
		}
		if chosen == "" || compareScores(trait, current, chosen, scores[chosen]) > 0 {
			chosen = trait
		}
	}
	return chosen
}

// convictable reports whether the evidence against a trait is enough.
func (judge *Judge) convictable(trait Trait, current *score) bool {
	needed := endsToConvict
	if before := judge.judgements[trait]; before != nil {
		if before.status == Convicted {
			return false
		}
		if before.term > 0 {
			needed = 1
		}
	}
	isContent := len(current.contents) == 1 && current.contents[0] == trait
	return current.ends >= needed && (isContent || needed == 1 || len(current.contents) >= contentsToConvict)
}

func compareScores(a Trait, of *score, b Trait, other *score) int {
	return cmp.Or(
		cmp.Compare(of.ends, other.ends),
		cmp.Compare(len(of.contents), len(other.contents)),
		cmp.Compare(of.position, other.position),
		cmp.Compare(a, b),
	)
}

// convict convicts a trait and returns the verdict.
func (judge *Judge) convict(now time.Duration, trait Trait, firstEnd time.Duration) Verdict {
	term := Term
	if before := judge.judgements[trait]; before != nil && before.term > 0 {
		term = min(maxTerm, 2*before.term)
	}
	next := &judgement{status: Convicted, since: now, until: now + term, firstEnd: firstEnd, term: term}
	judge.set(trait, next)
	return next.verdict(now, trait)
}

// suspect returns verdicts about the traits that are newly suspected.
func (judge *Judge) suspect(now time.Duration, scores map[Trait]*score) []Verdict {
	var changed []Verdict
	for trait, current := range scores {
		before := judge.judgements[trait]
		if current.ends < endsToSuspect || before != nil && before.status != Cleared {
			continue
		}
		next := &judgement{status: Suspected, since: current.first, until: now + evidenceMemory, firstEnd: current.first}
		judge.set(trait, next)
		changed = append(changed, next.verdict(now, trait))
	}
	slices.SortFunc(changed, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return changed
}

// set stores a judgement, within maxTraits. A conviction replaces another entry if there is
// no room.
func (judge *Judge) set(trait Trait, next *judgement) {
	if judge.judgements == nil {
		judge.judgements = make(map[Trait]*judgement)
	}
	if judge.judgements[trait] == nil && len(judge.judgements) >= maxTraits {
		if next.status != Convicted {
			return
		}
		for other, current := range judge.judgements {
			if current.status != Convicted {
				delete(judge.judgements, other)
				break
			}
		}
	}
	judge.judgements[trait] = next
}

// Merge applies the verdict of another control VM and returns whether it was news.
func (judge *Judge) Merge(now time.Duration, verdict Verdict) bool {
	since := now - verdict.Age
	current := judge.judgements[verdict.Trait]
	if verdict.Status == Suspected || verdict.Left <= 0 {
		return false
	}
	if current != nil && (current.status == verdict.Status || current.since >= since && current.status != Suspected) {
		return false
	}
	next := &judgement{status: verdict.Status, since: since, until: now + verdict.Left, firstEnd: since}
	if verdict.Status == Convicted {
		next.term = max(Term, verdict.Age+verdict.Left)
	}
	judge.set(verdict.Trait, next)
	return true
}

// Verdicts returns all verdicts in force, sorted by trait.
func (judge *Judge) Verdicts(now time.Duration) []Verdict {
	var all []Verdict
	for trait, current := range judge.judgements {
		if now < current.until {
			all = append(all, current.verdict(now, trait))
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return all
}

func (current *judgement) verdict(now time.Duration, trait Trait) Verdict {
	return Verdict{Trait: trait, Status: current.status, Age: now - current.since, Left: current.until - now}
}

// expire removes evidence and verdicts that have ended. A conviction that has ended is
// remembered for maxTerm as one that needs a single end to come back.
func (judge *Judge) expire(now time.Duration) {
	judge.ends = slices.DeleteFunc(judge.ends, func(end *end) bool { return now-end.at >= evidenceMemory })
	for trait, at := range judge.lastPass {
		if now-at >= evidenceMemory {
			delete(judge.lastPass, trait)
		}
	}
	for trait, current := range judge.judgements {
		switch {
		case now < current.until:
		case current.status == Convicted:
			*current = judgement{status: Cleared, since: current.until, until: current.until + maxTerm, term: current.term}
		default:
			delete(judge.judgements, trait)
		}
	}
}
