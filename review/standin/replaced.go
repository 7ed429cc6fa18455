package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// replaced replaces a core machine as planned work: its successor starts first. Once the
// successor has had the time to catch up, another core machine loses its disk.
func replaced(fleet *fleet, trouble bool) error {
	const (
		acknowledged = 2
		calm         = 5 * time.Second
		overlap      = 2 * time.Second // from the start of the successor to SIGTERM
		margin       = 500 * time.Millisecond
		down         = time.Second
		readTime     = 2 * contactTime
	)
	controls, err := fleet.startControls(config(1, 10))
	if err != nil {
		return err
	}
	time.Sleep(calm)
	if !fleet.order("configuration 2", "/v1/config", config(acknowledged, 12), controls, ackTime) {
		return fmt.Errorf("configuration %d was not acknowledged", acknowledged)
	}
	running := controls
	if trouble {
		leaving, wiped := controls[2], controls[1]
		successor := fleet.add(4, "control", leaving.zone, false)
		successorStart := time.Now()
		if err := fleet.launch(successor); err != nil {
			return err
		}
		time.Sleep(overlap)
		fleet.signal(leaving, syscall.SIGTERM)
		select {
		case <-leaving.exited:
		case <-time.After(graceSecs * time.Second):
			fleet.kill(leaving)
		}
		leaving.removed = true
		fleet.note("%s is removed for good", leaving.name)
		time.Sleep(time.Until(successorStart.Add(catchUp + margin)))
		fleet.note("%s has run for %v; %s loses its disk", successor.name, time.Since(successorStart).Round(time.Millisecond), wiped.name)
		fleet.kill(wiped)
		if err := os.RemoveAll(wiped.dataDir); err != nil {
			return err
		}
		time.Sleep(down)
		wiped.bootstrap = false
		if err := fleet.launch(wiped); err != nil {
			return err
		}
		running = []*machine{controls[0], wiped, successor}
	}
	time.Sleep(recovery)
	newest := fleet.readBack(running, readTime)
	ordered := fleet.order("configuration 3", "/v1/config", config(3, 14), running, 2*recovery)
	if newest < acknowledged {
		return fmt.Errorf("%w: configuration %d was acknowledged and is not read back from %d running core machines (a later one acknowledged: %t)", errBroken, acknowledged, len(running), ordered)
	}
	return nil
}
