package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a plain worker. Everything that it says follows the users' pages.
type worker struct {
	deployment        *deployment
	id, service, zone string
	address           string
	born              int64
	// version is the version of its software, and slots the requests that it runs at once.
	version string
	slots   int
	// streamer answers the requests if it is set.
	streamer *streamer
	// serverLimit is the requests a second that it says it takes, empty if it is not in need.
	serverLimit string

	lock     sync.Mutex
	sequence int
	draining bool
	// leavingAcked is the time at which a control machine has acknowledged that it leaves.
	leavingAcked time.Time
	// late holds the requests that came more than drain_ms after that.
	late []string
	ran  int
}

func (deployment *deployment) startWorker(id, service, zone, serverLimit string) (*worker, error) {
	listener, err := net.Listen("tcp", deployment.nextIP()+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	worker := &worker{deployment: deployment, id: id, service: service, zone: zone, version: "v1", slots: 6, address: listener.Addr().String(), born: time.Now().UnixMilli(), serverLimit: serverLimit}
	server := &http.Server{Handler: worker, IdleTimeout: 15 * time.Second}
	deployment.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(deployment.ctx, func() { server.Close() })
	deployment.running.Go(worker.announceLoop)
	return worker, nil
}

const workTime = 20 * time.Millisecond

// ServeHTTP answers a request.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	id := request.Header.Get("X-Dandelionring-Request-Id")
	header := writer.Header()
	header.Set("X-Dandelionring-Request-Id", id)
	header.Set("X-Dandelionring-Instance-Id", worker.id)
	header.Set("Keep-Alive", "timeout=15")
	if worker.serverLimit != "" {
		header.Set("Server-Limit", worker.serverLimit)
	}
	if request.URL.Path == "/health" {
		return
	}
	if target := request.Header.Get("X-Dandelionring-Target-Instance"); target != "" && target != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("X-Dandelionring-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	worker.note(arrived, id, request.RequestURI)
	header.Set("X-Dandelionring-Response-Signature", worker.id+"."+id)
	if worker.streamer != nil {
		worker.streamer.answer(worker, writer, request)
		return
	}
	time.Sleep(workTime)
	_, _ = writer.Write([]byte("done by " + worker.id))
}

func (worker *worker) note(arrived time.Time, id, path string) {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.ran++
	worker.deployment.record.write("worker %s of version %s gets request %s, %s", worker.id, worker.version, id, path)
	if after := arrived.Sub(worker.leavingAcked); !worker.leavingAcked.IsZero() && after > drainTime {
		worker.late = append(worker.late, fmt.Sprintf("request %s reached worker %s %d ms after the acknowledgement that it leaves (drain_ms %d)", id, worker.id, after.Milliseconds(), drainTime.Milliseconds()))
	}
}

// lateRequests returns the requests that came after drain_ms, and runs the number of all.
func (worker *worker) lateRequests() []string {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.late
}

func (worker *worker) runs() int {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.ran
}

// drain makes the worker report from now on that it leaves.
func (worker *worker) drain() {
	worker.lock.Lock()
	worker.draining = true
	worker.lock.Unlock()
	worker.deployment.record.write("worker %s leaves", worker.id)
	worker.announceOnce()
}

func (worker *worker) announceLoop() {
	for worker.deployment.ctx.Err() == nil {
		worker.announceOnce()
		sleep(worker.deployment.ctx, heartbeat)
	}
}

// announceOnce sends a heartbeat to the control machines in turn until one acknowledges it.
func (worker *worker) announceOnce() {
	worker.lock.Lock()
	worker.sequence++
	state := map[bool]string{true: "draining", false: "ready"}[worker.draining]
	leaving := worker.draining
	body, err := json.Marshal(object{
		"service": worker.service, "address": worker.address, "zone": worker.zone, "version": worker.version, "slots": worker.slots, "state": state,
		"cold_remaining_ms": 0, "seq": worker.sequence, "born": worker.born,
	})
	first := worker.sequence
	worker.lock.Unlock()
	if err != nil {
		return
	}
	controls := worker.deployment.controls()
	for i := range controls {
		status, _ := call(worker.deployment.ctx, http.MethodPut, controls[(first+i)%len(controls)], "/v1/instances/"+worker.id, body, time.Second)
		if status/100 != 2 {
			continue
		}
		worker.lock.Lock()
		if leaving && worker.leavingAcked.IsZero() {
			worker.leavingAcked = time.Now()
			worker.deployment.record.write("%s acknowledges that worker %s leaves", controls[(first+i)%len(controls)], worker.id)
		}
		worker.lock.Unlock()
		return
	}
}
