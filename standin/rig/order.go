package rig

import (
	"fmt"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// toleratedJoinedVersions is the number of streams that may have pieces of two software
// versions.
const toleratedJoinedVersions = 2

// chain is a stream as a caller gets it over all attempts.
type chain struct {
	of       int
	versions map[core.SoftwareVersion]bool
	records  []Record // the first record of each version
	at       int64    // the time of the second version
	// writers holds the run that wrote the last piece with a number.
	writers map[int]string
}

// order returns the violations of ORDER. No disruption excuses any of them. Upstreams must
// write the record of a run before the first byte of its response: a piece of an unknown run
// counts as joined.
func (play *play) order() []Violation {
	chains := make(map[core.RequestID]*chain)
	var sequence []*chain
	var violations []Violation
	tasks := make(map[string]core.RequestID)
	for _, request := range play.ordered {
		if !request.known || request.sent.Kind != Stream && request.sent.Kind != Resumable {
			continue
		}
		origin := request.sent.origin(tasks)
		if chains[origin] == nil {
			chains[origin] = &chain{versions: make(map[core.SoftwareVersion]bool), writers: make(map[int]string)}
			sequence = append(sequence, chains[origin])
		}
		violations = append(violations, play.pieces(request, chains[origin])...)
	}
	var joined []Violation
	for _, chain := range sequence {
		if len(chain.versions) > 1 {
			joined = append(joined, Violation{Rule: Order, Sentence: JoinedVersions, At: chain.at, Records: chain.records})
		}
	}
	if len(joined) > toleratedJoinedVersions {
		violations = append(violations, joined...)
	}
	return violations
}

// origin returns the attempt that began the stream which an attempt takes up: Origin or, if
// the caller names none, the last attempt of the task for a new stream.
func (record Record) origin(tasks map[string]core.RequestID) core.RequestID {
	if record.Origin != "" {
		return record.Origin
	}
	if begun, ok := tasks[record.Task]; ok && record.LastEvent > 0 && record.Task != "" {
		return begun
	}
	tasks[record.Task] = record.Request
	return record.Request
}

// pieces returns the violations within one answer. The numbers of its pieces must follow
// LastEvent one by one. The run that writes them may change only to one that was asked to go
// on after the piece before. The run may also go on from one attempt of the caller to the next.
func (play *play) pieces(request *request, chain *chain) []Violation {
	var violations []Violation
	add := func(sentence Sentence, record Record, detail string, others ...Record) {
		violations = append(violations, Violation{Rule: Order, Sentence: sentence, At: record.At, Detail: detail, Records: append(others, record)})
	}
	last := request.sent.LastEvent
	previous := request.sent
	for _, piece := range request.received {
		chain.of = max(chain.of, piece.Of)
		switch {
		case piece.Number > last+1:
			add(Missing, piece, fmt.Sprintf("%d follows %d", piece.Number, last), previous)
		case piece.Number <= last:
			add(Repeated, piece, fmt.Sprintf("%d follows %d", piece.Number, last), previous)
		case !play.continues(request.sent.Kind, piece, chain.writers[last]):
			add(JoinedRuns, piece, fmt.Sprintf("run %q does not go on after piece %d", piece.Writer, last), previous)
		}
		chain.writers[piece.Number] = piece.Writer
		chain.addVersion(piece)
		last, previous = piece.Number, piece
	}
	if ended := request.ended; ended != nil && ended.Event == Ended && ended.Complete && request.succeeded() {
		of := max(chain.of, ended.Of)
		for _, run := range request.began {
			of = max(of, run.Of)
		}
		if last < of || last == 0 {
			add(EarlyCompletion, *ended, fmt.Sprintf("%d of %d pieces", last, of), previous)
		}
	}
	return violations
}

// continues reports whether the run that wrote a piece may follow writer, which wrote the
// piece before: it is the same run, or a new one that was asked to go on after that piece, on a
// route that allows it.
func (play *play) continues(kind RouteKind, piece Record, writer string) bool {
	if piece.Writer == writer {
		return true
	}
	run, known := play.runs[piece.Writer]
	return known && run.LastEvent == piece.Number-1 && (kind == Resumable || run.LastEvent == 0)
}

func (chain *chain) addVersion(piece Record) {
	if piece.Version == "" || chain.versions[piece.Version] {
		return
	}
	chain.versions[piece.Version] = true
	chain.records = append(chain.records, piece)
	if len(chain.versions) == 2 {
		chain.at = piece.At
	}
}
