package main

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"
)

// together runs a function several times at once, with the number of each call.
func together(count int, run func(number int)) {
	var running sync.WaitGroup
	for number := range count {
		running.Go(func() { run(number) })
	}
	running.Wait()
}

// runTakenUp replaces a machine of the core by an empty one at another address. Some seconds later
// the connections of clients break in the middle of their streams, and they take these up at another
// entry machine. All workers of the service have one software version.
func runTakenUp(test *test) (bool, error) {
	if err := test.deploy(4, 0); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if test.trouble {
		test.kill(test.controls()[2])
		added, err := test.addVM("control-d", "c", true)
		if err != nil {
			return false, err
		}
		if err := test.start(added, false); err != nil {
			return false, err
		}
	}
	// Twice the time of being in touch, and the time in which a new machine catches up.
	time.Sleep(2*contactTime + catchUpTime)
	const count = 24
	entries := test.entries()
	var lock sync.Mutex
	begun, takenUp, goneOn := 0, 0, 0
	together(count, func(number int) {
		time.Sleep(time.Duration(number) * 150 * time.Millisecond)
		first := test.stream(entries[number%3], position{}, 8)
		if first.last == 0 {
			return
		}
		lock.Lock()
		begun++
		lock.Unlock()
		time.Sleep(300 * time.Millisecond)
		reached := position{first.id, first.last}
		second := test.stream(entries[(number+1)%3], reached, streamEvents)
		if second.status == http.StatusServiceUnavailable { // clients come once more after a refusal
			time.Sleep(400 * time.Millisecond)
			second = test.stream(entries[(number+2)%3], reached, streamEvents)
		}
		lock.Lock()
		defer lock.Unlock()
		takenUp++
		if second.whole {
			goneOn++
		}
	})
	test.record.note("%d new streams, %d began; %d were taken up, %d of them went on", count, begun, takenUp, goneOn)
	if takenUp < 12 {
		return false, errors.New("fewer than 12 streams were taken up")
	}
	return 2*float64(goneOn)/float64(takenUp) < float64(begun)/float64(count), nil
}

// runForeign has another writer send one heartbeat under the id of each plain worker, with a service
// that the configuration does not name. Then all processes of the system are killed and start again.
// With FOREIGN=address the heartbeats have ids of their own, and the addresses of the workers.
func runForeign(test *test) (bool, error) {
	if err := test.deploy(0, 3); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	before := test.payAll(24)
	if test.trouble {
		for _, worker := range test.workers {
			beat := worker.heartbeat()
			beat["service"], beat["born"] = "nobody-names-this", time.Now().UnixMilli()
			id := worker.id
			if os.Getenv("FOREIGN") == "address" {
				id = "other-" + worker.id
			}
			status, _, err := call(test.ctx, http.MethodPut, "http://"+test.controlAddresses()[0]+"/v1/instances/"+id, beat)
			test.record.note("another writer sends a heartbeat of %s at %s for an unknown service: %d, %v", id, worker.address, status, err)
		}
		time.Sleep(2 * time.Second)
	}
	for _, vm := range test.vms {
		test.kill(vm)
	}
	time.Sleep(700 * time.Millisecond)
	for _, vm := range test.vms {
		if err := test.start(vm, false); err != nil {
			return false, err
		}
	}
	time.Sleep(recoveryTime)
	after := test.payAll(24)
	test.record.note("served before the final fault: %d of 24; %v after the machines are back: %d of 24", before, recoveryTime, after)
	if before < 6 {
		return false, errors.New("less than a quarter was served before the final fault")
	}
	return after < 6, nil
}

// payAll sends unsafe requests to all entry machines and returns how many were served.
func (test *test) payAll(count int) int {
	served := 0
	for number := range count {
		if test.pay(test.entries()[number%3]).served() {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// departingAfter is the time for which a worker whose heartbeats are not answered goes on before it
// exits, longer than drainTime.
const departingAfter = 4 * time.Second

// runDeparting lets one of five workers leave while it does not reach the machines that serve control.
// It says in all its answers that it leaves, and exits some seconds later.
func runDeparting(test *test) (bool, error) {
	if err := test.deploy(0, 5); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	leaver := test.workers[0]
	if test.trouble {
		leaver.silent.Store(true)
		leaver.leaving.Store(true)
		test.record.note("worker %s leaves and does not reach the machines that serve control", leaver.id)
	}
	var lock sync.Mutex
	var all []outcome
	ends := time.Now().Add(departingAfter)
	together(3, func(number int) {
		vm := test.entries()[number]
		var running sync.WaitGroup
		for time.Now().Before(ends.Add(time.Second)) {
			running.Go(func() {
				result := test.pay(vm)
				lock.Lock()
				defer lock.Unlock()
				all = append(all, result)
			})
			time.Sleep(12 * time.Millisecond)
			if test.trouble && time.Now().After(ends) && !leaver.hasEnded() && number == 0 {
				leaver.exit()
			}
		}
		running.Wait()
	})
	return test.judgeDeparting(leaver, all), nil
}

// judgeDeparting reports whether a request that was sent later than drainTime after its entry machine
// had passed on an answer of the leaving worker has reached that worker.
func (test *test) judgeDeparting(leaver *worker, all []outcome) bool {
	told := make(map[string]time.Time)
	for _, result := range all {
		if result.leaving && (told[result.vm].IsZero() || result.answered.Before(told[result.vm])) {
			told[result.vm] = result.answered
		}
	}
	late, lost := 0, 0
	for _, result := range all {
		if told[result.vm].IsZero() || result.sent.Before(told[result.vm].Add(drainTime)) || !leaver.ran(result.id) {
			continue
		}
		late++
		if !result.served() {
			lost++
		}
	}
	test.record.note("%d machines had passed on that the worker leaves; %d requests that were sent to them more than %v later reached it, %d of these were not answered with success", len(told), late, drainTime, lost)
	return late > 0
}
