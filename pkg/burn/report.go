package burn

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Windows lists the windows over which burn rates are computed, the shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// missingEndAge is the age from which an attempt without an end record is classified
// with an unknown outcome.
const missingEndAge = 10 * time.Minute

// Report holds the burn rates of every plan at one time.
type Report struct {
	At    time.Time
	Plans []PlanReport
}

// PlanReport holds the burn rates of one plan, by objective.
type PlanReport struct {
	Plan       core.PlanID
	Customer   core.CustomerID
	Objectives []ObjectiveReport
}

// ObjectiveReport holds the burn rates of one objective.
type ObjectiveReport struct {
	Objective Objective
	Target    float64
	// BoundMillis is the latency bound, or zero if the objective has none.
	BoundMillis int64 `json:",omitempty"`
	Windows     []WindowReport
	// BudgetUsed is the used share of the longest window's error budget; 1 is all of it.
	BudgetUsed float64
	// Alert is "page", "ticket" or empty.
	Alert string `json:",omitempty"`
	// UsedBy lists the largest contributions to the bad requests of the longest
	// window, by cause, zone, upstream and adapter.
	UsedBy []Contribution `json:",omitempty"`
	// Hours lists the burn rate of each hour of the longest window, the oldest first.
	Hours []float64
}

// WindowReport holds the request counts and the burn rate of one window.
type WindowReport struct {
	Window   string
	Requests int
	Bad      int
	BurnRate float64
}

// Contribution counts the bad requests that share one cause, zone, upstream or adapter.
type Contribution struct {
	// By is "cause", "zone", "upstream" or "adapter".
	By   string
	Name string
	Bad  int
	// Share is the share of the longest window's bad requests.
	Share float64
}

// Options selects the plans and the time of the report.
type Options struct {
	// Plans holds the plans with their objectives. A plan that occurs only in the audit
	// log gets the default objectives.
	Plans []core.Plan
	Now   time.Time
}

// Compute returns the report of the given records, none of which may occur twice.
// Records after Now and records older than the longest window are ignored. It returns
// the first error of the sequence.
func Compute(records iter.Seq2[audit.Record, error], options Options) (Report, error) {
	tally := newTally(options)
	for record, err := range records {
		if err != nil {
			return Report{}, err
		}
		tally.add(record)
	}
	tally.classifyAll()
	return tally.report(), nil
}

// tally holds the state of a computation.
type tally struct {
	now    time.Time
	plans  map[core.PlanID]core.Plan
	counts map[core.PlanID]map[Objective]*counts
	// starts and ends hold the latest start and the latest end record of each request,
	// since the end of the last attempt is what the caller received.
	starts map[core.RequestID]audit.Record
	ends   map[core.RequestID]audit.Record
}

func newTally(options Options) *tally {
	tally := &tally{
		now: options.Now, plans: make(map[core.PlanID]core.Plan), counts: make(map[core.PlanID]map[Objective]*counts),
		starts: make(map[core.RequestID]audit.Record), ends: make(map[core.RequestID]audit.Record),
	}
	for _, plan := range options.Plans {
		tally.plans[plan.Plan] = plan
		tally.planCounts(plan.Plan)
	}
	return tally
}

func (tally *tally) planCounts(plan core.PlanID) map[Objective]*counts {
	byObjective, ok := tally.counts[plan]
	if !ok {
		byObjective = make(map[Objective]*counts)
		for _, objective := range Objectives {
			byObjective[objective] = newCounts()
		}
		tally.counts[plan] = byObjective
	}
	return byObjective
}

func (tally *tally) add(record audit.Record) {
	age := tally.now.Sub(time.UnixMilli(record.At))
	if age < 0 || age >= Windows[len(Windows)-1] {
		return
	}
	if record.Event == audit.EventStart {
		keepLatest(tally.starts, record)
	} else {
		keepLatest(tally.ends, record)
	}
}

func keepLatest(records map[core.RequestID]audit.Record, record audit.Record) {
	latest, ok := records[record.Request]
	if !ok || cmp.Or(cmp.Compare(record.At, latest.At), cmp.Compare(record.Sequence, latest.Sequence)) > 0 {
		records[record.Request] = record
	}
}

func (tally *tally) classify(end audit.Record, age time.Duration) {
	if _, ok := tally.plans[end.Plan]; !ok {
		tally.plans[end.Plan] = core.Plan{Plan: end.Plan, Customer: end.Customer}
	}
	limits := limitsOf(tally.plans[end.Plan])
	planCounts := tally.planCounts(end.Plan)
	for _, objective := range Objectives {
		if result := limits.classify(objective, end); result.counts {
			planCounts[objective].add(age, end, result)
		}
	}
}

// classifyAll classifies each request by its last attempt. An attempt that is older
// than missingEndAge and has no end record gets the outcome "unknown", since its VM was
// lost and its caller got neither a complete answer nor a refusal that states that the
// request did not run. A younger attempt without an end record is left out.
func (tally *tally) classifyAll() {
	for request, start := range tally.starts {
		end, ok := tally.ends[request]
		if ok && (end.Attempt == start.Attempt || end.At >= start.At) {
			continue
		}
		delete(tally.ends, request)
		if tally.now.Sub(time.UnixMilli(start.At)) < missingEndAge {
			continue
		}
		start.Event, start.Whole = audit.EventEnd, false
		start.Outcome, start.Code = core.Unknown.String(), "no_end"
		tally.ends[request] = start
	}
	for _, end := range tally.ends {
		tally.classify(end, tally.now.Sub(time.UnixMilli(end.At)))
	}
}

func (tally *tally) report() Report {
	report := Report{At: tally.now}
	for _, id := range slices.Sorted(maps.Keys(tally.counts)) {
		plan := tally.plans[id]
		limits := limitsOf(plan)
		entry := PlanReport{Plan: id, Customer: plan.Customer}
		for _, objective := range Objectives {
			entry.Objectives = append(entry.Objectives, tally.counts[id][objective].report(objective, limits))
		}
		report.Plans = append(report.Plans, entry)
	}
	return report
}

// compareContributions orders contributions by dimension, then by descending number of
// bad requests, then by name.
func compareContributions(a, b Contribution) int {
	return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
}
