package session

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestScripts guards against sessions that lose a configuration change, a group or a
// conviction. Each file is one scenario in virtual time.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*"))
	is.New(t).NoErr(err)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t)
				defer cluster.stopAll()
				datadriven.RunTest(t, path, cluster.run)
			})
		})
	}
}

func (cluster *cluster) run(t *testing.T, data *datadriven.TestData) string {
	switch data.Cmd {
	case "start":
		cluster.startAll(data.Input)
	case "restart":
		for _, vm := range vmArguments(data) {
			cluster.stop(vm)
			cluster.start(vm)
		}
	case "stop":
		for _, vm := range vmArguments(data) {
			cluster.stop(vm)
		}
	case "elect":
		cluster.elect(vmArguments(data)[0])
	case "cut", "heal":
		cluster.cutLinks(data)
	case "pushes":
		cluster.lock.Lock()
		cluster.dropPushes = data.HasArg("lost")
		cluster.lock.Unlock()
	case "workers":
		cluster.lock.Lock()
		cluster.workersBlocked = data.HasArg("stuck")
		cluster.lock.Unlock()
	case "put":
		return cluster.put(data)
	case "announce":
		cluster.announce(t, data)
	case "crash":
		cluster.crash(t, data)
	case "drain":
		return cluster.drain(t, data)
	case "run":
		// The output is the status after the time of the argument "for".
	case "status":
	default:
		return "unknown command " + data.Cmd
	}
	if data.HasArg("for") {
		var text string
		data.ScanArgs(t, "for", &text)
		duration, err := time.ParseDuration(text)
		if err != nil {
			return err.Error()
		}
		sleep(t.Context(), duration)
	}
	if data.Cmd == "status" || data.Cmd == "run" {
		return cluster.status(data)
	}
	return ""
}

func vmArguments(data *datadriven.TestData) []core.VMID {
	var vms []core.VMID
	for _, arg := range data.CmdArgs {
		if len(arg.Vals) == 0 && arg.Key != "lost" {
			vms = append(vms, core.VMID(arg.Key))
		}
	}
	return vms
}

// startAll starts the VMs of lines with a VM, a zone and optionally "disk".
func (cluster *cluster) startAll(text string) {
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		vm := core.VMID(fields[0])
		cluster.zones[vm] = core.ZoneID(fields[1])
		if len(fields) > 2 {
			cluster.diskVMs = append(cluster.diskVMs, vm)
		}
	}
	cluster.elect(cluster.diskVMs[0])
	for _, vm := range slices.Sorted(maps.Keys(cluster.zones)) {
		cluster.start(vm)
	}
}

// cutLinks cuts or heals the links between the named VMs and all others. With the
// arguments "from" and "to" it does so in that direction only.
func (cluster *cluster) cutLinks(data *datadriven.TestData) {
	if data.HasArg("from") {
		for _, from := range vmsOfArgument(data, "from") {
			for _, to := range vmsOfArgument(data, "to") {
				cluster.setCut(from, to, data.Cmd == "cut")
			}
		}
		return
	}
	isolated := vmArguments(data)
	for vm := range cluster.zones {
		for _, other := range isolated {
			if !slices.Contains(isolated, vm) {
				cluster.setCut(other, vm, data.Cmd == "cut")
				cluster.setCut(vm, other, data.Cmd == "cut")
			}
		}
	}
}

func vmsOfArgument(data *datadriven.TestData, key string) []core.VMID {
	var vms []core.VMID
	for _, arg := range data.CmdArgs {
		if arg.Key == key {
			for _, value := range arg.Vals {
				vms = append(vms, core.VMID(value))
			}
		}
	}
	return vms
}

// put commits a list with one plan of the given name.
func (cluster *cluster) put(data *datadriven.TestData) string {
	var name string
	data.ScanArgs(cluster.t, "plan", &name)
	plans := core.Plans{Plans: []core.Plan{{Plan: core.PlanID(name), Customer: "c", KeyHashes: []core.KeyHash{core.KeyHash(strings.Repeat("a", 64))}}}}
	var number core.ConfigNumber
	sharedReplica{cluster, ""}.View(func(state *ledger.State) { number = state.Number() })
	result := cluster.apply(ledger.Command{PutList: &ledger.PutList{Kind: core.PlansList, Replaces: number, Plans: &plans}})
	return fmt.Sprintf("accepted=%v number=%d\n", result.PutList.Accepted, result.PutList.Number)
}

// announce makes an upstream of each group announce itself to the VM every second.
func (cluster *cluster) announce(t *testing.T, data *datadriven.TestData) {
	vm := vmArguments(data)[0]
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		announcement := core.Announcement{
			Upstream: "engine-" + core.UpstreamID(vm), Group: parseGroup(fields[0]), ChecksFencing: len(fields) > 1,
		}
		go func() {
			for t.Context().Err() == nil {
				if session := cluster.session(vm); session != nil {
					session.RecordAnnouncement(announcement)
				}
				sleep(t.Context(), time.Second)
			}
		}()
	}
}

func (cluster *cluster) crash(t *testing.T, data *datadriven.TestData) {
	report := ledger.CrashReport{Upstream: "engine-1", Incarnation: core.Incarnation(fmt.Sprint(cluster.index)), Fingerprints: []core.Fingerprint{"request"}, ConvictionMillis: 600_000}
	is.New(t).NoErr(cluster.session(vmArguments(data)[0]).ReportCrash(t.Context(), report))
}

func (cluster *cluster) drain(t *testing.T, data *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	before := time.Now()
	err := cluster.session(vmArguments(data)[0]).Drain(ctx)
	return fmt.Sprintf("error=%v within=%s\n", err, time.Since(before).Round(100*time.Millisecond))
}

// status prints the state of each VM. Ages are rounded to whole seconds.
func (cluster *cluster) status(*datadriven.TestData) string {
	synctest.Wait()
	var out strings.Builder
	for _, vm := range slices.Sorted(maps.Keys(cluster.zones)) {
		session := cluster.session(vm)
		if session == nil {
			continue
		}
		fmt.Fprintf(&out, "%s config=%d age=%s", vm, session.Index().Number(), session.ConfigAge().Round(time.Second))
		if crashes := session.Crashes("request"); crashes > 0 {
			fmt.Fprintf(&out, " crashes=%d", crashes)
		}
		for _, group := range slices.SortedFunc(maps.Keys(session.node.holder.Owners()), lease.CompareGroups) {
			token, _, held := session.Lease(group)
			switch {
			case held && token%(1<<ledger.FencingShift) != 0:
				fmt.Fprintf(&out, " took %s", group)
			case held:
				fmt.Fprintf(&out, " holds %s", group)
			}
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}
