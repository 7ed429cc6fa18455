package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// enginePlaces is the number of adapters that an engine holds.
	enginePlaces = 13
	// adapterLoad is the time that an adapter takes from the store. One that the engine held
	// before takes a tenth of it.
	adapterLoad = 250 * time.Millisecond
	// work is the time that a request takes.
	work = 30 * time.Millisecond
	// garblePeriod and garbleTime are the time from one garble to the next, and its length.
	garblePeriod = 6 * time.Second
	garbleTime   = 5 * time.Second
)

// engine is a model worker with one model. A faulty one sends a second copy of some answers
// late, at the point where the next answer on the connection is expected.
type engine struct {
	fleet            *fleet
	id, zone, listen string
	born             int64
	// copied is the share of the answers of which a copy follows.
	copied float64
	// over is called when the engine is ordered to load more than it holds.
	over func(*engine, string, int)

	lock      sync.Mutex
	accepted  int
	loadedAt  map[string]time.Time
	unloading map[string]bool
	running   map[string]int
	before    map[string]bool
	runs      int
}

// accept serves the connections of an engine.
func (engine *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go engine.serve(conn)
	}
}

// serve answers the requests of one connection, one after another.
func (engine *engine) serve(conn net.Conn) {
	const copyLead = 2 * time.Millisecond // from a late copy to the answer that was expected
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
			time.Sleep(copyLead)
		}
		answer := engine.answer(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if engine.garbles() {
			late = answer
		}
	}
}

// garbles reports whether a copy of the present answer follows.
func (engine *engine) garbles() bool {
	return time.Since(engine.fleet.start)%garblePeriod < garbleTime && rand.Float64() < engine.copied
}

// answer handles a request and returns the whole answer.
func (engine *engine) answer(request *http.Request, body []byte) []byte {
	var status int
	var content []byte
	switch request.URL.Path {
	case "/v1/report":
		status, content = http.StatusOK, engine.report()
	case "/v1/order":
		status, content = engine.order(body), []byte("{}")
	default:
		status, content = engine.run(request)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(content))
	if id := request.Header.Get("X-Dandelionring-Request-Id"); id != "" {
		head += "X-Dandelionring-Request-Id: " + id + "\r\n"
		if status == http.StatusOK {
			head += "X-Dandelionring-Response-Signature: signed-by-" + engine.id + "\r\n"
		} else {
			head += "X-Dandelionring-Not-Executed: 1\r\n"
		}
	}
	return append([]byte(head+"\r\n"), content...)
}

// settle ends the unloads whose runs have ended. The caller holds the lock.
func (engine *engine) settle() {
	for adapter := range engine.unloading {
		if engine.running[adapter] == 0 {
			delete(engine.unloading, adapter)
			delete(engine.loadedAt, adapter)
		}
	}
}

// report returns the body of a report.
func (engine *engine) report() []byte {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.settle()
	held, pending := []string{}, []string{}
	for adapter, at := range engine.loadedAt {
		if at.After(time.Now()) {
			pending = append(pending, "m/"+adapter+"@1")
		} else {
			held = append(held, adapter+"@1")
		}
	}
	data, err := json.Marshal(map[string]any{
		"stage": "hybrid", "busy": false, "seq": engine.accepted, "pending": pending,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": held}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// order carries out an order for an adapter and returns the status.
func (engine *engine) order(body []byte) int {
	var order struct {
		Operation, Adapter string
		Expected           *int
	}
	if err := json.Unmarshal(body, &order); err != nil {
		return http.StatusBadRequest
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.settle()
	at, held := engine.loadedAt[order.Adapter]
	unloading := engine.unloading[order.Adapter]
	isLoad := order.Operation == "load"
	switch {
	case isLoad && held && !unloading && !at.After(time.Now()), !isLoad && !held:
		return http.StatusOK // it already holds
	case isLoad && held && !unloading, !isLoad && unloading:
		return http.StatusAccepted // it is being carried out
	case len(engine.unloading) > 0, order.Expected != nil && *order.Expected != engine.accepted:
		return http.StatusConflict
	}
	engine.accepted++
	if !isLoad {
		if engine.running[order.Adapter] > 0 {
			engine.unloading[order.Adapter] = true
			return http.StatusAccepted
		}
		delete(engine.loadedAt, order.Adapter)
		return http.StatusOK
	}
	load := adapterLoad
	if engine.before[order.Adapter] {
		load /= 10
	}
	engine.before[order.Adapter] = true
	engine.loadedAt[order.Adapter] = time.Now().Add(load)
	if number := len(engine.loadedAt); number > enginePlaces {
		engine.over(engine, order.Adapter, number)
	}
	return http.StatusAccepted
}

// run runs a request for an adapter.
func (engine *engine) run(request *http.Request) (int, []byte) {
	adapter := strings.TrimPrefix(request.Header.Get("X-Dandelionring-Model"), "m/")
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if at, held := engine.loadedAt[adapter]; !held || at.After(time.Now()) || engine.unloading[adapter] {
		return http.StatusMisdirectedRequest, nil
	}
	engine.runs++
	engine.running[adapter]++
	engine.lock.Unlock()
	time.Sleep(work)
	engine.lock.Lock()
	engine.running[adapter]--
	return http.StatusOK, []byte("done with " + adapter)
}

// announce sends heartbeats to a core machine.
func (engine *engine) announce(control string) {
	for sequence := 1; ; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": "s", "address": engine.listen, "zone": engine.zone, "version": "v1", "slots": 24, "state": "ready", "cold_remaining_ms": 0,
			"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": sequence, "born": engine.born,
		})
		if err != nil {
			return
		}
		call(http.MethodPut, "http://"+control+"/v1/instances/"+engine.id, body, time.Second)
		time.Sleep(heartbeat)
	}
}

// engineConfig returns a configuration with one service of engines.
func engineConfig() ([]byte, error) {
	models := []any{map[string]any{"name": "m", "weights_mb": 65100, "load_s": 1.9, "adapters": adapters, "adapter_mb": 12}}
	return json.Marshal(map[string]any{
		"version": 1, "routes": []any{route(0, "safe", "s")},
		"services": []any{map[string]any{
			"name": "s", "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 24, "models": models, "weights_mb": 67000, "max_adapters": enginePlaces, "load_per_s": 6.8},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// adapters is the number of adapters of the model.
const adapters = 3000

// copies lets engines send second copies of some answers late, also of those to orders and
// reports. No engine may be ordered to load more adapters than it holds.
func copies(fleet *fleet, trouble bool) error {
	const (
		front    = 4
		count    = 18
		faulty   = 10   // of the engines
		copied   = 0.03 // of the answers of a faulty one
		gap      = 4 * time.Millisecond
		settling = 4 * time.Second
		total    = 90 * time.Second
	)
	first, err := engineConfig()
	if err != nil {
		return err
	}
	controls, err := fleet.startControls(first)
	if err != nil {
		return err
	}
	entry := fleet.add(front, "entry", zones[0], true)
	if err := fleet.launch(entry); err != nil {
		return err
	}
	exceeded := make(chan error, 1)
	over := func(engine *engine, adapter string, number int) {
		fleet.note("%s is ordered to load %s as number %d of %d", engine.id, adapter, number, enginePlaces)
		select {
		case exceeded <- fmt.Errorf("%w: %s was ordered to load %d adapters, it holds %d", errBroken, engine.id, number, enginePlaces):
		default:
		}
	}
	var engines []*engine
	for number := range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(fleet.ip(front+1+number), "0"))
		if err != nil {
			return err
		}
		started := &engine{
			fleet: fleet, id: fmt.Sprintf("i-%08d", number+1), zone: zones[number%len(zones)], listen: listener.Addr().String(), born: time.Now().UnixMilli(), over: over,
			loadedAt: make(map[string]time.Time), unloading: make(map[string]bool), running: make(map[string]int), before: make(map[string]bool),
		}
		if trouble && number < faulty {
			started.copied = copied
		}
		engines = append(engines, started)
		go started.accept(listener)
		go started.announce(fleet.address(controls[number%len(controls)].ip, "control"))
	}
	time.Sleep(settling)
	result := fleet.askForAdapters(entry, exceeded, gap, total)
	if result == nil {
		runs := 0
		for _, engine := range engines {
			engine.lock.Lock()
			runs += engine.runs
			engine.lock.Unlock()
		}
		if runs == 0 {
			result = errors.New("no request ran")
		}
	}
	return result
}

// askForAdapters sends requests for adapters until an error arrives or the time is over.
func (fleet *fleet) askForAdapters(entry *machine, exceeded <-chan error, gap, total time.Duration) error {
	const patience = 2 * time.Second
	var lock sync.Mutex
	statuses := make(map[int]int)
	defer func() {
		lock.Lock()
		defer lock.Unlock()
		fleet.note("answers to the client by status (0: none): %v", statuses)
	}()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for begun, sent := time.Now(), 1; time.Since(begun) < total; sent++ {
		select {
		case err := <-exceeded:
			return err
		case <-ticker.C:
		}
		go func() {
			status := fleet.request(entry, sent, patience, fmt.Sprintf("m/a%d", 1+rand.IntN(adapters)))
			lock.Lock()
			defer lock.Unlock()
			statuses[status]++
		}()
	}
	return nil
}
