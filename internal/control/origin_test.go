package control

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// startRecord returns the audit record of a send of a stream.
func startRecord(request string, send int, software core.SoftwareVersion) audit.Record {
	return audit.Record{
		VM: "e1", Incarnation: "i1", Event: audit.EventStart, Request: core.RequestID(request), Attempt: core.AttemptID(fmt.Sprintf("%s/%d", request, send)),
		Service: "s", Upstream: "u1", Software: software,
	}
}

func encodeRecord(t *testing.T, record audit.Record) audit.Payload {
	t.Helper()
	payload, err := audit.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// TestOriginsFromRecords guards against an origin that a batch of audit records states and that
// is not found, or found for records that state none: ends, sends without a version, and
// content that is no record; and against an earlier send that is taken for the origin although
// a later one, to an upstream whose version is not known, may have brought the events.
func TestOriginsFromRecords(t *testing.T) {
	is := is.New(t)
	end := startRecord("r3", 1, "v1")
	end.Event = audit.EventEnd
	unnumbered := startRecord("r5", 1, "v1")
	unnumbered.Attempt = "r5"
	batch := &wire.Audit{}
	for _, payload := range []audit.Payload{
		encodeRecord(t, startRecord("r1", 2, "v2")), encodeRecord(t, startRecord("r1", 1, "v1")), encodeRecord(t, startRecord("r2", 1, "")),
		encodeRecord(t, startRecord("r6", 1, "v1")), encodeRecord(t, startRecord("r6", 2, audit.UnknownSoftware)), encodeRecord(t, end), encodeRecord(t, unnumbered), audit.Payload(`{"Software":7}`), audit.Payload(`{"Software":`),
	} {
		batch.Entries = append(batch.Entries, &wire.AuditEntry{Record: payload})
	}
	var known origins
	known.addBatch(clock.Now(), batch)
	from, found, waited := known.await(t.Context(), "r1", 0)
	is.True(found)
	is.True(!waited)
	is.Equal(from, origin.Origin{Service: "s", Software: "v2", Send: 2})
	from, found, _ = known.await(t.Context(), "r6", 0)
	is.True(found)
	is.Equal(from, origin.Origin{Service: "s", Send: 2}) // its last send may have brought events
	for _, request := range []core.RequestID{"r2", "r3", "r5", "unknown"} {
		_, found, _ := known.await(t.Context(), request, 0)
		is.True(!found)
	}
	is.Equal(known.waiters, 0)
	is.Equal(len(known.waiting), 0)
}

// TestOriginIsAwaited guards against a caller that takes a stream up before the record of its
// beginning has arrived, and is refused although the record is on its way.
func TestOriginIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var known origins
		started := time.Now()
		go func() {
			<-time.After(100 * time.Millisecond)
			known.add(clock.Now(), startRecord("r1", 1, "v1"))
		}()
		from, found, waited := known.await(t.Context(), "r1", 400*time.Millisecond)
		is.True(found)
		is.True(waited)
		is.Equal(from.Software, core.SoftwareVersion("v1"))
		is.Equal(time.Since(started), 100*time.Millisecond)

		started = time.Now()
		_, found, _ = known.await(t.Context(), "r2", 400*time.Millisecond)
		is.True(!found)
		is.Equal(time.Since(started), 400*time.Millisecond)

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		started = time.Now()
		_, found, _ = known.await(ctx, "r2", 400*time.Millisecond)
		is.True(!found)
		is.Equal(time.Since(started), 50*time.Millisecond)
		is.Equal(known.waiters, 0)
		is.Equal(len(known.waiting), 0)
	})
}

// TestOriginWaitersAreBounded guards against a flood of requests that name streams which never
// began: those over the bound are answered at once, and a known origin is still found.
func TestOriginWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var known origins
		known.add(clock.Now(), startRecord("r1", 1, "v1"))
		for i := range maxOriginWaiters {
			go known.await(t.Context(), core.RequestID(fmt.Sprint("flood-", i%7)), maxOriginWait)
		}
		synctest.Wait()
		started := time.Now()
		_, found, _ := known.await(t.Context(), "another", maxOriginWait)
		is.True(!found)
		_, found, _ = known.await(t.Context(), "r1", maxOriginWait)
		is.True(found)
		is.Equal(time.Since(started), time.Duration(0))
		<-time.After(2 * maxOriginWait)
		synctest.Wait()
		is.Equal(known.waiters, 0)
		is.Equal(len(known.waiting), 0)
	})
}

// TestOriginsOutliveControlVM guards against a stream that began before a control VM restarted
// and is refused afterwards, although the audit log on its disk states its origin.
func TestOriginsOutliveControlVM(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "audit")
	writer, closeWriter, err := audit.Open(folder, audit.Options{VM: "c1", RotateBytes: 1})
	is.NoErr(err)
	// A new file is begun after each block, so the newest file has no record.
	for _, request := range []string{"r1", "r2"} {
		is.NoErr(writer.Append(t.Context(), encodeRecord(t, startRecord(request, 1, "v1")), encodeRecord(t, startRecord("none-"+request, 1, ""))))
	}
	closeWriter()
	var known origins
	known.restore(folder, log.New(io.Discard))
	from, found, _ := known.await(t.Context(), "r2", 0)
	is.True(found)
	is.Equal(from, origin.Origin{Service: "s", Software: "v1", Send: 1})
	is.Equal(known.table.Len(), originFiles-1) // older files are not read
	var none origins
	none.restore(filepath.Join(folder, "missing"), log.New(io.Discard))
	is.Equal(none.table.Len(), 0)
}

// TestSoleVersion guards against a stream of unknown origin that is continued at the only version
// in service although another one served a moment ago, or at all on a control VM that has not
// listened for long enough, and against one that is refused although one version alone served.
// Package origin tests the times.
func TestSoleVersion(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "upstreams.json")
	start := func(first bool, file string) *Control {
		control := New(Options{VM: "c", Zone: "z", FirstStart: first, RecallFile: file, AnnounceInterval: time.Second, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
		control.beginHistory()
		return control
	}
	sole := func(control *Control) string {
		return control.answerOriginQuery(t.Context(), &wire.OriginQuery{Service: "s"}).GetSole()
	}
	announce := func(control *Control, id core.UpstreamID, software core.SoftwareVersion) {
		is.NoErr(control.Announce(t.Context(), core.Instance{Upstream: id, Born: 1, Sequence: uint64(time.Now().UnixMilli()), Service: "s", Software: software, Address: "10.0.0.1:" + string(id), Zone: "z", Slots: 1}))
	}
	first := start(true, path)
	is.Equal(sole(first), "")
	announce(first, "1", "v1")
	is.Equal(sole(first), "v1")
	announce(first, "2", "v2")
	is.NoErr(first.Deregister(t.Context(), "2"))
	is.Equal(sole(first), "") // it served a moment ago
	first.saveUpstreams()

	again := start(false, path)
	is.Equal(sole(again), "") // the version that left is in the file
	empty := start(false, filepath.Join(t.TempDir(), "missing"))
	announce(empty, "1", "v1")
	is.Equal(sole(empty), "") // it cannot know what served before
}

// TestCompleteOrigins guards against a control VM that counts to the majority which shows the last
// send of a stream although it has lost records, or has not read them yet.
func TestCompleteOrigins(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	start := func(first bool, name string, upstreams bool) *Control {
		file := filepath.Join(folder, name+".json")
		if upstreams {
			is.NoErr(os.WriteFile(file, []byte("[]"), 0o600))
		}
		control := New(Options{VM: "c", Zone: "z", FirstStart: first, RecallFile: file, AnnounceInterval: time.Second, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
		control.beginHistory()
		return control
	}
	complete := func(control *Control) bool {
		return control.answerOriginQuery(t.Context(), &wire.OriginQuery{Service: "s", Request: "r"}).GetComplete()
	}
	records := filepath.Join(folder, "audit")
	_, closeWriter, err := audit.Open(records, audit.Options{VM: "c"})
	is.NoErr(err)
	defer closeWriter()
	for _, test := range []struct {
		first, upstreams, complete bool
	}{
		{first: true, complete: true},
		{upstreams: true, complete: true}, // the disk is that of the last start
		{},                                // the disk is empty
	} {
		control := start(test.first, fmt.Sprint(test), test.upstreams)
		is.True(!complete(control)) // the records are not read yet
		control.origins.restore(records, log.New(io.Discard))
		is.Equal(complete(control), test.complete)
	}
	unreadable := start(true, "unreadable", false)
	is.NoErr(os.WriteFile(filepath.Join(records, "unreadable.audit"), nil, 0o600))
	unreadable.origins.restore(records, log.New(io.Discard))
	is.True(!complete(unreadable))
}
