package control

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

const (
	// maxOriginWait bounds the time for which a question about an origin waits.
	maxOriginWait = time.Second
	// maxOriginWaiters bounds the questions that wait. Further ones are answered at once.
	maxOriginWaiters = 4096
	// originFiles is the number of audit files from which the origins are read after a start.
	// The newest file alone may have just been begun.
	originFiles = 2
)

// originField is part of each audit record that states the origin of a stream.
var originField = []byte(`"Software":`)

// origins knows which software versions began the streams of all entry VMs, from the audit
// records that reach this VM. The zero value knows none.
type origins struct {
	// lock has position 3 in the lock order. It guards the fields below.
	lock  sync.Mutex
	table origin.Table
	// waiting holds a channel for each question that waits, which is closed once the origin is
	// known, by request.
	waiting map[core.RequestID][]chan struct{}
	waiters int
	// restored is set once the records on the disk of this VM are in the table.
	restored bool
}

// statesOrigin reports whether an audit record may state the origin of a stream.
func statesOrigin(payload audit.Payload) bool { return bytes.Contains(payload, originField) }

// addBatch adds the origins in a batch of audit records.
func (origins *origins) addBatch(now time.Duration, batch *wire.Audit) {
	for _, message := range batch.GetEntries() {
		if !statesOrigin(message.GetRecord()) {
			continue
		}
		if record, err := audit.Decode(message.GetRecord()); err == nil {
			origins.add(now, record)
		}
	}
}

// add adds the origin that an audit record states, if it states one.
func (origins *origins) add(now time.Duration, record audit.Record) {
	if record.Event != audit.EventStart || record.Software == "" {
		return
	}
	_, number, _ := strings.Cut(string(record.Attempt), "/")
	send, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	from := origin.Origin{Service: record.Service, Software: record.Software, Send: send}
	if from.Software == audit.UnknownSoftware {
		from.Software = ""
	}
	origins.adopt(now, record.Request, from)
}

// adopt adds the origin of a stream and answers the questions that wait for it.
func (origins *origins) adopt(now time.Duration, request core.RequestID, from origin.Origin) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	origins.table.Add(now, request, from)
	for _, known := range origins.waiting[request] {
		close(known)
	}
	delete(origins.waiting, request)
}

// recent returns the streams that became known lately, and false if they are too many for an answer.
func (origins *origins) recent(now time.Duration) ([]origin.Stream, bool) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	return origins.table.Recent(now, maxFetchedStreams)
}

// find returns the origin of a stream. If it is not known, find returns a channel that is
// closed once it is, or nil if too many questions wait. The caller must call stopWaiting with
// the channel.
func (origins *origins) find(now time.Duration, request core.RequestID) (origin.Origin, bool, chan struct{}) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	if from, ok := origins.table.Find(now, request); ok {
		return from, true, nil
	}
	if origins.waiters >= maxOriginWaiters {
		return origin.Origin{}, false, nil
	}
	if origins.waiting == nil {
		origins.waiting = make(map[core.RequestID][]chan struct{})
	}
	known := make(chan struct{})
	origins.waiting[request] = append(origins.waiting[request], known)
	origins.waiters++
	return origin.Origin{}, false, known
}

// stopWaiting removes a question that find has added.
func (origins *origins) stopWaiting(request core.RequestID, known chan struct{}) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	origins.waiters--
	left := origins.waiting[request]
	for i, other := range left {
		if other == known {
			left = append(left[:i:i], left[i+1:]...)
			break
		}
	}
	if len(left) == 0 {
		delete(origins.waiting, request)
		return
	}
	origins.waiting[request] = left
}

// await returns the origin of a stream once it is known, and found is not set if it is not known
// within the time wait. waited reports whether it was not known at once.
func (origins *origins) await(ctx context.Context, request core.RequestID, wait time.Duration) (from origin.Origin, found, waited bool) {
	from, found, known := origins.find(clock.Now(), request)
	if found || known == nil {
		return from, found, false
	}
	defer origins.stopWaiting(request, known)
	timer := time.NewTimer(min(wait, maxOriginWait))
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
	origins.lock.Lock()
	defer origins.lock.Unlock()
	from, found = origins.table.Find(clock.Now(), request)
	return from, found, true
}

// answerOriginQuery answers the question of an entry VM about the origin of a stream.
func (control *Control) answerOriginQuery(ctx context.Context, query *wire.OriginQuery) *wire.OriginResult {
	wait := time.Duration(min(query.GetWaitMillis(), uint64(maxOriginWait.Milliseconds()))) * time.Millisecond
	var from origin.Origin
	var found, waited bool
	if query.GetRequest() != "" {
		from, found, waited = control.origins.await(ctx, core.RequestID(query.GetRequest()), wait)
	}
	originCounts.Inc(strconv.FormatBool(found), strconv.FormatBool(waited))
	view := control.view()
	complete := control.hasAllOrigins() && (view.Number > 0 || control.options.Host == nil)
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	return peer.OriginMessage(origin.Answer{
		Found: found, Origin: from, Sole: control.versions.Sole(now, core.ServiceID(query.GetService())),
		Complete: complete, View: view,
	})
}

// isRestored reports whether the records on the disk of this VM are in the table.
func (origins *origins) isRestored() bool {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	return origins.restored
}

// restore adds the origins in the newest audit files of a folder, so that streams can be
// continued after all VMs have restarted. Records that were written longer ago than origins
// are kept do no harm: no caller names their streams.
func (origins *origins) restore(folder string, logger *log.Logger) {
	count := 0
	for record, err := range audit.NewReader(folder).Newest(originFiles, statesOrigin) {
		if err != nil {
			logger.Warn("The origins of streams could not be read from the audit log.", "folder", folder, "error", err)
			return
		}
		origins.add(clock.Now(), record)
		count++
	}
	origins.lock.Lock()
	origins.restored = true
	origins.lock.Unlock()
	logger.Info("The origins of streams were read from the audit log.", "records", count)
}
