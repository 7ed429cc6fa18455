package burn

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
)

const (
	// maxContributions bounds the reported contributions per dimension.
	maxContributions = 10
	// At pageBurnRate the budget of three days is used up in five hours, at
	// ticketBurnRate in three days. The rate must be reached in a short and in a long
	// window, so that neither a short burst nor one that is over raises an alert.
	pageBurnRate   = 14.4
	ticketBurnRate = 1.0
)

// counts holds the request counts of one plan under one objective, per window of
// Windows and per hour of the longest window, the oldest hour first.
type counts struct {
	requests      []int
	bad           []int
	hours         []hourCounts
	contributions map[contributionKey]int
}

type hourCounts struct{ requests, bad int }

type contributionKey struct{ dimension, name string }

func newCounts() *counts {
	longest := Windows[len(Windows)-1]
	return &counts{
		requests: make([]int, len(Windows)), bad: make([]int, len(Windows)),
		hours: make([]hourCounts, int(longest/time.Hour)), contributions: make(map[contributionKey]int),
	}
}

func (counts *counts) add(age time.Duration, end audit.Record, result classification) {
	index := len(counts.hours) - 1 - int(age/time.Hour)
	counts.hours[index].requests++
	for i, window := range Windows {
		if age < window {
			counts.requests[i]++
		}
	}
	if !result.bad {
		return
	}
	counts.hours[index].bad++
	for i, window := range Windows {
		if age < window {
			counts.bad[i]++
		}
	}
	counts.addContribution("cause", result.cause)
	counts.addContribution("zone", string(end.Zone))
	counts.addContribution("upstream", string(end.Upstream))
	counts.addContribution("adapter", string(end.Adapter))
}

func (counts *counts) addContribution(dimension, name string) {
	if name != "" {
		counts.contributions[contributionKey{dimension, name}]++
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
	report.UsedBy = counts.topContributions(counts.bad[len(Windows)-1])
	return report
}

func burnRate(bad, requests int, target float64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / (1 - target)
}

// alert returns "page" if the two shorter windows reach pageBurnRate, else "ticket" if
// the two longer windows reach ticketBurnRate, else the empty string.
func alert(windows []WindowReport) string {
	switch {
	case windows[0].BurnRate >= pageBurnRate && windows[1].BurnRate >= pageBurnRate:
		return "page"
	case windows[2].BurnRate >= ticketBurnRate && windows[3].BurnRate >= ticketBurnRate:
		return "ticket"
	default:
		return ""
	}
}

// topContributions returns the largest contributions of each dimension, with their
// share of the given number of bad requests.
func (counts *counts) topContributions(bad int) []Contribution {
	var contributions []Contribution
	for key, count := range counts.contributions {
		contributions = append(contributions, Contribution{key.dimension, key.name, count, float64(count) / float64(bad)})
	}
	slices.SortFunc(contributions, compareContributions)
	var result []Contribution
	rank := 0
	for i, contribution := range contributions {
		if i == 0 || contribution.By != contributions[i-1].By {
			rank = 0
		}
		if rank++; rank <= maxContributions {
			result = append(result, contribution)
		}
	}
	return result
}

// windowName formats a window in its largest unit, such as "5m", "1h" or "3d".
func windowName(window time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case window >= day && window%day == 0:
		return formatInt(int(window/day)) + "d"
	case window >= time.Hour:
		return formatInt(int(window/time.Hour)) + "h"
	default:
		return formatInt(int(window/time.Minute)) + "m"
	}
}
