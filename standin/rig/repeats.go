package rig

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// traffic holds the times for one service, each sorted.
type traffic struct {
	// requests are those that callers sent on a route to the service.
	requests []int64
	// repeats are the arrivals beyond the first of each request.
	repeats       []int64
	repeatRecords []Record
}

// repeats returns the spans in which a service gets more repeats than its budget. Each
// violation is the largest span that consists of overlapping windows above the budget, and
// names the worst of these windows.
//
// No disruption excuses a repeat. The first arrival of a request is counted for each service
// by itself, and a repeat that an upstream reads late counts when it reads it. Calls made by
// upstreams are not recorded and not counted.
func (play *play) repeats() []Violation {
	services := make(map[core.ServiceID]*traffic)
	of := func(service core.ServiceID) *traffic {
		if services[service] == nil {
			services[service] = &traffic{}
		}
		return services[service]
	}
	type first struct {
		service core.ServiceID
		request core.RequestID
	}
	seen := make(map[first]bool)
	for _, arrival := range play.arrivals {
		key := first{arrival.Service, arrival.Request}
		if !seen[key] {
			seen[key] = true
			continue
		}
		service := of(arrival.Service)
		service.repeats = append(service.repeats, arrival.At)
		service.repeatRecords = append(service.repeatRecords, arrival)
	}
	for _, request := range play.ordered {
		if request.known {
			of(request.sent.Service).requests = append(of(request.sent.Service).requests, request.sent.At)
		}
	}
	var violations []Violation
	for service, traffic := range services {
		slices.Sort(traffic.requests)
		for _, span := range traffic.exceeded(play.figures) {
			violations = append(violations, Violation{
				Rule: Budget, Sentence: Repeats, At: traffic.repeats[span.first+span.repeats-1],
				Detail: fmt.Sprintf("service %s: windows from %d to %d (begins, in microseconds); the worst, from %d, has %d repeats, %.1f are allowed",
					service, span.from, span.to, span.worst, span.repeats, span.allowed),
				Records: traffic.repeatRecords[span.first : span.first+span.repeats],
			})
		}
	}
	slices.SortFunc(violations, func(one, other Violation) int { return cmp.Compare(one.Detail, other.Detail) })
	return violations
}

// exceededSpan is a span of overlapping windows above the budget. Its times are the begins
// of windows.
type exceededSpan struct {
	from, to, worst int64
	first, repeats  int
	allowed         float64
}

// exceeded evaluates each window in which the number of repeats or of requests differs from
// the window before. A window holds the times from its begin up to, but not including, its
// end.
func (traffic *traffic) exceeded(figures Figures) []exceededSpan {
	window := figures.Window.Microseconds()
	var spans []exceededSpan
	for _, begin := range traffic.begins(window) {
		first, repeats := countIn(traffic.repeats, begin, begin+window)
		if float64(repeats) <= figures.Extra {
			continue
		}
		requests := 0
		for _, shift := range shifts(window) {
			_, count := countIn(traffic.requests, begin-shift, begin-shift+window)
			requests = max(requests, count)
		}
		allowed := figures.Ratio*float64(requests) + figures.Extra
		if float64(repeats) <= allowed {
			continue
		}
		found := exceededSpan{begin, begin, begin, first, repeats, allowed}
		if len(spans) == 0 || begin >= spans[len(spans)-1].to+window {
			spans = append(spans, found)
			continue
		}
		last := &spans[len(spans)-1]
		if float64(repeats)-allowed > float64(last.repeats)-last.allowed {
			found.from = last.from
			*last = found
		}
		last.to = begin
	}
	return spans
}

// shifts returns how long before a window of repeats those begin in which its requests are
// counted.
func shifts(window int64) []int64 { return []int64{0, window / 2, window} }

// begins returns the sorted begins of the windows to evaluate.
func (traffic *traffic) begins(window int64) []int64 {
	var begins []int64
	for _, at := range traffic.repeats {
		begins = append(begins, at-window+1, at+1)
	}
	for _, at := range traffic.requests {
		for _, shift := range shifts(window) {
			begins = append(begins, at+shift-window+1, at+shift+1)
		}
	}
	slices.Sort(begins)
	return slices.Compact(begins)
}

// countIn returns the index of the first of the sorted times that is not before from, and
// the number of times from there on that are before to.
func countIn(times []int64, from, to int64) (first, count int) {
	first = sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return first, sort.Search(len(times), func(i int) bool { return times[i] >= to }) - first
}
