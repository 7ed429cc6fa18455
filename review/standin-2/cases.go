package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const host = "ficu95.example"

// send sends one GET request on a new connection and returns the status, 0 without an answer.
func (deployment *deployment) send(front, path, id string, deadline time.Duration) int {
	deployment.record.write("client sends %s, GET %s, to %s", id, path, front)
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		deployment.record.write("client has no answer to %s: %v", id, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Dandelionring-Request-Id: %s\r\nX-Dandelionring-Deadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		deployment.record.write("client has no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	deployment.record.write("client gets %d for %s: %.60q", response.StatusCode, id, body)
	return response.StatusCode
}

// begin brings a configuration into force and waits for the entry machines and the workers.
func (deployment *deployment) begin(content []byte, err error) error {
	if err != nil {
		return err
	}
	if !deployment.putConfig(content, 0, startLimit, time.Second) {
		return fmt.Errorf("%w: the first configuration was not acknowledged", errNotPlayed)
	}
	return deployment.awaitReady()
}

// playLimit lets workers that name a Server-Limit leave one after another, while clients with a
// deadline of 12 s send more than the workers take.
func playLimit(deployment *deployment, trouble bool) (bool, error) {
	const (
		deadline = 12 * time.Second
		interval = 125 * time.Millisecond
		warmUp   = 8 * time.Second
		between  = 7 * time.Second
	)
	limit := ""
	if trouble {
		limit = "1.0"
	}
	var workers []*worker
	for i := range 2 * zoneCount {
		worker, err := deployment.startWorker(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "huvo11a", zoneName(i%zoneCount), limit)
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
	}
	if err := deployment.begin(config(1, []object{route("r-1", "/lohu930/", "huvo11a", int(deadline.Milliseconds()))}, "huvo11a")); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	end := time.Now().Add(warmUp + 3*between)
	var clients sync.WaitGroup
	var answered sync.Map
	fronts := deployment.fronts()
	clients.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			clients.Go(func() {
				status := deployment.send(fronts[number%len(fronts)], "/lohu930/2f", fmt.Sprintf("%016x", number+1), deadline)
				answered.Store(number, status)
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(warmUp)
	for _, worker := range workers[:3] {
		worker.drain()
		time.Sleep(between)
	}
	clients.Wait()
	success := 0
	answered.Range(func(_, status any) bool {
		if status == http.StatusOK {
			success++
		}
		return true
	})
	deployment.record.write("%d requests were answered with 200", success)
	if success == 0 {
		return false, fmt.Errorf("%w: no request was served", errNotPlayed)
	}
	broken := false
	for _, worker := range workers {
		for _, late := range worker.lateRequests() {
			broken = true
			deployment.record.write("DRAIN: %s", late)
		}
	}
	return broken, nil
}

// playMemory sends changes of a configuration, after it has grown by many routes. The platform
// kills a process that uses more than memory_mb.
func playMemory(deployment *deployment, trouble bool) (bool, error) {
	const (
		growth    = 1400 // the routes of one big_config
		growths   = 5
		gap       = 200 * time.Millisecond
		inFlight  = 8
		limit     = 105 * time.Second
		endsOfOne = 3 // the ends of one machine that count
	)
	begun := time.Now()
	for _, machine := range deployment.machines {
		machine.lock.Lock()
		machine.limit = map[bool]int64{true: memoryMB, false: frontMemoryMB}[machine.control] << 20
		machine.lock.Unlock()
	}
	var routes []object
	for i := range 8 {
		routes = append(routes, route(fmt.Sprintf("r-first%02d", i), fmt.Sprintf("/lohu%03d/", i), "huvo11a", 1500))
	}
	if _, err := deployment.startWorker("i-7f3a91c2", "huvo11a", zoneName(0), ""); err != nil {
		return false, err
	}
	version := 1
	if err := deployment.begin(config(version, routes, "huvo11a")); err != nil {
		return false, err
	}
	next := func() (int, []byte, error) {
		version++
		content, err := config(version, routes, "huvo11a")
		return version, content, err
	}
	put := func(version int, content []byte) {
		sent := time.Now()
		each := time.Second + time.Duration(3*len(routes))*time.Millisecond
		acked := deployment.putConfig(content, version, 20*time.Second, each)
		deployment.record.write("operator: version %d, %d routes, %d bytes, acknowledged %t after %d ms", version, len(routes), len(content), acked, time.Since(sent).Milliseconds())
	}
	if trouble {
		for step := range growths {
			for i := range growth {
				routes = append(routes, route(fmt.Sprintf("r-%02d%05d", step, i), fmt.Sprintf("/pufi%02d%05d/", step, i), "huvo11a", 1500))
			}
			version, content, err := next()
			if err != nil {
				return false, err
			}
			put(version, content)
		}
	}
	changes := 0
	var flying sync.WaitGroup
	slots := make(chan struct{}, inFlight)
	for time.Since(begun) < limit && !deployment.endedOften(endsOfOne) {
		due := time.Now().Add(gap)
		routes[changes%8] = route(fmt.Sprintf("r-first%02d", changes%8), fmt.Sprintf("/lohu%03d/", changes%8), "huvo11a", 1500+100*(changes%3+1))
		version, content, err := next()
		if err != nil {
			return false, err
		}
		slots <- struct{}{}
		flying.Go(func() {
			put(version, content)
			<-slots
		})
		changes++
		time.Sleep(time.Until(due))
	}
	deployment.record.write("operator: %d changes after the last growth", changes)
	for _, machine := range deployment.machines {
		machine.lock.Lock()
		deployment.record.write("%s: at most %d MiB, its process ended %d times", machine.name, machine.peak>>20, machine.ends)
		machine.lock.Unlock()
	}
	return deployment.endedOften(endsOfOne), nil
}

// endedOften reports whether the processes of half of the core or more have ended by themselves
// as often as given.
func (deployment *deployment) endedOften(often int) bool {
	count := 0
	for _, machine := range deployment.machines {
		machine.lock.Lock()
		if machine.control && machine.ends >= often {
			count++
		}
		machine.lock.Unlock()
	}
	return 2*count >= zoneCount
}

// playPath sends requests with a percent-encoded slash. Their path begins with the prefix of the
// first route and with none of the second one.
func playPath(deployment *deployment, trouble bool) (bool, error) {
	own, err := deployment.startWorker("i-7f3a91c2", "huvo11a", zoneName(0), "")
	if err != nil {
		return false, err
	}
	other, err := deployment.startWorker("i-02d9e6b4", "wuno96b", zoneName(1), "")
	if err != nil {
		return false, err
	}
	routes := []object{route("r-1", "/lohu930/", "huvo11a", 1500), route("r-2", "/lohu930/puxa403/", "wuno96b", 1500)}
	if err := deployment.begin(config(1, routes, "huvo11a", "wuno96b")); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	fronts := deployment.fronts()
	for number, path := range []string{"/lohu930/2f", "/lohu930/puxa403/2f"} {
		if status := deployment.send(fronts[0], path, fmt.Sprintf("%016x", 0xaa+number), 1500*time.Millisecond); status != http.StatusOK {
			return false, fmt.Errorf("%w: a proper request was answered with %d", errNotPlayed, status)
		}
	}
	ownBefore, otherBefore := own.runs(), other.runs()
	path := "/lohu930/puxa403x2f"
	if trouble {
		path = "/lohu930/puxa403%2F2f"
	}
	for number, front := range fronts {
		deployment.send(front, path, fmt.Sprintf("%016x", number+1), 1500*time.Millisecond)
	}
	foreign := other.runs() - otherBefore
	deployment.record.write("ROUTE: of the requests for the path %s, the service huvo11a ran %d and the service wuno96b, to whose route no path of them belongs, %d", path, own.runs()-ownBefore, foreign)
	return foreign > 0, nil
}
