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
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// servedPages counts the pages of one number of the route table that this VM has sent. The zero
// value counts none.
type servedPages struct {
	lock     sync.Mutex // leaf lock: no other lock is taken while it is held
	number   core.ConfigNumber
	pages    int
	bytes    int
	encoding time.Duration
}

// add counts a page. With the first page of another number, it returns the counts of the one
// before and true.
func (served *servedPages) add(number core.ConfigNumber, size int, encoding time.Duration) (before pageCounts, ended bool) {
	served.lock.Lock()
	defer served.lock.Unlock()
	if number != served.number {
		before, ended = pageCounts{served.number, served.pages, served.bytes, served.encoding}, served.pages > 0
		served.number, served.pages, served.bytes, served.encoding = number, 0, 0, 0
	}
	served.pages++
	served.bytes += size
	served.encoding += encoding
	return before, ended
}

// pageCounts are the pages of one number, their bytes and the time of their encoding.
type pageCounts struct {
	number   core.ConfigNumber
	pages    int
	bytes    int
	encoding time.Duration
}

// countPage counts a page of the route table, and logs the counts of the number before with the
// first page of another one.
func (control *Control) countPage(number core.ConfigNumber, size int, encoding time.Duration) {
	routePages.Inc()
	routePageBytes.Add(size)
	routePageSeconds.Add(encoding.Seconds())
	if before, ended := control.served.add(number, size, encoding); ended {
		control.options.Logger.Info("The pages of a route table were sent.", "number", before.number, "pages", before.pages, "bytes", before.bytes, "encoding_millis", before.encoding.Milliseconds())
	}
}

// routesPage returns the route table of the local replica, as the operator's document or
// encoded as JSON, with all revisions. It returns an error if the VM that fetches the table has
// not stated that it can apply it.
func (control *Control) routesPage(replica *host.Replica, fetch *wire.RoutesFetch) (*wire.RoutesPage, error) {
	var routes core.RouteTable
	page := &wire.RoutesPage{}
	replica.View(func(state *ledger.State) {
		var original []byte
		routes, original = state.Routes()
		if fetch.GetDocument() {
			page.Document = original
		}
		page.Revisions = peer.RevisionMessages(state.RevisionsSince(0))
	})
	page.Number = uint64(routes.Number)
	if fetch.GetDocument() {
		return page, nil
	}
	if lacks := routes.Unsupported(peer.FeaturesFromMessage(fetch.GetFeatures())); len(lacks) > 0 {
		return nil, errors.Errorf("the VM has not stated that it can apply %s", lacks[0])
	}
	begun := clock.Now()
	table, err := json.Marshal(routes)
	if err != nil {
		return nil, errors.Wrap(err, "encode routes")
	}
	page.Table = table
	control.countPage(routes.Number, len(table), clock.Now()-begun)
	return page, nil
}
