package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"time"
)

// The bounds of a grown site.
const (
	catchUp      = 6 * time.Second
	recovery     = 15 * time.Second
	grownContact = 4 * time.Second
)

// voters returns the machines whose replicas vote, after the membership changes in the logs of the
// control machines. The choice of the machine to replace is the operator's; the logs are read only
// to make an unlucky one.
func (deployment *deployment) voters(cores []*machine) (map[*machine]bool, error) {
	type step struct{ at, kind, address string }
	var steps []step
	pattern := regexp.MustCompile(`time=(\S+) .*"Proposed a membership change." .*replica=([0-9.]+:[0-9]+)/\S+ step="?(add learner|add successor|promote|demote|remove)`)
	for _, core := range cores {
		content, err := os.ReadFile(filepath.Join(deployment.folder, core.name+".log"))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotPlayed, err)
		}
		for _, match := range pattern.FindAllStringSubmatch(string(content), -1) {
			steps = append(steps, step{match[1], match[3], match[2]})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	voters := make(map[*machine]bool)
	for _, core := range cores {
		voters[core] = true
		for _, step := range steps {
			if step.address == core.address("inner") {
				voters[core] = step.kind == "promote"
			}
		}
	}
	return voters, nil
}

// chooseOld returns the machine to replace, the last one of a zone with two voters, and two voters
// of other zones.
func chooseOld(cores []*machine, voters map[*machine]bool) (old *machine, others []*machine) {
	perZone := make(map[string]int)
	for _, core := range cores {
		if voters[core] {
			if perZone[core.zone]++; perZone[core.zone] == 2 && old == nil {
				old = core
			}
		}
	}
	for _, core := range cores {
		if old != nil && voters[core] && core.zone != old.zone && len(others) < 2 {
			others = append(others, core)
		}
	}
	return old, others
}

// playReplace replaces a core machine by an empty one, which has had its time to catch up when the
// old one goes. At that moment two more machines lose their disks, as many as may be lost at once.
func playReplace(deployment *deployment, trouble bool) (bool, error) {
	var cores []*machine
	for _, machine := range deployment.machines {
		if machine.control && !machine.late {
			cores = append(cores, machine)
		}
	}
	spare := deployment.machines[len(cores)]
	version := 0
	put := func() error {
		version++
		content, err := config(version, []object{route("r-1", "/lohu930/", "huvo11a", 1500+version)}, "huvo11a")
		if err != nil {
			return err
		}
		if !deployment.putConfig(content, version, startLimit, time.Second) {
			return fmt.Errorf("%w: version %d was not acknowledged", errNotPlayed, version)
		}
		deployment.record.write("operator: version %d is acknowledged", version)
		return nil
	}
	if err := put(); err != nil {
		return false, err
	}
	// The group has its full number of voters some polls after the start.
	time.Sleep(10 * time.Second)
	voters, err := deployment.voters(cores)
	if err != nil {
		return false, err
	}
	old, others := chooseOld(cores, voters)
	if len(others) < 2 {
		return false, fmt.Errorf("%w: no zone has two voters", errNotPlayed)
	}
	if trouble {
		spare.zone = old.zone
		spare.hold(false)
		deployment.record.write("%s starts in %s with an empty disk; it is to replace %s", spare.name, spare.zone, old.name)
		time.Sleep(catchUp + 2*time.Second)
	}
	if err := put(); err != nil {
		return false, err
	}
	if trouble {
		old.hold(true)
		deployment.record.write("%s is removed for good, %v after the start of its successor", old.name, catchUp+2*time.Second)
		var losing sync.WaitGroup
		for _, machine := range others {
			losing.Go(func() { _ = machine.loseDisk(time.Second) })
		}
		losing.Wait()
		deployment.record.write("all machines but the removed one run again")
		cores = append(cores, spare)
	}
	time.Sleep(recovery)
	// The operator reads the configuration back.
	for end := time.Now().Add(3 * grownContact); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, core := range cores {
			if core == old && trouble {
				continue
			}
			status, body := call(deployment.ctx, http.MethodGet, core.address("control"), "/v1/config", nil, time.Second)
			var read struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(body, &read) == nil {
				deployment.record.write("%s reads version %d back, acknowledged was %d", core.name, read.Version, version)
				return read.Version < version, nil
			}
		}
	}
	deployment.record.write("CONFIG: no machine reads the configuration back, %v after all machines are back; version %d was acknowledged", recovery+3*grownContact, version)
	return true, nil
}
