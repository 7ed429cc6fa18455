package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// balancer tells which entry VMs take new connections, as the platform does: a VM whose
// readiness check failed twice takes none until it succeeds.
type balancer struct {
	entries []entryVM
	path    string
	client  http.Client
	// lock guards missed; no other lock is acquired while it is held.
	lock   sync.Mutex
	missed map[string]int
}

// entryVM is an entry VM as the callers see it.
type entryVM struct {
	name, address, ready string
	zone                 core.ZoneID
}

const (
	// checkInterval and checkTimeout are those of the platform's readiness checks.
	checkInterval = time.Second
	checkTimeout  = time.Second
	// maxMissed is the number of failed checks after which a VM takes no new connections.
	maxMissed = 2
)

// watch checks the entry VMs until the context ends.
func (balancer *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, entry := range balancer.entries {
			go balancer.check(ctx, entry)
		}
		pause(ctx, checkInterval)
	}
}

func (balancer *balancer) check(ctx context.Context, entry entryVM) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.ready+balancer.path, nil)
	if err != nil {
		return
	}
	response, err := balancer.client.Do(request)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	balancer.lock.Lock()
	defer balancer.lock.Unlock()
	balancer.missed[entry.name]++
	if ready {
		balancer.missed[entry.name] = 0
	}
}

// ready returns the number of entry VMs that take new connections.
func (balancer *balancer) ready() int {
	balancer.lock.Lock()
	defer balancer.lock.Unlock()
	count := 0
	for _, entry := range balancer.entries {
		if missed, checked := balancer.missed[entry.name]; checked && missed == 0 {
			count++
		}
	}
	return count
}

// pick returns an entry VM for a new connection from a zone, other than avoided if possible.
func (balancer *balancer) pick(zone core.ZoneID, random int, avoided string) entryVM {
	balancer.lock.Lock()
	defer balancer.lock.Unlock()
	var near, far []entryVM
	size := 0
	for _, entry := range balancer.entries {
		in := balancer.missed[entry.name] < maxMissed
		if entry.zone == zone {
			size++
		}
		switch {
		case in && entry.zone == zone:
			near = append(near, entry)
		case in:
			far = append(far, entry)
		}
	}
	if len(near) > 0 && 2*len(near) < size || len(near)+len(far) == 0 {
		near = nil
		for _, entry := range balancer.entries {
			if entry.zone == zone || len(far) == 0 {
				near = append(near, entry)
			}
		}
	}
	if len(near) == 0 || avoided != "" && len(near) == 1 && near[0].name == avoided && len(far) > 0 {
		near = far
	}
	for i := range near {
		if entry := near[(random+i)%len(near)]; entry.name != avoided {
			return entry
		}
	}
	return near[random%len(near)]
}

// callers sends the requests of all callers.
type callers struct {
	play     *Play
	headers  Headers
	balancer *balancer
	recorder *Recorder
	// ratePercent multiplies the rate of new requests.
	ratePercent atomic.Int64
	changes     *atomic.Int64 // of the configuration in force
	running     sync.WaitGroup
	clients     []*client
	// lock guards the fields below; no other lock is acquired while it is held.
	lock    sync.Mutex
	random  *rand.Rand
	tasks   int
	results map[string]int
}

// client is one caller with its connections.
type client struct {
	zone core.ZoneID
	// keeps is set if the client uses connections for several requests; others open one for
	// each attempt.
	keeps bool
	// lock guards idle; no other lock is acquired while it is held.
	lock sync.Mutex
	idle map[string][]*connection
}

func newCallers(play *Play, headers Headers, balancer *balancer, recorder *Recorder, changes *atomic.Int64, random *rand.Rand) *callers {
	callers := &callers{play: play, headers: headers, balancer: balancer, recorder: recorder, changes: changes, random: random, results: make(map[string]int)}
	callers.ratePercent.Store(100)
	for i := range max(1, play.Callers) {
		callers.clients = append(callers.clients, &client{zone: play.Zones[i%len(play.Zones)].Zone, keeps: i%3 != 2, idle: make(map[string][]*connection)})
	}
	return callers
}

// send sends new requests at the rate of the play until the context ends.
func (callers *callers) send(ctx context.Context) {
	next := time.Now()
	for {
		callers.lock.Lock()
		wait := callers.random.ExpFloat64() / callers.play.Rate * 100 / float64(callers.ratePercent.Load())
		callers.lock.Unlock()
		next = next.Add(time.Duration(wait * float64(time.Second)))
		pause(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		task := callers.newTask()
		callers.running.Go(func() { callers.run(task) })
	}
}

// close waits for the requests in flight and closes the idle connections.
func (callers *callers) close() {
	callers.running.Wait()
	for _, client := range callers.clients {
		client.lock.Lock()
		for _, conns := range client.idle {
			for _, conn := range conns {
				conn.Close()
			}
		}
		client.lock.Unlock()
	}
}

// task is one piece of work of a caller, for which it makes one or more attempts.
type task struct {
	client  *client
	route   *Route
	content content
	model   string
	prefix  string
	random  *rand.Rand
	// crashingContent or crashingPart names what crashes the engines that run the task.
	crashingContent, crashingPart string
}

// newTask returns a random task.
func (callers *callers) newTask() task {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	total := 0
	for _, route := range callers.play.Routes {
		total += route.Share
	}
	pick, route := callers.random.IntN(total), 0
	for pick >= callers.play.Routes[route].Share {
		pick -= callers.play.Routes[route].Share
		route++
	}
	callers.tasks++
	return callers.makeTask(&callers.play.Routes[route], fmt.Sprintf("t%d", callers.tasks))
}

// makeTask returns a task on a route. The caller holds the lock.
func (callers *callers) makeTask(route *Route, name string) task {
	task := task{
		client: callers.clients[callers.random.IntN(len(callers.clients))], route: route,
		content: content{Task: name}, random: rand.New(rand.NewPCG(callers.random.Uint64(), callers.random.Uint64())),
	}
	if route.Kind == Stream || route.Kind == Resumable {
		task.content.Stream = true
		task.content.Events = 1 + int(min(callers.random.ExpFloat64(), 4)*float64(route.Events))
	}
	if callers.play.engineService(route.Service) {
		task.model = fmt.Sprintf("%s/a%d", callers.play.Model, 1+int(min(callers.random.ExpFloat64()/4, 0.999)*float64(callers.play.Adapters)))
		shared := callers.random.IntN(3)
		task.prefix = fmt.Sprintf("%08x:90,%08x:60", 0xa0+shared, callers.random.Uint32())
	}
	return task
}

// crash sends requests that crash engines, one after the other, until the context ends. They
// have the same content if the number is even, and only one part of the prompt in common if
// it is odd.
func (callers *callers) crash(ctx context.Context, number int) {
	callers.lock.Lock()
	route := &callers.play.Routes[0]
	for i := range callers.play.Routes {
		if callers.play.engineService(callers.play.Routes[i].Service) && callers.random.IntN(2) == 0 {
			route = &callers.play.Routes[i]
		}
	}
	task := callers.makeTask(route, fmt.Sprintf("crash%d", number))
	callers.lock.Unlock()
	task.content.Crashing = true
	if number%2 == 0 {
		task.crashingContent = task.content.Task
	} else {
		task.crashingPart = fmt.Sprintf("%08x", 0xbad0+number)
	}
	for i := range callers.play.CrashingRepeats {
		copied := task
		copied.random = rand.New(rand.NewPCG(task.random.Uint64(), task.random.Uint64()))
		copied.client = callers.clients[task.random.IntN(len(callers.clients))]
		if task.crashingPart != "" {
			copied.content.Task = fmt.Sprintf("%s.%d", task.content.Task, i)
			copied.prefix = fmt.Sprintf("%s:90,%08x:60", task.crashingPart, copied.random.Uint32())
		}
		callers.running.Go(func() { callers.run(copied) })
		pause(ctx, time.Duration(100+task.random.IntN(800))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
	}
}

const (
	// minGap is the shortest time without an event after which a caller leaves a stream; the
	// other is four times the objective of the route.
	minGap = 4800 * time.Millisecond
	// firstBackoff is the pause before the second attempt unless a response states another.
	firstBackoff = 60 * time.Millisecond
)

// run makes the attempts of a task, each with a new ID, and the later ones on new connections
// to other entry VMs.
func (callers *callers) run(task task) {
	deadline := time.Now().Add(time.Duration(task.route.DeadlineMillis) * time.Millisecond)
	var origin core.RequestID
	avoided, last := "", 0
	for attempt := 0; attempt <= task.route.Retries; attempt++ {
		left := time.Until(deadline)
		if left < 10*time.Millisecond {
			break
		}
		entry, conn := callers.connection(task, attempt, avoided, deadline)
		if conn == nil {
			callers.count(task.route, "unreached")
			avoided = entry.name
			continue
		}
		call := callers.call(task, entry, left, origin, last)
		call.deadline = deadline
		result := call.do(conn)
		if result.kept && task.client.keeps {
			task.client.keep(entry.name, conn)
		} else if result.kept {
			conn.Close()
		}
		avoided = entry.name
		if result.events > 0 {
			last = result.last
			if origin == "" {
				origin = call.record.Request
			}
		}
		callers.count(task.route, outcome(result))
		if result.status/100 == 2 && result.complete || !retryable(task.route.Kind, result) {
			return
		}
		backoff := firstBackoff << attempt
		if result.retryAfter > 0 {
			backoff = min(result.retryAfter, time.Until(deadline)/3)
		}
		pause(context.Background(), backoff)
	}
}

// outcome names the result of an attempt for the statistics.
func outcome(result result) string {
	switch {
	case result.status == 0:
		return "none"
	case !result.complete:
		return "cut"
	}
	return strconv.Itoa(result.status)
}

// retryable reports whether the caller may send the request again after the result.
func retryable(kind RouteKind, result result) bool {
	switch result.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return result.complete || kind == Safe || kind == Resumable
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	}
	return kind == Safe || kind == Resumable
}

func (callers *callers) count(route *Route, outcome string) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	callers.results[string(route.Route)+" "+outcome]++
}

// connection returns an idle connection for a first attempt, or a new one.
func (callers *callers) connection(task task, attempt int, avoided string, deadline time.Time) (entryVM, *connection) {
	if attempt == 0 && task.client.keeps {
		if name, conn := task.client.takeIdle(); conn != nil {
			for _, entry := range callers.balancer.entries {
				if entry.name == name {
					return entry, conn
				}
			}
		}
	}
	entry := callers.balancer.pick(task.client.zone, task.random.IntN(1<<30), avoided)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := connect(ctx, entry.address)
	if err != nil {
		return entry, nil
	}
	return entry, conn
}

// takeIdle returns a usable idle connection and its entry VM, or nil.
func (client *client) takeIdle() (string, *connection) {
	client.lock.Lock()
	defer client.lock.Unlock()
	for name, conns := range client.idle {
		for len(conns) > 0 {
			conn := conns[len(conns)-1]
			conns = conns[:len(conns)-1]
			client.idle[name] = conns
			if conn.usable() {
				return name, conn
			}
			conn.Close()
		}
	}
	return "", nil
}

func (client *client) keep(name string, conn *connection) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.idle[name] = append(client.idle[name], conn)
}

// call returns an attempt at a task that goes on after the event last.
func (callers *callers) call(task task, entry entryVM, left time.Duration, origin core.RequestID, last int) *call {
	id := core.RequestID(fmt.Sprintf("%016x", task.random.Uint64()))
	body, err := json.Marshal(task.content)
	if err != nil {
		body = nil // a content has no field that cannot be encoded
	}
	call := &call{
		headers: callers.headers, recorder: callers.recorder, body: body, host: routeHost, path: routePrefix(task.route.Route) + "x",
		gap: max(minGap, 4*time.Duration(task.route.ObjectiveMillis)*time.Millisecond),
		record: Record{
			Process: entry.name, Request: id, Task: task.content.Task, Service: callers.play.ServiceOf(task.route, int(callers.changes.Load())), Kind: task.route.Kind, MaxAttempts: task.route.MaxAttempts,
			DeadlineMillis: left.Milliseconds(), Crashing: task.content.Crashing, Content: task.crashingContent, Part: task.crashingPart,
		},
		extra: map[string]string{callers.headers.Request: string(id), callers.headers.Deadline: strconv.FormatInt(left.Milliseconds(), 10)},
	}
	if task.model != "" {
		call.extra[callers.headers.Model] = task.model
		call.extra[callers.headers.Prefix] = task.prefix
		call.extra[callers.headers.Usage] = fmt.Sprintf("150,%d", 5*task.content.Events)
	}
	if last > 0 {
		call.record.LastEvent, call.record.Origin = last, origin
		call.extra[callers.headers.LastEvent] = strconv.Itoa(last)
		call.extra[callers.headers.Resumes] = string(origin)
	}
	return call
}

// routeHost is the host of all routes.
const routeHost = "rig.example"

// routePrefix returns the path prefix of a route.
func routePrefix(route core.RouteName) string { return "/" + string(route) + "/" }

// RoutePrefix returns the host and the path prefix of a route.
func RoutePrefix(route core.RouteName) (host, prefix string) { return routeHost, routePrefix(route) }
