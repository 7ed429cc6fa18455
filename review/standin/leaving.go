package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// link forwards connections to one address until it is cut.
type link struct {
	listener net.Listener
	target   string

	lock  sync.Mutex
	cut   bool
	conns []net.Conn
}

// openLink returns a link to the target and the address at which it accepts connections.
func openLink(ip, target string) (*link, string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", err
	}
	opened := &link{listener: listener, target: target}
	go opened.accept()
	return opened, listener.Addr().String(), nil
}

func (link *link) accept() {
	for {
		near, err := link.listener.Accept()
		if err != nil {
			return
		}
		link.lock.Lock()
		link.conns = append(link.conns, near)
		cut := link.cut
		link.lock.Unlock()
		if cut {
			continue // a connection over a link that is cut hangs
		}
		far, err := net.Dial("tcp", link.target)
		if err != nil {
			near.Close()
			continue
		}
		go func() { _, _ = io.Copy(far, near); far.Close() }()
		go func() { _, _ = io.Copy(near, far); near.Close() }()
	}
}

// setCut cuts or heals the link.
func (link *link) setCut(cut bool) {
	link.lock.Lock()
	defer link.lock.Unlock()
	link.cut = cut
}

// worker is a worker of a plain service.
type worker struct {
	fleet            *fleet
	id, zone, listen string
	born             int64
	// paths holds the address at which the worker reaches each core machine.
	paths map[string]string
	nodes []string

	lock     sync.Mutex
	sequence int
	current  string
	arrivals []time.Time
}

// startWorker starts a worker that serves requests and sends heartbeats until it leaves.
func startWorker(fleet *fleet, id, zone, ip string, paths map[string]string, nodes []string) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	started := &worker{fleet: fleet, id: id, zone: zone, listen: listener.Addr().String(), born: time.Now().UnixMilli(), paths: paths, nodes: nodes}
	go func() { _ = http.Serve(listener, started) }()
	return started, nil
}

// ServeHTTP runs a request.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	const runTime = 5 * time.Millisecond
	if target := request.Header.Get("X-Dandelionring-Target-Instance"); target != "" && target != worker.id {
		writer.Header().Set("X-Dandelionring-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	worker.lock.Lock()
	worker.arrivals = append(worker.arrivals, time.Now())
	worker.lock.Unlock()
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(runTime)
	writer.Header().Set("X-Dandelionring-Request-Id", request.Header.Get("X-Dandelionring-Request-Id"))
	writer.Header().Set("X-Dandelionring-Response-Signature", "signed-by-"+worker.id)
	_, _ = writer.Write([]byte("done by " + worker.id))
}

// say sends a call of the worker, first to the address that the last answer named and then to
// the nodes in turn, until one acknowledges it. It returns the address that did.
func (worker *worker) say(method string, body []byte) string {
	candidates := append([]string{}, worker.nodes...)
	if worker.current != "" {
		candidates = append([]string{worker.current}, candidates...)
	}
	failed := ""
	for _, node := range candidates {
		if node == failed {
			continue
		}
		path := worker.paths[node]
		if path == "" {
			path = node
		}
		status, answer := call(method, "http://"+path+"/v1/instances/"+worker.id, body, time.Second)
		if status != http.StatusOK {
			failed, worker.current = node, ""
			continue
		}
		var named struct {
			Address string `json:"heartbeat_addr"`
		}
		if json.Unmarshal(answer, &named) == nil && named.Address != "" {
			worker.current = named.Address
		}
		return node
	}
	return ""
}

// beat sends one heartbeat.
func (worker *worker) beat() string {
	worker.sequence++
	body, err := json.Marshal(map[string]any{
		"service": "s", "address": worker.listen, "zone": worker.zone, "version": "v1", "slots": 16, "state": "ready",
		"cold_remaining_ms": 0, "models": []any{}, "seq": worker.sequence, "born": worker.born,
	})
	if err != nil {
		return ""
	}
	return worker.say(http.MethodPut, body)
}

// arrivalsAfter returns the number of requests that arrived after a time.
func (worker *worker) arrivalsAfter(limit time.Time) int {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	count := 0
	for _, at := range worker.arrivals {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// leaving lets a worker deregister before it exits. Its heartbeats went to the core machine of
// its zone. The worker is cut off from the core for a moment when it deregisters: the first
// call fails, and the next node acknowledges the second one.
func leaving(fleet *fleet, trouble bool) error {
	const (
		front    = 4
		gap      = 20 * time.Millisecond // between two requests of the client
		steady   = 10 * time.Second
		serving  = drainTime + 4*time.Second // from the acknowledgement to the exit
		cutTime  = time.Second
		count    = 5 // workers, of which one is cut off
		patience = 2 * time.Second
	)
	controls, err := fleet.startControls(config(1, 1))
	if err != nil {
		return err
	}
	entry := fleet.add(front, "entry", zones[0], true)
	if err := fleet.launch(entry); err != nil {
		return err
	}
	var nodes []string
	for _, control := range controls {
		nodes = append(nodes, fleet.address(control.ip, "control"))
	}
	paths := make(map[string]string)
	var links []*link
	for _, node := range nodes {
		opened, path, err := openLink(fleet.ip(front+1), node)
		if err != nil {
			return err
		}
		defer opened.listener.Close()
		links, paths[node] = append(links, opened), path
	}
	var workers []*worker
	for number := range count {
		own := paths // only the first worker is cut off
		if number > 0 {
			own = map[string]string{}
		}
		started, err := startWorker(fleet, fmt.Sprintf("i-%08d", number+1), zones[number%len(zones)], fleet.ip(front+2+number), own, nodes)
		if err != nil {
			return err
		}
		workers = append(workers, started)
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, staying := range workers[1:] {
		go func() {
			for {
				staying.beat()
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
	statuses := make(map[int]int)
	var lock sync.Mutex
	go func() {
		for sent := 1; ; sent++ {
			go func() {
				status := fleet.request(entry, sent, patience, "")
				lock.Lock()
				defer lock.Unlock()
				statuses[status]++
			}()
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
		}
	}()
	leaver := workers[0]
	for begun := time.Now(); time.Since(begun) < steady; time.Sleep(heartbeat) {
		fleet.note("heartbeat of %s acknowledged by %s", leaver.id, fleet.nameOf(leaver.beat()))
	}
	if leaver.arrivalsAfter(time.Now().Add(-time.Second)) == 0 {
		return fmt.Errorf("the worker gets no requests before it leaves")
	}
	leaver.beat()
	if trouble {
		fleet.note("%s is cut off from the core for %v", leaver.id, cutTime)
		for _, link := range links {
			link.setCut(true)
			time.AfterFunc(cutTime, func() { link.setCut(false) })
		}
	}
	acknowledgedBy := leaver.say(http.MethodDelete, nil)
	acknowledged := time.Now()
	fleet.note("deregistration of %s acknowledged by %s", leaver.id, fleet.nameOf(acknowledgedBy))
	if acknowledgedBy == "" {
		return fmt.Errorf("nobody acknowledged the deregistration")
	}
	time.Sleep(serving)
	late := leaver.arrivalsAfter(acknowledged.Add(drainTime))
	lock.Lock()
	fleet.note("requests that reached %s: %d within %v of the acknowledgement, %d later; answers to the client by status: %v",
		leaver.id, leaver.arrivalsAfter(acknowledged)-late, drainTime, late, statuses)
	lock.Unlock()
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached a worker later than %v after %s acknowledged that it is gone", errBroken, late, drainTime, fleet.nameOf(acknowledgedBy))
	}
	return nil
}

// request sends one request of a client, for a model unless that is empty, and returns the
// status of its answer, or 0.
func (fleet *fleet) request(entry *machine, number int, wait time.Duration, model string) int {
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+fleet.address(entry.ip, "front")+"/p0000000/x", nil)
	if err != nil {
		return 0
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Dandelionring-Request-Id", fmt.Sprintf("%016x", number))
	request.Header.Set("X-Dandelionring-Deadline-Ms", "1500")
	if model != "" {
		request.Header.Set("X-Dandelionring-Model", model)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// nameOf returns the name of the core machine with an operator address.
func (fleet *fleet) nameOf(address string) string {
	for _, machine := range fleet.machines {
		if strings.HasPrefix(address, machine.ip+":") {
			return machine.name
		}
	}
	return "nobody"
}
