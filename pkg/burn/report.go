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

// Windows are the times over which burn rates are computed, the shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// noEndAfter is the age at which an attempt without an end counts as broken.
const noEndAfter = 10 * time.Minute

// Report is the burn of every plan at one time.
type Report struct {
	At    time.Time
	Plans []PlanReport
}

// PlanReport is the burn of one plan.
type PlanReport struct {
	Plan       core.PlanID
	Customer   core.CustomerID
	Objectives []ObjectiveReport
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Objective Objective
	Target    float64
	// BoundMillis is zero if the objective has no bound.
	BoundMillis int64 `json:",omitempty"`
	Windows     []WindowReport
	// BudgetUsed is the used share of the budget of the longest window.
	BudgetUsed float64
	// Alert is "page", "ticket" or empty.
	Alert string `json:",omitempty"`
	// UsedBy tells what used the budget of the longest window, by cause, zone,
	// upstream and adapter.
	UsedBy []Use `json:",omitempty"`
	// Hours holds the burn rate of each hour of the longest window, the oldest first.
	Hours []float64
}

// WindowReport is the burn over one window.
type WindowReport struct {
	Window   string
	Requests int
	Bad      int
	BurnRate float64
}

// Use is a part of the used budget.
type Use struct {
	By   string
	Name string
	Bad  int
	// Share is the part of all bad requests.
	Share float64
}

// Options say what is reported.
type Options struct {
	// Plans hold the objectives. A plan that only the log knows has the defaults.
	Plans []core.Plan
	Now   time.Time
}

// Compute reads records, each once, and returns the report. Records after Now and
// before the longest window do not count.
func Compute(records iter.Seq2[audit.Record, error], options Options) (Report, error) {
	tally := newTally(options)
	for record, err := range records {
		if err != nil {
			return Report{}, err
		}
		tally.add(record)
	}
	tally.judgeAll()
	return tally.report(), nil
}

// tally collects counts while records are read.
type tally struct {
	now    time.Time
	plans  map[core.PlanID]core.Plan
	counts map[core.PlanID]map[Objective]*counts
	// starts and ends hold the last start and the last end of each request: what a
	// caller got is the end of the last attempt.
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
	known, ok := tally.counts[plan]
	if !ok {
		known = make(map[Objective]*counts)
		for _, objective := range Objectives {
			known[objective] = newCounts()
		}
		tally.counts[plan] = known
	}
	return known
}

func (tally *tally) add(record audit.Record) {
	age := tally.now.Sub(time.UnixMilli(record.At))
	if age < 0 || age >= Windows[len(Windows)-1] {
		return
	}
	if record.Event == audit.EventStart {
		keepLast(tally.starts, record)
	} else {
		keepLast(tally.ends, record)
	}
}

func keepLast(records map[core.RequestID]audit.Record, record audit.Record) {
	last, ok := records[record.Request]
	if !ok || cmp.Or(cmp.Compare(record.At, last.At), cmp.Compare(record.Sequence, last.Sequence)) > 0 {
		records[record.Request] = record
	}
}

func (tally *tally) judge(end audit.Record, age time.Duration) {
	if _, ok := tally.plans[end.Plan]; !ok {
		tally.plans[end.Plan] = core.Plan{Plan: end.Plan, Customer: end.Customer}
	}
	limits := limitsOf(tally.plans[end.Plan])
	planCounts := tally.planCounts(end.Plan)
	for _, objective := range Objectives {
		if verdict := limits.judge(objective, end); verdict.counts {
			planCounts[objective].add(age, end, verdict)
		}
	}
}

// judgeAll judges each request by its last attempt. An attempt that should have
// ended has lost its VM, and its caller got no whole answer and no truthful refusal.
func (tally *tally) judgeAll() {
	for request, start := range tally.starts {
		end, ok := tally.ends[request]
		if ok && (end.Attempt == start.Attempt || end.At >= start.At) {
			continue
		}
		delete(tally.ends, request)
		if tally.now.Sub(time.UnixMilli(start.At)) < noEndAfter {
			continue
		}
		start.Event, start.Whole = audit.EventEnd, false
		start.Outcome, start.Code = core.Unknown.String(), "no_end"
		tally.ends[request] = start
	}
	for _, end := range tally.ends {
		tally.judge(end, tally.now.Sub(time.UnixMilli(end.At)))
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

// compareUses orders uses by what they are of, the largest first.
func compareUses(a, b Use) int {
	return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
}
