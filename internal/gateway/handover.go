package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

const (
	// maxHandovers is the number of VMs to which one request is offered. Most of them decline at
	// once, and are not asked again for a while, if most VMs reach no upstream.
	maxHandovers = 8
	// handoverDialTimeout bounds the time for opening a connection to another VM.
	handoverDialTimeout = 300 * time.Millisecond
	// acceptTimeout bounds the time until another VM says that it has begun with a request. It
	// does so at once, unless it stands still.
	acceptTimeout = 600 * time.Millisecond
	// handoverMargin is subtracted from the time that the caller waits, so that the last answer
	// of the other VM arrives before this one gives up.
	handoverMargin = 20 * time.Millisecond
	// attemptsOfTarget is more than the number of attempts that one VM makes for a request. The
	// numbers of attempts at the next VM begin after it.
	attemptsOfTarget = 100
)

// The headers between two entry VMs.
const (
	// handoverHeader holds what the first VM did with the request: its sends, those that may
	// have run, whether it has counted the request in its retry budget, whether it has taken
	// the next send from that budget, the number of its last attempt, and that of its route
	// table: a VM with an older one must not answer for it.
	handoverHeader = "Handover-Counts"
	// declinedHeader is set in the answer of a VM that has not sent the request to an upstream,
	// since it does not reach any, ends, or has an older route table.
	declinedHeader = "Handover-Declined"
)

// handovers counts the requests that this VM has handed over or taken over, by the result.
var handovers = telemetry.NewCounterFamily("dandelionring_handovers_total", "side", "result")

// handoverTable chooses the VMs to which requests are handed over. The zero value knows none.
type handoverTable struct {
	// conns holds the connections to other entry VMs.
	conns h1.Pool

	// lock has position 3 in the lock order. It guards table.
	lock  sync.Mutex
	table handover.Table
}

// choose returns another VM for a request to a service. finish must be called with it.
func (handovers *handoverTable) choose(zone core.ZoneID, service core.ServiceID, targets []handover.Target, tried []core.VMID) (handover.Target, bool) {
	handovers.lock.Lock()
	defer handovers.lock.Unlock()
	return handovers.table.Choose(clock.Now(), zone, service, targets, tried)
}

func (handovers *handoverTable) finish(vm core.VMID) {
	handovers.lock.Lock()
	defer handovers.lock.Unlock()
	handovers.table.Finish(vm)
}

func (handovers *handoverTable) declined(vm core.VMID, service core.ServiceID) {
	handovers.lock.Lock()
	defer handovers.lock.Unlock()
	handovers.table.Declined(clock.Now(), vm, service)
}

func (handovers *handoverTable) failed(vm core.VMID) {
	handovers.lock.Lock()
	defer handovers.lock.Unlock()
	handovers.table.Failed(clock.Now(), vm)
}

// passing is one request that is handed over to another VM.
type passing struct {
	call   *call
	target handover.Target
	key    h1.Key
	conn   *h1.Conn
	// detach ends the time in which the end of the request closes conn. It returns false if conn
	// was closed.
	detach func() bool
	// inTime is set if the target has the usual time to begin with the request.
	inTime bool
}

// handOver offers the request to other VMs, one after another, and passes the answer on. It
// returns tryAnother if none has taken it or if its result is not known; call.counts says
// whether it may have run.
func (call *call) handOver(ctx context.Context) nextStep {
	gateway := call.gateway
	targets := gateway.options.Table.HandoverTargets()
	var tried []core.VMID
	for range maxHandovers {
		if time.Until(call.deadline) < handoverMargin {
			break
		}
		target, ok := gateway.handovers.choose(gateway.options.Table.Zone(), call.service, targets, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, target.VM)
		// The share of a VM that sends nothing itself is free.
		call.paid = call.paid || call.counts.Sends > 0 && gateway.allowRetry(call.service)
		next := call.handTo(ctx, target)
		if next == finished || call.counts.Runs > 0 && !retry.Allowed(call.route, call.counts) {
			return next
		}
	}
	return tryAnother
}

// handTo offers the request to one VM.
func (call *call) handTo(ctx context.Context, target handover.Target) nextStep {
	defer call.gateway.handovers.finish(target.VM)
	passing := &passing{
		call: call, target: target, key: h1.Key{Upstream: core.UpstreamID(target.VM), Address: target.Address},
		inTime: time.Until(call.deadline) > handoverDialTimeout+acceptTimeout,
	}
	return passing.run(ctx)
}

// run hands the request over to the target.
func (passing *passing) run(ctx context.Context) nextStep {
	call, pool := passing.call, &passing.call.gateway.handovers.conns
	dialling, stopDialling := context.WithTimeout(ctx, handoverDialTimeout)
	defer stopDialling()
	conn, err := pool.Get(dialling, passing.key, 0)
	if err != nil {
		return passing.lost(ctx, "not connected", err)
	}
	passing.conn = conn
	passing.detach = context.AfterFunc(ctx, func() { conn.Close() })
	defer passing.detach()
	counted, paid, software := call.counts, call.paid, call.sentSoftware
	head := passing.head(counted)
	// Until the target says otherwise, it may have sent the request, and used what was paid.
	call.paid = false
	call.counts.Sends++
	call.counts.Runs++
	call.attemptsBefore += attemptsOfTarget
	call.sentSoftware = sentSoftware{sent: true, elsewhere: true}
	if _, err := conn.Send(head, call.body); err != nil {
		pool.Drop(passing.key, conn)
		return passing.lost(ctx, "not written", err)
	}
	response, err := passing.await(ctx) //nolint:bodyclose // read to its end or closed with the connection below
	if err != nil {
		pool.Drop(passing.key, conn)
		return passing.lost(ctx, "no answer", err)
	}
	if response.Header.Get(declinedHeader) != "" {
		call.counts, call.paid, call.attemptsBefore, call.sentSoftware = counted, paid, call.attemptsBefore-attemptsOfTarget, software
		return passing.declined(response)
	}
	return passing.forward(ctx, response)
}

// head returns the request line and the headers for the target.
func (passing *passing) head(counts retry.SendCounts) []byte {
	call := passing.call
	resume := Resumption{LastEvent: call.request.LastEvent, Origin: call.request.Origin}
	if call.events > 0 {
		resume = Resumption{LastEvent: call.position.ID(), Origin: call.request.ID}
	}
	header := call.gateway.options.Dialect.HandoverHeaders(call.incoming.Header, time.Until(call.deadline)-handoverMargin, resume)
	header[handoverHeader] = []string{fmt.Sprint(counts.Sends, counts.Runs, call.counted, call.paid, call.attemptNumber(), uint64(call.tableNumber))}
	call.setHandoverSoftware(header)
	if workspace := call.workspaceID(); workspace != "" {
		header[handoverWorkspaceHeader] = []string{string(workspace)}
	}
	return requestHead(call.incoming, header, len(call.body))
}

// await returns the head of the target's answer. If the target does not begin with the request
// in time, a request that may be repeated is given up there.
func (passing *passing) await(ctx context.Context) (*http.Response, error) {
	err := passing.conn.AwaitResponse(acceptTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		if passing.inTime {
			passing.call.gateway.handovers.failed(passing.target.VM)
		}
		if !retry.Allowed(passing.call.route, passing.call.counts) {
			// The context ends first, and closes the connection.
			err = passing.conn.AwaitResponse(time.Until(passing.call.deadline) + time.Second)
		}
	}
	if err != nil {
		return nil, err
	}
	return passing.conn.ReadResponse(passing.call.incoming.Method)
}

// lost notes that the target was not reached or has not begun to answer. It gets no request for a
// while, unless it had less time than usual.
func (passing *passing) lost(ctx context.Context, event string, err error) nextStep {
	if ctx.Err() == nil && (passing.inTime || !errors.Is(err, os.ErrDeadlineExceeded)) {
		passing.call.gateway.handovers.failed(passing.target.VM)
	}
	return passing.fail(ctx, event, err)
}

// fail notes that there is no complete answer. One that has begun may end early for its upstream.
func (passing *passing) fail(ctx context.Context, event string, err error) nextStep {
	handovers.Inc("from", event)
	if ctx.Err() == nil {
		passing.call.gateway.options.Logger.Info("A handover failed.", "request", passing.call.request.ID, "event", event, "vm", passing.target.VM,
			"millis", time.Since(passing.call.start).Milliseconds(), "error", err)
	}
	return tryAnother
}

// put returns the connection to the pool. It may carry another request while the answer is still
// written to the caller, so the end of this request must not close it any more.
func (passing *passing) put() {
	pool := &passing.call.gateway.handovers.conns
	if !passing.detach() {
		pool.Drop(passing.key, passing.conn)
		return
	}
	pool.Put(passing.key, passing.conn)
}

// declined notes that the target does not reach the upstreams either.
func (passing *passing) declined(response *http.Response) nextStep {
	handovers.Inc("from", "declined")
	gateway := passing.call.gateway
	gateway.handovers.declined(passing.target.VM, passing.call.service)
	if err := h1.Discard(response); err != nil {
		gateway.handovers.conns.Drop(passing.key, passing.conn)
	} else {
		passing.put()
	}
	return tryAnother
}

// forward passes the answer of the target on.
func (passing *passing) forward(ctx context.Context, response *http.Response) nextStep {
	call, pool := passing.call, &passing.call.gateway.handovers.conns
	if call.route.Kind == core.Stream && response.StatusCode == http.StatusOK {
		return passing.stream(ctx, response)
	}
	body, err := h1.ReadStated(response.Body, response.ContentLength, int64(maxAnswerSize), call.memory)
	if err != nil {
		pool.Drop(passing.key, passing.conn)
		return passing.fail(ctx, "broken answer", err)
	}
	passing.put()
	handovers.Inc("from", "answered")
	if call.committed {
		return tryAnother // the answer that has begun cannot become a failure
	}
	(&answer{status: response.StatusCode, header: response.Header, body: body}).write(call.writer)
	return finished
}

// stream passes events on as they arrive. A stream that ends early at the target ends early here.
func (passing *passing) stream(ctx context.Context, response *http.Response) nextStep {
	call, pool := passing.call, &passing.call.gateway.handovers.conns
	if !call.committed {
		call.committed = true
		copyEndToEnd(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	controller := http.NewResponseController(call.writer)
	chunk := make([]byte, readSize)
	for {
		count, err := response.Body.Read(chunk)
		if count > 0 {
			if _, err := call.writer.Write(chunk[:count]); err != nil || controller.Flush() != nil {
				pool.Drop(passing.key, passing.conn)
				panic(http.ErrAbortHandler) // the caller has only a part of the stream
			}
		}
		switch {
		case err == io.EOF && !h1.MayBeCut(response): //nolint:errorlint // readers return io.EOF itself
			passing.put()
			handovers.Inc("from", "answered")
			return finished
		case err != nil:
			pool.Drop(passing.key, passing.conn)
			passing.fail(ctx, "broken stream", err)
			// What was passed on may end within an event, so that nothing may follow it.
			panic(http.ErrAbortHandler)
		}
	}
}

// requestHead returns the request line of a request and the given headers.
func requestHead(incoming *http.Request, header http.Header, bodyLength int) []byte {
	head := make([]byte, 0, 1024+bodyLength)
	head = append(head, incoming.Method...)
	head = append(head, ' ')
	head = append(head, incoming.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, incoming.Host...)
	head = append(head, "\r\n"...)
	for name, values := range header {
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if bodyLength > 0 || incoming.Method == http.MethodPost || incoming.Method == http.MethodPut {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(bodyLength), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}
