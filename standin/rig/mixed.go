package rig

// mixed returns the violations of MIXED that the records show: answers whose bytes are no
// answer or not the upstream's, and whole answers of success that are complete for the
// protocol and lack a part (Number of Of bytes). An upstream that crashed or was disrupted
// during a request may have broken the answer off itself, which excuses an answer that is
// not complete. A disruption of the entry VM excuses nothing: the caller sees its end as the
// end of the connection, which is no Detail.
func (play *play) mixed() []Violation {
	var violations []Violation
	for _, record := range play.faults {
		request := play.requests[record.Request]
		if !record.Complete && play.brokenOff(request) {
			continue
		}
		violations = append(violations, Violation{Rule: Mixed, Sentence: UnreadableAnswer, At: record.At, Detail: record.Detail, Records: []Record{request.sent, record}})
	}
	for _, request := range play.ordered {
		whole := request.sent.Kind == Safe || request.sent.Kind == Unsafe
		ended := request.ended
		if whole && ended != nil && ended.Complete && request.succeeded() && ended.Number < ended.Of {
			violations = append(violations, Violation{Rule: Mixed, Sentence: IncompleteAnswer, At: ended.At, Records: []Record{request.sent, *ended}})
		}
	}
	return violations
}

// brokenOff reports whether an upstream that ran a request crashed or was disrupted before
// the end of the answer.
func (play *play) brokenOff(request *request) bool {
	for _, run := range request.began {
		if play.lost(run.Process, run.At, max(request.end, run.At)) {
			return true
		}
	}
	return false
}
