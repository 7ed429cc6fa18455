package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Format says how an upstream writes its answers. The zero value writes each event at once
// and ends each answer properly.
type Format struct {
	LineEnd LineEnd
	// Split cuts the bytes of an answer anywhere and writes each part on its own.
	Split bool
	// Batch is the number of events in one write, 1 if it is 0.
	Batch int
	// Comments adds comments between events.
	Comments bool
	// Unframed answers have no length and end with their connection.
	Unframed bool
	// ResetPercent and BreakPercent are the percentages of streams that end in their middle
	// with a reset, which discards what was not received, or by a close inside an event.
	ResetPercent, BreakPercent int
	// HeadMillis is the additional time until the head of an answer.
	HeadMillis int
}

// UpstreamOptions are the options of one upstream process.
type UpstreamOptions struct {
	// Process is the name in the records. It is the same after a restart.
	Process  string
	Upstream core.UpstreamID
	Service  core.ServiceID
	Zone     core.ZoneID
	Software core.SoftwareVersion
	// Listen is the address on which the upstream listens, and Address the one that it
	// announces. If they differ, a relay in the same process forwards from Address to Listen,
	// and takes changes at RelayControl: since it ends with the upstream, an entry VM sees
	// that nothing listens there after a crash.
	Listen, Address, RelayControl string
	// Controls are the addresses of the control VMs.
	Controls []string
	// Model is the model of an engine, empty for a plain service.
	Model         core.ModelID
	Spec          UpstreamSpec
	Format        Format
	BeatMillis    int
	DrainMillis   int
	RecordsFolder string
	Seed          uint64
}

// UpstreamSpec is the size and the speed of the upstreams of a service.
type UpstreamSpec struct {
	Slots, Queue int
	// HeadMillis is the time until the answer or the first event, EventMillis the time
	// between two events.
	HeadMillis, EventMillis int
	MaxAdapters             int
	AdapterMillis           int
	MaxConns                int
}

// content is the body of a request to an upstream.
type content struct {
	Task     string
	Events   int
	Crashing bool
	Stream   bool
}

// upstream is an engine or a plain service.
type upstream struct {
	options  UpstreamOptions
	messages UpstreamMessages
	headers  Headers
	paths    Paths
	recorder *Recorder
	born     time.Time
	// lock guards the fields below; no other lock is acquired while it is held.
	lock     sync.Mutex
	random   *rand.Rand
	runs     int
	running  int
	waiting  []chan struct{}
	adapters map[core.AdapterID]core.Revision
	pending  map[core.AdapterID]core.Revision
	// uses counts the runs of an adapter, and dropped holds those that are dropped after them.
	uses     map[core.AdapterID]int
	dropped  map[core.AdapterID]bool
	accepted uint64
	token    core.FencingToken
	leaving  bool
	// faulty is set while the upstream resets and rejects many requests.
	faulty atomic.Bool
}

// BeginFaulty and EndFaulty are the signals at which an upstream begins and ends to reset or
// reject many requests.
const (
	BeginFaulty = syscall.SIGUSR1
	EndFaulty   = syscall.SIGUSR2
)

// While an upstream is faulty it rejects rejectPercent of the requests, and resets the
// connections of resetPercent instead of an answer.
const (
	rejectPercent = 20
	resetPercent  = 45
)

// watchSignals sets faulty by the signals.
func (upstream *upstream) watchSignals(signals <-chan os.Signal) {
	for received := range signals {
		upstream.faulty.Store(received == BeginFaulty)
	}
}

// exitCrashed is the exit code of an upstream that was ended by a request or an order.
const exitCrashed = 3

// RunUpstream runs an upstream until the context ends and the time for its departure has
// passed.
func RunUpstream(ctx context.Context, options UpstreamOptions, messages UpstreamMessages) error {
	recorder, closeRecords, err := NewRecorder(options.RecordsFolder + "/" + options.Process + ".records")
	if err != nil {
		return errors.Wrap(err, "open the records of the upstream")
	}
	defer func() { _ = closeRecords() }()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, BeginFaulty, EndFaulty)
	defer close(signals)
	defer signal.Stop(signals)
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for requests")
	}
	defer listener.Close()
	upstream := &upstream{
		options: options, messages: messages, headers: messages.Headers(), paths: messages.Paths(), recorder: recorder, born: time.Now(),
		random:   rand.New(rand.NewPCG(options.Seed, uint64(time.Now().UnixNano()))),
		adapters: make(map[core.AdapterID]core.Revision), pending: make(map[core.AdapterID]core.Revision),
		uses: make(map[core.AdapterID]int), dropped: make(map[core.AdapterID]bool),
	}
	if options.Address != options.Listen {
		if err := serveRelay(ctx, options); err != nil {
			return errors.Wrap(err, "start the relay")
		}
	}
	go upstream.watchSignals(signals)
	go upstream.accept(listener)
	upstream.announceUntilGone(ctx)
	return nil
}

func (upstream *upstream) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go upstream.serve(conn)
	}
}

// serve answers the requests of a connection, one at a time.
func (upstream *upstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		ctx, release := watchClose(conn, reader)
		kept := upstream.handle(ctx, conn, request, body)
		release()
		if !kept {
			return
		}
	}
}

// watchClose returns a context that ends when the other side closes the connection or sends
// its next request. The release function stops the watch.
func watchClose(conn net.Conn, reader *bufio.Reader) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	return ctx, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
		cancel()
	}
}

// handle answers one request and reports whether the connection may be used again.
func (upstream *upstream) handle(ctx context.Context, conn net.Conn, request *http.Request, body []byte) bool {
	answer := &answer{conn: conn, upstream: upstream, request: core.RequestID(request.Header.Get(upstream.headers.Request))}
	target := request.Header.Get(upstream.headers.Target)
	misdirected := target != "" && target != string(upstream.options.Upstream)
	switch request.URL.Path {
	case upstream.paths.Report:
		if misdirected {
			return answer.reject(http.StatusMisdirectedRequest)
		}
		report, err := upstream.messages.Report(upstream.state())
		if err != nil {
			return false
		}
		return answer.whole(http.StatusOK, report, false)
	case upstream.paths.Order:
		if misdirected {
			return answer.reject(http.StatusMisdirectedRequest)
		}
		return answer.whole(upstream.order(body), nil, false)
	case "/health":
		return answer.whole(http.StatusOK, nil, false)
	}
	return upstream.serveCaller(ctx, answer, request, body, misdirected)
}

// serveCaller runs the request of a caller or rejects it.
func (upstream *upstream) serveCaller(ctx context.Context, answer *answer, request *http.Request, body []byte, misdirected bool) bool {
	content, err := parseContent(body)
	if err != nil {
		return answer.reject(http.StatusBadRequest)
	}
	deadline, _ := strconv.ParseInt(request.Header.Get(upstream.headers.Deadline), 10, 64)
	last, _ := strconv.Atoi(request.Header.Get(upstream.headers.LastEvent))
	record := Record{
		Process: upstream.options.Process, Request: answer.request, Task: content.Task, Service: upstream.options.Service, Software: upstream.options.Software,
		DeadlineMillis: deadline, LastEvent: last, Crashing: content.Crashing,
	}
	write := func(event Event, status int) {
		record.Event, record.Status, record.At = event, status, 0
		upstream.recorder.Write(record)
	}
	write(Arrived, 0)
	_, name, _ := strings.Cut(request.Header.Get(upstream.headers.Model), "/")
	adapter := core.AdapterID(name)
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
		defer cancel()
	}
	status := http.StatusMisdirectedRequest
	faulty := upstream.faulty.Load()
	switch {
	case misdirected:
	case faulty && upstream.percent(rejectPercent):
		status = http.StatusServiceUnavailable
	default:
		status = upstream.admit(ctx, adapter)
	}
	if status != 0 {
		write(Rejected, status)
		return answer.reject(status)
	}
	defer upstream.leave(adapter)
	record.Run = upstream.nextRun()
	write(Began, 0)
	if faulty && upstream.percent(resetPercent) {
		answer.linger(0)
		return false
	}
	if content.Crashing {
		// Time for the entry VM to see that the request is on its way, as an engine that
		// prefills the prompt takes.
		pause(ctx, time.Duration(upstream.options.Spec.HeadMillis)*time.Millisecond)
		write(Crashed, 0)
		os.Exit(exitCrashed)
	}
	pause(ctx, time.Duration(upstream.options.Spec.HeadMillis+upstream.options.Format.HeadMillis)*time.Millisecond)
	if ctx.Err() != nil {
		return false
	}
	if content.Stream {
		return answer.stream(ctx, record.Run, last, content.Events)
	}
	return answer.whole(http.StatusOK, []byte(fmt.Sprintf(`{"Writer":%q}`, record.Run)), true)
}

// pause waits until the time has passed or the context has ended.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (upstream *upstream) nextRun() string {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	upstream.runs++
	return fmt.Sprintf("%s.%d.%d", upstream.options.Process, upstream.born.UnixMilli(), upstream.runs)
}

// percent reports true with the given probability.
func (upstream *upstream) percent(share int) bool {
	return upstream.number(100) < share
}

// number returns a random number below limit.
func (upstream *upstream) number(limit int) int {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.random.IntN(limit)
}

// admit waits for a slot. It returns 0 if the request runs, or the status with which it is
// rejected.
func (upstream *upstream) admit(ctx context.Context, adapter core.AdapterID) int {
	upstream.lock.Lock()
	if _, held := upstream.adapters[adapter]; adapter != "" && (!held || upstream.dropped[adapter]) {
		upstream.lock.Unlock()
		return http.StatusMisdirectedRequest
	}
	if upstream.running < upstream.options.Spec.Slots {
		upstream.running++
		upstream.uses[adapter]++
		upstream.lock.Unlock()
		return 0
	}
	if len(upstream.waiting) >= upstream.options.Spec.Queue {
		upstream.lock.Unlock()
		return http.StatusServiceUnavailable
	}
	turn := make(chan struct{})
	upstream.waiting = append(upstream.waiting, turn)
	upstream.uses[adapter]++
	upstream.lock.Unlock()
	select {
	case <-turn:
		return 0
	case <-ctx.Done():
		if !upstream.withdraw(turn) {
			<-turn // the slot was given to it meanwhile
			upstream.leave(adapter)
		} else {
			upstream.release(adapter)
		}
		return http.StatusServiceUnavailable
	}
}

// withdraw removes a request from the queue. It returns false if it is no longer there.
func (upstream *upstream) withdraw(turn chan struct{}) bool {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	for i, waiting := range upstream.waiting {
		if waiting == turn {
			upstream.waiting = append(upstream.waiting[:i], upstream.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// leave gives the slot of a request to the next one.
func (upstream *upstream) leave(adapter core.AdapterID) {
	upstream.release(adapter)
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	if len(upstream.waiting) > 0 {
		close(upstream.waiting[0])
		upstream.waiting = upstream.waiting[1:]
		return
	}
	upstream.running--
}

// release drops an adapter whose unload waits for its last run.
func (upstream *upstream) release(adapter core.AdapterID) {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	upstream.uses[adapter]--
	if upstream.uses[adapter] == 0 && upstream.dropped[adapter] {
		delete(upstream.adapters, adapter)
		delete(upstream.dropped, adapter)
	}
}

func (upstream *upstream) state() State {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	state := State{Model: upstream.options.Model, Accepted: upstream.accepted, Queued: len(upstream.waiting), Running: upstream.running}
	for adapter, revision := range upstream.adapters {
		state.Adapters = append(state.Adapters, Adapter{adapter, revision})
	}
	for adapter, revision := range upstream.pending {
		state.Pending = append(state.Pending, Adapter{adapter, revision})
	}
	return state
}

// maxPending is the number of adapters that may be in transit to an engine.
const maxPending = 4

// order carries out an order for an adapter and returns the status of the response. The
// model itself is always held.
func (upstream *upstream) order(body []byte) int {
	order, err := upstream.messages.Order(body)
	if err != nil || order.Holder == "" || order.Model != upstream.options.Model {
		return http.StatusBadRequest
	}
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	if order.Token < upstream.token {
		return http.StatusPreconditionFailed
	}
	upstream.token = order.Token
	_, held := upstream.adapters[order.Adapter]
	_, coming := upstream.pending[order.Adapter]
	switch {
	case order.Adapter == "" && order.Load:
		return http.StatusOK
	case order.Adapter == "":
		return http.StatusConflict
	case order.Load && (held && !upstream.dropped[order.Adapter] || coming), !order.Load && !held && !coming:
		return http.StatusOK
	case order.Expected != nil && *order.Expected != upstream.accepted, coming, order.Load && (len(upstream.pending) >= maxPending || held):
		return http.StatusConflict
	}
	upstream.accepted++
	if !order.Load {
		return upstream.unload(order.Adapter)
	}
	if len(upstream.adapters)+len(upstream.pending) >= upstream.options.Spec.MaxAdapters {
		fmt.Fprintln(os.Stderr, "the order to load", order.Adapter, "exceeds the places for adapters")
		os.Exit(exitCrashed)
	}
	revision := max(order.Revision, 1)
	upstream.pending[order.Adapter] = revision
	time.AfterFunc(time.Duration(upstream.options.Spec.AdapterMillis)*time.Millisecond, func() {
		upstream.lock.Lock()
		defer upstream.lock.Unlock()
		delete(upstream.pending, order.Adapter)
		upstream.adapters[order.Adapter] = revision
	})
	return http.StatusAccepted
}

// unload drops an adapter, after its runs if there are any. The caller holds the lock.
func (upstream *upstream) unload(adapter core.AdapterID) int {
	if upstream.uses[adapter] > 0 {
		upstream.dropped[adapter] = true
		return http.StatusAccepted
	}
	delete(upstream.adapters, adapter)
	return http.StatusOK
}
