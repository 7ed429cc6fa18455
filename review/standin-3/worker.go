package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelName   = "m0"
	kvTokens    = 213762
	workerSlots = 24
	// streamEvents is the number of events of a stream, eventPause the time between two.
	streamEvents = 30
	eventPause   = 60 * time.Millisecond
	// workTime is the work on a request of the plain service.
	workTime = 100 * time.Millisecond
)

// worker is a stand-in of a worker. It holds the base model, if it is an engine.
type worker struct {
	test                       *test
	id, service, zone, address string
	born                       int64
	listener                   net.Listener
	server                     *http.Server

	// silent is set while the worker does not reach the machines that serve control.
	silent atomic.Bool
	// leaving is set once the worker wants to leave.
	leaving atomic.Bool
	running atomic.Int64
	total   atomic.Int64

	lock     sync.Mutex
	sequence uint64
	accepted uint64
	token    uint64
	next     string
	ended    bool
	runs     map[string]bool // by request
}

// startWorker starts a worker.
func (test *test) startWorker(id, service, zone string) error {
	listener, err := net.Listen("tcp", test.nextIP()+":0")
	if err != nil {
		return fmt.Errorf("listen for a worker: %w", err)
	}
	worker := &worker{test: test, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), listener: listener}
	worker.server = &http.Server{Handler: worker}
	go func() { _ = worker.server.Serve(listener) }()
	go worker.beat()
	test.lock.Lock()
	test.workers = append(test.workers, worker)
	test.lock.Unlock()
	test.record.note("worker %s of %s starts at %s", id, service, worker.address)
	return nil
}

// exit ends the worker with all that it runs.
func (worker *worker) exit() {
	worker.lock.Lock()
	worker.ended = true
	worker.lock.Unlock()
	running := worker.running.Load()
	worker.server.Close()
	worker.test.record.note("worker %s exits, %d requests were running", worker.id, running)
}

func (worker *worker) hasEnded() bool {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.ended
}

func (worker *worker) noteRun(id string) {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	if worker.runs == nil {
		worker.runs = make(map[string]bool)
	}
	worker.runs[id] = true
}

// ran reports whether the worker has run a request.
func (worker *worker) ran(id string) bool {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.runs[id]
}

// beat sends heartbeats until the case ends.
func (worker *worker) beat() {
	for worker.test.ctx.Err() == nil && !worker.hasEnded() {
		if !worker.silent.Load() {
			worker.sendHeartbeat()
		}
		time.Sleep(heartbeatInterval - 100*time.Millisecond + rand.N(200*time.Millisecond))
	}
}

// heartbeat returns the next heartbeat.
func (worker *worker) heartbeat() object {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.sequence++
	state := "ready"
	if worker.leaving.Load() {
		state = "draining"
	}
	beat := object{
		"service": worker.service, "address": worker.address, "zone": worker.zone, "version": "v1", "slots": workerSlots, "state": state,
		"cold_remaining_ms": 0, "seq": worker.sequence, "born": worker.born,
	}
	if worker.service == "generate" {
		beat["stage"], beat["models"] = "hybrid", worker.models()
	}
	return beat
}

func (worker *worker) models() []object {
	return []object{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// sendHeartbeat sends one heartbeat, to the address that an answer has named first, and then to
// one machine after another.
func (worker *worker) sendHeartbeat() {
	beat := worker.heartbeat()
	worker.lock.Lock()
	next := worker.next
	worker.lock.Unlock()
	targets := worker.test.controlAddresses()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if next != "" {
		targets = append([]string{next}, targets...)
	}
	for _, target := range targets {
		status, answer, err := call(worker.test.ctx, http.MethodPut, "http://"+target+"/v1/instances/"+worker.id, beat)
		ok := err == nil && status >= 200 && status < 300
		worker.lock.Lock()
		if ok {
			var named struct {
				HeartbeatAddr string `json:"heartbeat_addr"`
			}
			_ = json.Unmarshal(answer, &named)
			worker.next = named.HeartbeatAddr
		} else if target == next {
			worker.next = ""
		}
		worker.lock.Unlock()
		if ok {
			return
		}
	}
}

// ServeHTTP answers requests, and the calls of the system to a worker.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if target := request.Header.Get("X-Dandelionring-Target-Instance"); target != "" && target != worker.id {
		header.Set("X-Dandelionring-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/v1/report":
		worker.report(writer)
		return
	case "/v1/order":
		worker.order(writer, request)
		return
	case "/health":
		header.Set("X-Dandelionring-Instance-Id", worker.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Dandelionring-Request-Id")
	header.Set("X-Dandelionring-Request-Id", id)
	if worker.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if worker.running.Add(1) > workerSlots {
		worker.running.Add(-1)
		header.Set("X-Dandelionring-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer worker.running.Add(-1)
	worker.noteRun(id)
	if every := worker.test.recordEvery; every <= 1 || worker.total.Add(1)%every == 1 {
		worker.test.record.note("worker %s runs %.32s (%d bytes, last event %q)", worker.id, id, len(body), request.Header.Get("Last-Event-Id"))
	}
	header.Set("X-Dandelionring-Response-Signature", "3e1b."+id)
	header.Set("X-Dandelionring-Weight-Versions", "1")
	if worker.service == "generate" {
		worker.stream(writer, request)
		return
	}
	select {
	case <-request.Context().Done():
		return
	case <-time.After(workTime):
	}
	_, _ = writer.Write([]byte("done " + id))
}

// stream writes the events behind the last one that the client has.
func (worker *worker) stream(writer http.ResponseWriter, request *http.Request) {
	first := 1
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		number, err := strconv.Atoi(last)
		if err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		first = number + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for number := first; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func (worker *worker) report(writer http.ResponseWriter) {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	report := object{
		"stage": "hybrid", "models": worker.models(), "busy": false, "seq": worker.accepted, "queued": 0, "running": worker.running.Load(),
		"kv_used": 0, "kv_total": kvTokens, "handles": 0, "pending": []string{},
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(report)
}

// order answers an order. The worker holds its model, and the cases ask for no adapter.
func (worker *worker) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Holder     string  `json:"holder"`
		FenceToken *uint64 `json:"fence_token"`
		Expected   *uint64 `json:"expected"`
	}
	err := json.NewDecoder(request.Body).Decode(&order)
	if err == nil && (order.Holder == "" || order.FenceToken == nil) {
		err = errors.New("holder or fence_token is missing")
	}
	worker.lock.Lock()
	defer worker.lock.Unlock()
	switch {
	case err != nil:
		writer.WriteHeader(http.StatusBadRequest)
	case *order.FenceToken < worker.token:
		writer.WriteHeader(http.StatusPreconditionFailed)
	case order.Expected != nil && *order.Expected != worker.accepted:
		writer.WriteHeader(http.StatusConflict)
	default:
		worker.token = *order.FenceToken
		writer.WriteHeader(http.StatusOK)
	}
}
