package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	brittleWorkers = 6
	// brittleRejections is the N of Server-Brittle: a worker that turns more requests away in one
	// second falls over.
	brittleRejections = 1
	// brittleSlots is the number of requests that one worker runs at once, and brittleQueue the
	// number that may wait there until contact_ms after the first answer that says brittle.
	brittleSlots = 6
	brittleQueue = 6
	brittleWork  = 100 * time.Millisecond
	brittleDown  = 3 * time.Second
	contact      = 3 * time.Second
)

// brittleService is a service whose workers say that they are brittle, if they do.
type brittleService struct {
	deployment *deployment
	brittle    bool
	// shortFrom is the time from which nobody may wait at a worker.
	shortFrom time.Time

	lock                    sync.Mutex
	falls, rejected, served int
}

// start runs a worker at an address, and another one there some time after it has fallen over.
func (service *brittleService) start(number, incarnation int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	deployment := service.deployment
	ctx, cancel := context.WithCancel(deployment.ctx)
	worker := &brittleWorker{service: service, worker: &worker{
		deployment: deployment, id: fmt.Sprintf("i-%04x%04x", number, incarnation), service: "huvo11a", zone: zoneName(number % zoneCount),
		version: "v1", slots: brittleSlots, address: listener.Addr().String(), born: time.Now().UnixMilli(),
	}}
	worker.server = &http.Server{Handler: worker}
	deployment.running.Go(func() {
		for ctx.Err() == nil {
			worker.announceOnce()
			sleep(ctx, heartbeat)
		}
	})
	context.AfterFunc(deployment.ctx, func() { worker.server.Close() })
	deployment.running.Go(func() {
		_ = worker.server.Serve(listener)
		cancel()
		sleep(deployment.ctx, brittleDown)
		if deployment.ctx.Err() != nil {
			return
		}
		if err := service.start(number, incarnation+1, listener.Addr().String()); err != nil {
			deployment.record.write("a worker does not start again: %v", err)
		}
	})
	return nil
}

// brittleWorker is one process of such a worker.
type brittleWorker struct {
	*worker
	service *brittleService
	server  *http.Server

	lock     sync.Mutex
	running  int
	rejected []time.Time
	fallen   bool
}

// ServeHTTP answers a request.
func (worker *brittleWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Dandelionring-Request-Id")
	header := writer.Header()
	header.Set("X-Dandelionring-Request-Id", id)
	header.Set("Keep-Alive", "timeout=15")
	if worker.service.brittle {
		header.Set("Server-Brittle", strconv.Itoa(brittleRejections))
	}
	if target := request.Header.Get("X-Dandelionring-Target-Instance"); target != "" && target != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !worker.enter() {
		header.Set("X-Dandelionring-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer worker.leave()
	time.Sleep(brittleWork)
	header.Set("X-Dandelionring-Response-Signature", worker.id+"."+id)
	_, _ = writer.Write([]byte("done by " + worker.id))
}

// enter takes a slot or a place in the queue. A worker that is brittle and turns more than
// brittleRejections requests away in one second falls over.
func (worker *brittleWorker) enter() bool {
	service, now := worker.service, time.Now()
	worker.lock.Lock()
	defer worker.lock.Unlock()
	service.lock.Lock()
	defer service.lock.Unlock()
	short := service.brittle && now.After(service.shortFrom)
	room := brittleSlots + brittleQueue
	if short {
		room = brittleSlots
	}
	if worker.running < room {
		worker.running++
		service.served++
		return true
	}
	service.rejected++
	if !short || worker.fallen {
		return false
	}
	worker.rejected = append(worker.rejected, now)
	for now.Sub(worker.rejected[0]) >= time.Second {
		worker.rejected = worker.rejected[1:]
	}
	if len(worker.rejected) > brittleRejections {
		worker.fallen = true
		service.falls++
		service.deployment.record.write("worker %s falls over: %d requests turned away in one second", worker.id, len(worker.rejected))
		go worker.server.Close()
	}
	return false
}

func (worker *brittleWorker) leave() {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.running--
}

// playBrittle sends requests to a service whose workers say that they are brittle: 0.7 of what they
// can run.
func playBrittle(deployment *deployment, trouble bool) (bool, error) {
	const (
		interval = 4 * time.Millisecond
		length   = 35 * time.Second
		deadline = 1500 * time.Millisecond
	)
	service := &brittleService{deployment: deployment, brittle: trouble, shortFrom: time.Now().Add(startLimit)}
	for number := range brittleWorkers {
		if err := service.start(number, 0, deployment.nextIP()+":0"); err != nil {
			return false, err
		}
	}
	if err := deployment.begin(config(1, []object{route("r-1", "/lohu930/", "huvo11a", int(deadline.Milliseconds()))}, "huvo11a")); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	service.lock.Lock()
	service.shortFrom = time.Now().Add(2 * contact)
	service.lock.Unlock()
	fronts := deployment.fronts()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: deadline}
	statuses := make(map[int]int)
	var lock sync.Mutex
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		<-ticker.C
		number := sent
		clients.Go(func() {
			status := get(client, fronts[number%len(fronts)], fmt.Sprintf("%016x", number+1), deadline)
			lock.Lock()
			defer lock.Unlock()
			statuses[status]++
		})
	}
	clients.Wait()
	service.lock.Lock()
	defer service.lock.Unlock()
	bound := 2 + 0.1*brittleWorkers
	deployment.record.write("%d requests sent, by status %v (0: no answer); the workers ran %d and turned %d away", sent, statuses, service.served, service.rejected)
	deployment.record.write("LIMIT: %d falls of %d workers, at most %.1f are allowed", service.falls, brittleWorkers, bound)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("%w: no request was served", errNotPlayed)
	}
	return float64(service.falls) > bound, nil
}

// get sends one request on a kept connection and returns the status, 0 without an answer.
func get(client *http.Client, front, id string, deadline time.Duration) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+front+"/lohu930/2f", nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Dandelionring-Request-Id", id)
	request.Header.Set("X-Dandelionring-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
