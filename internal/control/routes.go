package control

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// maxPushedBytes is the largest change of the route table that is sent with an event. Each entry
// VM gets it from all control VMs, so a larger one is left to be fetched from one of them.
const maxPushedBytes = 16 << 10

// routePages holds the encoded forms of the newest route table, each of which is encoded once for
// all VMs that need it. The zero value is empty.
type routePages struct {
	// lock has position 4 in the lock order.
	lock   sync.Mutex
	number core.ConfigNumber
	// table is the JSON of the table, and compressed the same, compressed.
	table, compressed []byte
	// changes holds what changed since the numbers that VMs hold, nil if that is not retained.
	changes map[core.ConfigNumber]*wire.RouteChange
}

// routeForm is the form in which a route table is sent to a VM.
type routeForm string

const (
	wholeForm      routeForm = "whole"
	compressedForm routeForm = "compressed"
	changeForm     routeForm = "change"
	pushedForm     routeForm = "pushed"
)

// load drops the forms of an older table than that of the state, and returns the latter. The caller
// holds the lock.
func (pages *routePages) load(state *ledger.State) core.RouteTable {
	routes, _ := state.Routes()
	if routes.Number != pages.number {
		pages.number, pages.table, pages.compressed = routes.Number, nil, nil
		pages.changes = make(map[core.ConfigNumber]*wire.RouteChange)
	}
	return routes
}

// change returns what changed since a number, nil if that is not retained. It returns the time that
// the encoding took, zero if it was encoded before.
func (pages *routePages) change(replica *host.Replica, since core.ConfigNumber) (*wire.RouteChange, time.Duration, error) {
	pages.lock.Lock()
	defer pages.lock.Unlock()
	begun := clock.Now()
	var message *wire.RouteChange
	var change routediff.Change
	var encoded, retained bool
	replica.View(func(state *ledger.State) {
		pages.load(state)
		if message, encoded = pages.changes[since]; !encoded {
			change, retained = state.RouteChange(since)
		}
	})
	if encoded {
		return message, 0, nil
	}
	if retained {
		var err error
		if message, err = peer.RouteChangeMessage(change); err != nil {
			return nil, 0, err
		}
	}
	pages.changes[since] = message
	return message, clock.Now() - begun, nil
}

// whole returns the JSON of the newest table, compressed if that is asked for, and its number. It
// returns the time that the encoding took, zero if it was encoded before.
func (pages *routePages) whole(replica *host.Replica, compressed bool) ([]byte, core.ConfigNumber, time.Duration, error) {
	pages.lock.Lock()
	defer pages.lock.Unlock()
	begun := clock.Now()
	var routes core.RouteTable
	replica.View(func(state *ledger.State) { routes = pages.load(state) })
	if compressed && pages.compressed != nil {
		return pages.compressed, pages.number, 0, nil
	}
	if !compressed && pages.table != nil {
		return pages.table, pages.number, 0, nil
	}
	data, err := json.Marshal(routes)
	if err != nil {
		return nil, 0, 0, errors.Wrap(err, "encode routes")
	}
	if !compressed {
		pages.table = data
		return data, pages.number, clock.Now() - begun, nil
	}
	if pages.compressed, err = peer.Compress(data); err != nil {
		return nil, 0, 0, err
	}
	return pages.compressed, pages.number, clock.Now() - begun, nil
}

// routesPage returns the route table of the local replica: the operator's document, what changed
// since the number that the VM holds, or the whole table. It returns an error if the VM that fetches
// the table has not stated that it can apply it.
func (control *Control) routesPage(replica *host.Replica, fetch *wire.RoutesFetch) (*wire.RoutesPage, error) {
	held := core.ConfigNumber(fetch.GetHeldNumber())
	page := &wire.RoutesPage{}
	var routes core.RouteTable
	var document []byte
	replica.View(func(state *ledger.State) {
		routes, document = state.Routes()
		page.Applied = state.Applied()
		if held == 0 {
			page.Revisions = peer.RevisionMessages(state.RevisionsSince(0))
		}
	})
	page.Number = uint64(routes.Number)
	if fetch.GetDocument() {
		page.Document = document
		return page, nil
	}
	if lacks := routes.Unsupported(peer.FeaturesFromMessage(fetch.GetFeatures())); len(lacks) > 0 {
		return nil, errors.Errorf("the VM has not stated that it can apply %s", lacks[0])
	}
	if held >= routes.Number {
		return page, nil
	}
	if held > 0 && fetch.GetCompressed() {
		change, encoding, err := control.pages.change(replica, held)
		if err != nil {
			return nil, err
		}
		if change != nil {
			page.Number, page.Change = change.GetTo(), change
			control.countPage(core.ConfigNumber(change.GetTo()), changeForm, len(change.GetChange()), encoding)
			return page, nil
		}
	}
	data, number, encoding, err := control.pages.whole(replica, fetch.GetCompressed())
	if err != nil {
		return nil, err
	}
	page.Number = uint64(number)
	if fetch.GetCompressed() {
		page.CompressedTable = data
		control.countPage(number, compressedForm, len(data), encoding)
	} else {
		page.Table = data
		control.countPage(number, wholeForm, len(data), encoding)
	}
	return page, nil
}

// addRoutes adds the number of the newest route table to an event, and what changed since the
// number that the subscriber was sent last if that is small.
func (control *Control) addRoutes(event *wire.WatchEvent, subscriber *subscriber, replica *host.Replica) {
	var routes core.RouteTable
	replica.View(func(state *ledger.State) { routes, _ = state.Routes() })
	event.RoutesNumber = uint64(routes.Number)
	if subscriber.routeChanges && subscriber.routesNumber > 0 && routes.Number > subscriber.routesNumber && len(routes.Unsupported(subscriber.features)) == 0 {
		change, encoding, err := control.pages.change(replica, subscriber.routesNumber)
		if err == nil && change != nil && len(change.GetChange()) <= maxPushedBytes {
			event.RoutesNumber, event.RouteChange = change.GetTo(), change
			control.countPage(core.ConfigNumber(change.GetTo()), pushedForm, len(change.GetChange()), encoding)
		}
	}
	subscriber.routesNumber = core.ConfigNumber(event.GetRoutesNumber())
}

// servedPages counts the pages of one number of the route table that this VM has sent. The zero
// value counts none.
type servedPages struct {
	lock   sync.Mutex // leaf lock: no other lock is taken while it is held
	number core.ConfigNumber
	pages  int
	bytes  int
	// encodings counts the pages that were encoded anew.
	encodings int
	encoding  time.Duration
}

// add counts a page. With the first page of another number, it returns the counts of the one
// before and true.
func (served *servedPages) add(number core.ConfigNumber, size int, encoding time.Duration) (before servedCounts, ended bool) {
	served.lock.Lock()
	defer served.lock.Unlock()
	if number != served.number {
		before, ended = served.current(), served.pages > 0
		served.number, served.pages, served.bytes, served.encodings, served.encoding = number, 0, 0, 0, 0
	}
	if encoding > 0 {
		served.encodings++
	}
	served.pages++
	served.bytes += size
	served.encoding += encoding
	return before, ended
}

// counts returns the counts of the last number.
func (served *servedPages) counts() servedCounts {
	served.lock.Lock()
	defer served.lock.Unlock()
	return served.current()
}

// current is counts for a caller that holds the lock.
func (served *servedPages) current() servedCounts {
	return servedCounts{served.number, served.pages, served.bytes, served.encodings, served.encoding}
}

// servedCounts are the pages of one number, their bytes and the time of their encoding.
type servedCounts struct {
	number    core.ConfigNumber
	pages     int
	bytes     int
	encodings int
	encoding  time.Duration
}

// countPage counts a page of the route table, and logs the counts of the number before with the
// first page of another one.
func (control *Control) countPage(number core.ConfigNumber, form routeForm, size int, encoding time.Duration) {
	kind := "shared"
	if encoding > 0 {
		kind = "new"
	}
	pageCounts.Inc(string(form), kind)
	pageBytes.Add(string(form), kind, size)
	pageSeconds.Add(encoding.Seconds())
	if before, ended := control.served.add(number, size, encoding); ended {
		control.options.Logger.Info("The pages of a route table were sent.", "number", before.number, "pages", before.pages, "bytes", before.bytes, "encodings", before.encodings, "encoding_millis", before.encoding.Milliseconds())
	}
}
