package rig

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Rule is the name of a rule.
type Rule string

// The rules that the judge knows.
const (
	Budget Rule = "BUDGET"
	Order  Rule = "ORDER"
	Mixed  Rule = "MIXED"
	Twice  Rule = "TWICE"
)

// Sentence is one sentence of a rule. A verdict counts violations by sentence.
type Sentence string

// The sentences of BUDGET.
const (
	// Repeats: more arrivals beyond the first of each request than the budget allows.
	Repeats Sentence = "repeats"
	// Attempts: requests run in one attempt on more upstreams than MaxAttempts.
	Attempts Sentence = "attempts"
	// TimeLeft: upstreams are handed more time than is left.
	TimeLeft Sentence = "time left"
	// CrashingContent: a request that crashes upstreams is sent again and again.
	CrashingContent Sentence = "crashing content"
	// CrashingPart: requests with a part that crashes upstreams are sent again and again.
	CrashingPart Sentence = "crashing part"
)

// The sentences of ORDER. A stream that looks complete and is not counts here only, although
// MIXED forbids it too.
const (
	Missing         Sentence = "missing piece"
	Repeated        Sentence = "repeated piece"
	JoinedRuns      Sentence = "joined runs"
	JoinedVersions  Sentence = "joined versions"
	EarlyCompletion Sentence = "early completion"
)

// The sentences of MIXED and TWICE.
const (
	UnreadableAnswer Sentence = "unreadable answer"
	IncompleteAnswer Sentence = "incomplete answer"
	SecondRun        Sentence = "second run"
)

// Figures are the figures of the rules, from the sheet of the site.
type Figures struct {
	// Ratio and Extra bound the repeats for a service in each span of Window.
	Ratio  float64
	Extra  float64
	Window time.Duration
	// Contact is the time for which a VM must be undisturbed to be in touch.
	Contact time.Duration
	// Control names the processes of the control VMs, of which a majority must run.
	Control []string
}

// Violation is one breach of a rule.
type Violation struct {
	Rule     Rule
	Sentence Sentence
	// At is the time in Unix microseconds at which the rule was broken.
	At int64
	// Detail states figures that the records do not show.
	Detail string `json:",omitempty"`
	// Records show the violation.
	Records []Record
}

// Verdict is the result of Judge.
type Verdict struct {
	// Violations are sorted by time.
	Violations []Violation
	// Counts holds the number of violations of each sentence that was broken.
	Counts map[Rule]map[Sentence]int
}

func (verdict *Verdict) add(violations ...Violation) {
	for _, violation := range violations {
		if verdict.Counts == nil {
			verdict.Counts = make(map[Rule]map[Sentence]int)
		}
		if verdict.Counts[violation.Rule] == nil {
			verdict.Counts[violation.Rule] = make(map[Sentence]int)
		}
		verdict.Counts[violation.Rule][violation.Sentence]++
	}
	verdict.Violations = append(verdict.Violations, violations...)
}

// Judge returns the violations of a play. It uses what callers and upstreams have seen on
// their sockets, and the player's records of disruptions. The records may be in any order,
// except that records of one process with equal times must be in the order of writing.
//
// The records do not name the VM that sends a request to an upstream: it is taken to be the
// entry VM to which the caller is connected. A VM that passes a request on for another one
// is therefore not excused by its own disruption, and a violation of a sentence for VMs in
// touch has to be compared with the disruptions of all VMs.
func Judge(records []Record, figures Figures) Verdict {
	play := newPlay(records, figures)
	var verdict Verdict
	verdict.add(play.repeats()...)
	verdict.add(play.attempts()...)
	verdict.add(play.timeLeft()...)
	verdict.add(play.crashing()...)
	verdict.add(play.order()...)
	verdict.add(play.mixed()...)
	verdict.add(play.twice()...)
	slices.SortStableFunc(verdict.Violations, func(one, other Violation) int { return cmp.Compare(one.At, other.At) })
	return verdict
}

// request holds the records of one attempt of a caller. Times are in Unix microseconds.
type request struct {
	sent     Record
	known    bool // a caller has sent it
	arrived  []Record
	began    []Record
	received []Record
	ended    *Record
	// status is that of the response, or 0.
	status int
	// end is the time at which the caller has the whole answer or leaves; the end of the
	// play if it does neither.
	end int64
}

// succeeded reports whether the response has a status of success.
func (request *request) succeeded() bool { return request.status >= 200 && request.status < 300 }

// play is the index of the records that the sentences use.
type play struct {
	figures     Figures
	requests    map[core.RequestID]*request
	ordered     []*request // by the time of the first record
	arrivals    []Record
	crashes     []Record
	faults      []Record // records of callers with a Detail
	runs        map[string]Record
	disruptions disruptions
}

func newPlay(records []Record, figures Figures) *play {
	play := &play{figures: figures, requests: make(map[core.RequestID]*request), runs: make(map[string]Record)}
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(one, other Record) int { return cmp.Compare(one.At, other.At) })
	for _, record := range records {
		play.add(record)
	}
	play.disruptions = newDisruptions(records, figures)
	for _, request := range play.ordered {
		if request.end == 0 && len(records) > 0 {
			request.end = records[len(records)-1].At
		}
	}
	return play
}

func (play *play) add(record Record) {
	if record.Event == Disrupted || record.Event == Restored {
		return
	}
	entry := play.requests[record.Request]
	if entry == nil {
		entry = &request{}
		play.requests[record.Request] = entry
		play.ordered = append(play.ordered, entry)
	}
	switch record.Event {
	case Sent:
		entry.sent, entry.known = record, true
	case Answered:
		entry.status = record.Status
	case Received:
		entry.received = append(entry.received, record)
	case Ended, Left:
		entry.status = cmp.Or(record.Status, entry.status)
		entry.ended, entry.end = &record, record.At
	case Arrived:
		entry.arrived = append(entry.arrived, record)
		play.arrivals = append(play.arrivals, record)
	case Began:
		entry.began = append(entry.began, record)
		play.runs[record.Run] = record
	case Crashed:
		play.crashes = append(play.crashes, record)
	}
	if record.Detail != "" && (record.Event == Answered || record.Event == Received || record.Event == Ended) {
		play.faults = append(play.faults, record)
	}
}

// inTouch reports whether the entry VM that took a request is in touch at a time. An arrival
// of a request that no caller has sent has no known VM, which is taken to be in touch.
func (play *play) inTouch(request *request, at int64) bool {
	return play.disruptions.inTouch(request.sent.Process, at)
}

// twice returns the runs beyond the first of requests that may run once at most. It is not
// excused by anything.
func (play *play) twice() []Violation {
	var violations []Violation
	for _, request := range play.ordered {
		once := request.sent.Kind == Unsafe || request.sent.Kind == Stream
		if once && len(request.began) > 1 {
			violations = append(violations, Violation{Rule: Twice, Sentence: SecondRun, At: request.began[1].At, Records: request.began})
		}
	}
	return violations
}
