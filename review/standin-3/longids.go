package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// entryMemoryMB is the memory_mb of an entry machine in its settings.
	entryMemoryMB = 284
	// longID is the length of a long id. The whole head is half of max_header_bytes.
	longID = 7500
	// crowd is the number of clients of one entry machine, and crowdPause the time between two requests
	// of one of them. Together they send fewer than 500 requests a second there.
	crowd      = 100
	crowdPause = 100 * time.Millisecond
	crowdTime  = 100 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// endsOfMachine and machinesWithEnds are the ends that break the rule.
	endsOfMachine, machinesWithEnds = 3, 2
)

// runLongIDs lets clients whose requests stay inside all limits, and whose ids are long, send safe
// requests to two entry machines. The case stands in for the platform: it kills a process that takes
// more than its memory, and starts it again. Without trouble the ids are as short as usual.
func runLongIDs(test *test) (bool, error) {
	test.recordEvery = 500
	if err := test.deploy(0, 6); err != nil {
		return false, err
	}
	length := 16
	if test.trouble {
		length = longID
	}
	targets := test.entries()[:machinesWithEnds]
	ends := time.Now().Add(crowdTime)
	var answered atomic.Int64
	for _, target := range targets {
		for range crowd {
			go func() {
				for time.Now().Before(ends) && test.ctx.Err() == nil {
					if err := test.look(target, length, ends, &answered); err != nil {
						time.Sleep(crowdPause)
					}
				}
			}()
		}
	}
	counts, most := make([]int, len(targets)), make([]int, len(targets))
	for time.Now().Before(ends) {
		time.Sleep(restartDelay)
		broken := true
		for i, target := range targets {
			memory, err := memoryMB(target.command.Process.Pid)
			if err != nil {
				return false, err
			}
			if memory >= most[i]+20 {
				test.record.note("%s has %d MB, limit %d MB; %d requests answered", target.name, memory, entryMemoryMB, answered.Load())
			}
			most[i] = max(most[i], memory)
			if memory > entryMemoryMB {
				counts[i]++
				test.record.note("%s has %d MB and is ended by the platform, for the %d. time", target.name, memory, counts[i])
				test.kill(target)
				time.Sleep(restartDelay)
				if err := test.start(target, false); err != nil {
					return false, err
				}
				most[i] = 0
			}
			broken = broken && counts[i] >= endsOfMachine
		}
		if broken {
			return true, nil
		}
	}
	test.record.note("ends of the machines: %v; memory since the last: %v MB at most, limit %d MB; %d requests answered", counts, most, entryMemoryMB, answered.Load())
	if answered.Load() == 0 {
		return false, errors.New("no request was answered")
	}
	return false, nil
}

// look sends safe requests, one after another, on one connection.
func (test *test) look(vm *vm, length int, ends time.Time, answered *atomic.Int64) error {
	conn, err := net.Dial("tcp", address(vm.ip, test.front))
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for time.Now().Before(ends) && test.ctx.Err() == nil {
		id := newID()
		id += strings.Repeat("0", length-len(id))
		_ = conn.SetDeadline(time.Now().Add(deadline))
		if _, err := fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\nX-Dandelionring-Request-Id: %s\r\nX-Dandelionring-Deadline-Ms: 1500\r\n\r\n", safePath, safeHost, id); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("read the head: %w", err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil {
			return fmt.Errorf("read the body: %w", err)
		}
		if answered.Add(1)%1000 == 1 {
			test.record.note("a client of %s with an id of %d bytes gets %d", vm.name, length, response.StatusCode)
		}
		time.Sleep(crowdPause)
	}
	return nil
}

// memoryMB returns the resident memory of a process.
func memoryMB(process int) (int, error) {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/status")
	if err != nil {
		return 0, fmt.Errorf("read the memory of the process: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				return 0, fmt.Errorf("read the memory of the process: %w", err)
			}
			return kilobytes / 1024, nil
		}
	}
	return 0, errors.New("the memory of the process is not known")
}
