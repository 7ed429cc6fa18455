package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// The bounds of the grown sites, which have more core machines.
const (
	grownCatchUp  = 6 * time.Second
	grownContact  = 4 * time.Second
	grownRecovery = 15 * time.Second
)

// runReplaced replaces two of six machines of the core, which stand in different zones, the new ones
// first. When both successors have had the time to catch up, the old machines are stopped, and the two
// machines of the third zone lose their disks, as many as may be lost at once.
func runReplaced(test *test) (bool, error) {
	test.corePerZone, test.tolerated = 2, 2
	if err := test.deploy(0, 3); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	old := test.controls() // a1 b1 c1 a2 b2 c2
	if test.trouble {
		for _, zone := range []string{"a", "b"} {
			added, err := test.addVM("control-"+zone+"3", zone, true)
			if err != nil {
				return false, err
			}
			if err := test.start(added, false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(grownCatchUp + 2*time.Second)
	const version = 7
	if err := test.putConfiguration(version); err != nil {
		return false, err
	}
	if test.trouble {
		for _, vm := range []*vm{old[3], old[4]} {
			if err := test.remove(vm); err != nil {
				return false, err
			}
		}
		wiped := []*vm{old[2], old[5]}
		for _, vm := range wiped {
			if err := test.wipe(vm); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
		for _, vm := range wiped {
			if err := test.start(vm, false); err != nil {
				return false, err
			}
		}
	}
	test.record.note("all machines that are to come back are back")
	time.Sleep(grownRecovery)
	read := 0
	for end := time.Now().Add(2 * grownContact); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, control := range test.controlAddresses() {
			read = max(read, test.readConfiguration(control))
		}
	}
	test.record.note("acknowledged: version %d; read back: version %d (0: none came)", version, read)
	return read < version, nil
}

// remove stops a machine for good, with SIGTERM.
func (test *test) remove(vm *vm) error {
	if err := vm.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", vm.name, err)
	}
	select {
	case <-vm.exited:
	case <-time.After(graceSeconds * time.Second):
		_ = vm.command.Process.Kill()
		<-vm.exited
	}
	vm.command = nil
	test.record.note("%s has ended after SIGTERM and is removed for good", vm.name)
	return nil
}

// wipe kills a machine and empties its disk.
func (test *test) wipe(vm *vm) error {
	test.kill(vm)
	if err := os.RemoveAll(vm.folder); err != nil {
		return fmt.Errorf("empty a disk: %w", err)
	}
	if err := os.MkdirAll(vm.folder, 0o755); err != nil {
		return fmt.Errorf("empty a disk: %w", err)
	}
	test.record.note("%s has lost its disk", vm.name)
	return nil
}

// readConfiguration reads the configuration at a machine and returns its version, zero if none came.
func (test *test) readConfiguration(control string) int {
	status, answer, err := call(test.ctx, http.MethodGet, "http://"+control+"/v1/config", nil)
	var document struct {
		Version int `json:"version"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(answer, &document) != nil {
		test.record.note("a read at %s gets %d", control, status)
		return 0
	}
	return document.Version
}
