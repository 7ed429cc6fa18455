package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimit is the memory of a core machine, in MB.
const memoryLimit = 280

// residentMB returns the resident memory of a process, and 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes * 1024 / 1_000_000
		}
	}
	return 0
}

// platform ends a process that uses more memory than its machine has and starts it again, as
// the platform does. ends counts this by machine.
type platform struct {
	fleet   *fleet
	running sync.WaitGroup
	stop    chan struct{}

	lock sync.Mutex
	ends map[string]int
	peak map[string]int
}

// watch checks one machine until stop is closed.
func (platform *platform) watch(machine *machine) {
	const interval, restart = 50 * time.Millisecond, 500 * time.Millisecond
	for {
		select {
		case <-platform.stop:
			return
		case <-time.After(interval):
		}
		used := residentMB(machine.command.Process.Pid)
		platform.lock.Lock()
		platform.peak[machine.name] = max(platform.peak[machine.name], used)
		platform.lock.Unlock()
		if used <= memoryLimit {
			continue
		}
		platform.fleet.note("%s uses %d MB of %d MB", machine.name, used, memoryLimit)
		platform.fleet.signal(machine, syscall.SIGKILL)
		<-machine.exited
		platform.lock.Lock()
		platform.ends[machine.name]++
		platform.lock.Unlock()
		time.Sleep(restart)
		machine.bootstrap = false
		if err := platform.fleet.launch(machine); err != nil {
			platform.fleet.note("%s does not start: %v", machine.name, err)
			return
		}
	}
}

// memory sends hundreds of changes of a configuration that has grown by many routes. No core
// machine is disturbed, and none may end by itself.
func memory(fleet *fleet, trouble bool) error {
	const (
		step     = 350
		steps    = 10
		first    = 20
		ends     = 3
		total    = 95 * time.Second
		perRoute = 3 * time.Millisecond
		gap      = 20 * time.Millisecond
	)
	controls, err := fleet.startControls(config(1, first))
	if err != nil {
		return err
	}
	platform := &platform{fleet: fleet, stop: make(chan struct{}), ends: make(map[string]int), peak: make(map[string]int)}
	for _, control := range controls {
		platform.running.Go(func() { platform.watch(control) })
	}
	version, routes := 1, first
	for begun := time.Now(); time.Since(begun) < total; {
		version++
		if trouble && version <= steps+1 {
			routes += step
		}
		bound := ackTime + time.Duration(routes)*perRoute
		fleet.order(fmt.Sprintf("configuration %d with %d routes", version, routes), "/v1/config", config(version, routes), controls, bound)
		time.Sleep(gap)
	}
	close(platform.stop)
	platform.running.Wait()
	fleet.note("%d changes; most memory by machine, MB: %v; ends by machine: %v", version, platform.peak, platform.ends)
	machines, sum := 0, 0
	for _, count := range platform.ends {
		machines++
		sum += count
	}
	if 2*machines >= len(controls) && sum >= ends {
		return fmt.Errorf("%w: processes of %d of %d core machines ended by themselves %d times", errBroken, machines, len(controls), sum)
	}
	return nil
}
