package rig

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// toleratedAttempts is the number of requests that may run on more upstreams than
	// MaxAttempts.
	toleratedAttempts = 3
	// deadlineSlack is the time by which a deadline may be too late, and after which a
	// repeat is a late one.
	deadlineSlack = 500 * time.Millisecond
	// toleratedDeadlines is the number of arrivals that may have too much time, and
	// toleratedDeadlineShare the share of these and of all late repeats.
	toleratedDeadlines     = 20
	toleratedDeadlineShare = 5
	// After crashesOfContent crashes by one content, or crashesOfPart by one part of a
	// prompt, and the contact time, toleratedCrashing arrivals are allowed.
	crashesOfContent  = 3
	crashesOfPart     = 5
	toleratedCrashing = 3
)

// attempts returns the requests that ran, in one attempt of a caller, on more upstreams than
// the route allows, if there are more than three. Runs at upstreams that crashed or were
// disrupted between the begin of the run and the end of the attempt do not count. A
// disruption of an entry VM excuses nothing. Requests without MaxAttempts are left out.
func (play *play) attempts() []Violation {
	var violations []Violation
	for _, request := range play.ordered {
		allowed := request.sent.MaxAttempts
		if allowed == 0 || len(request.began) <= allowed {
			continue
		}
		upstreams := make(map[string]bool)
		for _, run := range request.began {
			if !play.lost(run.Process, run.At, max(request.end, run.At)) {
				upstreams[run.Process] = true
			}
		}
		if len(upstreams) > allowed {
			violations = append(violations, Violation{
				Rule: Budget, Sentence: Attempts, At: request.began[len(request.began)-1].At,
				Detail:  fmt.Sprintf("%d upstreams, %d allowed", len(upstreams), allowed),
				Records: slices.Concat([]Record{request.sent}, request.began),
			})
		}
	}
	if len(violations) <= toleratedAttempts {
		return nil
	}
	return violations
}

// lost reports whether an upstream crashed or was disrupted between two times.
func (play *play) lost(upstream string, from, to int64) bool {
	crashed := func(crash Record) bool { return crash.Process == upstream && crash.At >= from && crash.At <= to }
	return slices.ContainsFunc(play.crashes, crashed) || play.disruptions.disturbed(upstream, from, to)
}

// timeLeft returns the arrivals of safe and unsafe requests with more time than is left, if
// there are more than 20 and more than a fifth of these and of all late repeats. Arrivals
// from a VM that is not in touch, and those at an upstream that was disrupted in the contact
// time before, do not count. A request that waits in the queue of the kernel of an undisturbed
// upstream is not excused: the record has the time at which it is read.
func (play *play) timeLeft() []Violation {
	var violations []Violation
	counted := 0
	for _, request := range play.ordered {
		if !request.known || request.sent.Kind != Safe && request.sent.Kind != Unsafe {
			continue
		}
		for i, arrival := range request.arrived {
			if !play.inTouch(request, arrival.At) || play.disruptions.disturbed(arrival.Process, arrival.At-play.figures.Contact.Microseconds(), arrival.At) {
				continue
			}
			reason := request.excess(arrival)
			if reason != "" || i > 0 && request.isLateRepeat(arrival) {
				counted++
			}
			if reason != "" {
				violations = append(violations, Violation{
					Rule: Budget, Sentence: TimeLeft, At: arrival.At, Detail: reason,
					Records: []Record{request.sent, request.arrived[0], arrival},
				})
			}
		}
	}
	if len(violations) <= toleratedDeadlines || toleratedDeadlineShare*len(violations) <= counted {
		return nil
	}
	return violations
}

// isLateRepeat reports whether an arrival comes over 0.5 s after the first one.
func (request *request) isLateRepeat(arrival Record) bool {
	return arrival.At-request.arrived[0].At > deadlineSlack.Microseconds()
}

// excess states why an arrival has more time than is left, or returns "". The first arrival
// and the caller set no bound if they name no deadline.
func (request *request) excess(arrival Record) string {
	slack := deadlineSlack.Milliseconds()
	caller := request.sent.DeadlineMillis
	switch {
	case arrival.DeadlineMillis == 0:
		return "no deadline"
	case caller > 0 && arrival.DeadlineMillis > caller+slack:
		return fmt.Sprintf("%d ms, the caller's %d ms", arrival.DeadlineMillis, caller)
	case !request.isLateRepeat(arrival):
		return ""
	}
	last := max(request.sent.expiry(), request.arrived[0].expiry())
	if late := arrival.expiry() - last; last > 0 && late > deadlineSlack.Microseconds() {
		return fmt.Sprintf("a repeat that ends %d ms later than the first and the caller's deadline", late/1000)
	}
	return ""
}

// expiry is the time at which the deadline of a record ends, or 0 if it names none.
func (record Record) expiry() int64 {
	if record.DeadlineMillis == 0 {
		return 0
	}
	return record.At + record.DeadlineMillis*time.Millisecond.Microseconds()
}

// crashing returns the arrivals of crashing content that come too late. The content of a
// request is its Content or else its Task, so that all attempts of a caller for one piece
// of work count together. Parts of prompts are the content of all requests that have them.
func (play *play) crashing() []Violation {
	content := func(record Record) string {
		switch {
		case !record.Crashing || record.Part != "":
			return ""
		case record.Content != "":
			return "content " + record.Content
		case record.Task != "":
			return "task " + record.Task
		}
		return "request " + string(record.Request)
	}
	part := func(record Record) string { return record.Part }
	return append(play.lateCrashing(CrashingContent, crashesOfContent, content), play.lateCrashing(CrashingPart, crashesOfPart, part)...)
}

// lateCrashing returns the arrivals with one content, named by key, later than the contact
// time after its crashes, if there are more than three for that content. Arrivals from VMs
// that are not in touch do not count. That an upstream was started anew excuses nothing.
func (play *play) lateCrashing(sentence Sentence, crashes int, key func(Record) string) []Violation {
	// of takes the fields that only the caller's record has from there.
	of := func(record Record) string {
		if request := play.requests[record.Request]; request != nil && request.known {
			return key(request.sent)
		}
		return key(record)
	}
	counts := make(map[string]int)
	last := make(map[string]int64)
	for _, crash := range play.crashes {
		name := of(crash)
		if counts[name]++; name != "" && counts[name] == crashes {
			last[name] = crash.At
		}
	}
	late := make(map[string][]Record)
	for _, arrival := range play.arrivals {
		name := of(arrival)
		at, convicted := last[name]
		if convicted && arrival.At > at+play.figures.Contact.Microseconds() && play.inTouch(play.requests[arrival.Request], arrival.At) {
			late[name] = append(late[name], arrival)
		}
	}
	var violations []Violation
	for _, name := range slices.Sorted(maps.Keys(late)) {
		arrivals := late[name]
		if len(arrivals) <= toleratedCrashing {
			continue
		}
		for _, arrival := range arrivals {
			violations = append(violations, Violation{Rule: Budget, Sentence: sentence, At: arrival.At, Detail: name, Records: []Record{arrival}})
		}
	}
	return violations
}
