package burn

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
)

const (
	// maxUses bounds the uses of one kind in a report.
	maxUses = 10
	// At pageRate the budget of three days is gone in five hours, at ticketRate by
	// their end. Two windows must agree, so that a short burst or a past one raises
	// nothing.
	pageRate   = 14.4
	ticketRate = 1.0
)

// counts holds the requests of one plan under one objective.
type counts struct {
	requests []int
	bad      []int
	hours    []hour
	uses     map[useKey]int
}

type hour struct{ requests, bad int }

type useKey struct{ by, name string }

func newCounts() *counts {
	longest := Windows[len(Windows)-1]
	return &counts{
		requests: make([]int, len(Windows)), bad: make([]int, len(Windows)),
		hours: make([]hour, int(longest/time.Hour)), uses: make(map[useKey]int),
	}
}

func (counts *counts) add(age time.Duration, end audit.Record, verdict verdict) {
	at := len(counts.hours) - 1 - int(age/time.Hour)
	counts.hours[at].requests++
	for i, window := range Windows {
		if age < window {
			counts.requests[i]++
		}
	}
	if !verdict.bad {
		return
	}
	counts.hours[at].bad++
	for i, window := range Windows {
		if age < window {
			counts.bad[i]++
		}
	}
	counts.use("cause", verdict.cause)
	counts.use("zone", string(end.Zone))
	counts.use("upstream", string(end.Upstream))
	counts.use("adapter", string(end.Adapter))
}

func (counts *counts) use(by, name string) {
	if name != "" {
		counts.uses[useKey{by, name}]++
	}
}

func (counts *counts) report(objective Objective, limits limits) ObjectiveReport {
	report := ObjectiveReport{Objective: objective, Target: limits.target, BoundMillis: limits.bound(objective).Milliseconds()}
	for i, window := range Windows {
		rate := burnRate(counts.bad[i], counts.requests[i], limits.target)
		report.Windows = append(report.Windows, WindowReport{windowName(window), counts.requests[i], counts.bad[i], rate})
	}
	report.BudgetUsed = report.Windows[len(Windows)-1].BurnRate
	report.Alert = alert(report.Windows)
	for _, hour := range counts.hours {
		report.Hours = append(report.Hours, burnRate(hour.bad, hour.requests, limits.target))
	}
	report.UsedBy = counts.usedBy(counts.bad[len(Windows)-1])
	return report
}

func burnRate(bad, requests int, target float64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / (1 - target)
}

// alert compares pairs of a short and a long window.
func alert(windows []WindowReport) string {
	switch {
	case windows[0].BurnRate >= pageRate && windows[1].BurnRate >= pageRate:
		return "page"
	case windows[2].BurnRate >= ticketRate && windows[3].BurnRate >= ticketRate:
		return "ticket"
	default:
		return ""
	}
}

func (counts *counts) usedBy(bad int) []Use {
	var uses []Use
	for key, count := range counts.uses {
		uses = append(uses, Use{key.by, key.name, count, float64(count) / float64(bad)})
	}
	slices.SortFunc(uses, compareUses)
	var result []Use
	kept := 0
	for i, use := range uses {
		if i == 0 || use.By != uses[i-1].By {
			kept = 0
		}
		if kept++; kept <= maxUses {
			result = append(result, use)
		}
	}
	return result
}

// windowName returns "5m", "1h" or "3d".
func windowName(window time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case window >= day && window%day == 0:
		return number(int(window/day)) + "d"
	case window >= time.Hour:
		return number(int(window/time.Hour)) + "h"
	default:
		return number(int(window/time.Minute)) + "m"
	}
}
