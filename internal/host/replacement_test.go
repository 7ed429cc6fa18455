package host

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// TestReplacementScripts guards against a group that cannot commit any more, though a majority
// of its VMs runs, after one VM was replaced by another one and a third has lost its disk. The
// scripts run in virtual time.
func TestReplacementScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/replacement", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			size, zones, voters := 3, 3, 3
			data.MaybeScanArgs(t, "vms", &size)
			data.MaybeScanArgs(t, "zones", &zones)
			data.MaybeScanArgs(t, "voters", &voters)
			runCluster(t, size, func(cluster *cluster) {
				script := newReplacementScript(cluster, zones, voters)
				for line := range strings.Lines(data.Input) {
					out.WriteString(script.run(strings.Fields(line)))
				}
			})
			return out.String()
		})
	})
}

// replacementScript runs the commands of one script against VMs that discover each other: three in
// zones of their own unless the script has other numbers.
type replacementScript struct {
	*cluster
	// names maps leader, follower, other and successor to VMs, and their numbers.
	names map[string]core.VMID
	zones map[core.VMID]core.ZoneID
}

func newReplacementScript(cluster *cluster, zones, voters int) *replacementScript {
	script := &replacementScript{cluster: cluster, names: make(map[string]core.VMID), zones: make(map[core.VMID]core.ZoneID)}
	for i, vm := range cluster.vms {
		script.zones[vm] = core.ZoneID(fmt.Sprint("zone-", i%zones))
		script.names[fmt.Sprint(i)] = vm
	}
	cluster.config.Voters, cluster.config.NoClaims = voters, true
	cluster.config.Zone, cluster.config.Discover = script.zone, script.running
	client := cluster.config
	client.VM = "entry"
	cluster.client = NewClient(client, nil, endpoint{cluster.network, "entry"})
	cluster.start(cluster.vms...)
	cluster.is.Equal(script.commit(), "committed\n")
	followers := []string{"follower", "other"}
	for _, vm := range cluster.vms {
		switch {
		case vm == cluster.leader(0):
			script.names["leader"] = vm
		case len(followers) > 0:
			script.names[followers[0]], followers = vm, followers[1:]
		}
	}
	return script
}

func (script *replacementScript) zone(vm core.VMID) core.ZoneID {
	script.network.lock.Lock()
	defer script.network.lock.Unlock()
	return script.zones[vm]
}

// running returns the VMs whose processes run.
func (script *replacementScript) running() []core.VMID {
	script.network.lock.Lock()
	defer script.network.lock.Unlock()
	var running []core.VMID
	for vm, host := range script.network.hosts {
		if host != nil {
			running = append(running, vm)
		}
	}
	slices.Sort(running)
	return running
}

// run runs one command and returns its output.
func (script *replacementScript) run(words []string) string {
	switch words[0] {
	case "successor", "first": // of a VM: starts a new VM in its zone, later or with the first start
		vm := core.VMID(fmt.Sprint("vm-", len(script.vms)))
		script.network.lock.Lock()
		script.zones[vm] = script.zones[script.names[words[1]]]
		script.network.lock.Unlock()
		script.names["successor"], script.names[fmt.Sprint(len(script.vms))] = vm, vm
		script.vms = append(script.vms, vm)
		if words[0] == "first" {
			script.start(vm)
			return ""
		}
		script.startLater(vm)
	case "stop":
		script.stop(script.names[words[1]])
	case "wipe":
		script.stop(script.names[words[1]])
		script.wipe(script.names[words[1]])
	case "restart":
		script.startLater(script.names[words[1]])
	case "wait":
		duration, err := time.ParseDuration(words[1])
		script.is.NoErr(err)
		sleep(context.Background(), duration)
	case "voters":
		return script.voters()
	case "commit":
		return script.commit()
	default:
		return "unknown command\n"
	}
	return ""
}

// startLater starts a VM that was not part of the first start, or is started again.
func (script *replacementScript) startLater(vm core.VMID) {
	script.config.Restart = true
	script.start(vm)
}

// voters returns the names of the voters, of which those that run an incarnation without the
// log are left out.
func (script *replacementScript) voters() string {
	var present []string
	for name, vm := range script.names {
		if _, err := strconv.Atoi(name); err == nil {
			continue
		}
		replica, leader := script.replica(vm, 0), script.leader(0)
		if replica == nil || leader == "" {
			continue
		}
		if script.replica(leader, 0).Status().Membership.IsVoter(raft.ReplicaID{VM: vm, Incarnation: replica.Incarnation()}) {
			present = append(present, name)
		}
	}
	slices.Sort(present)
	return strings.Join(present, " ") + "\n"
}

// commit commits a command within 12 s, the time in which a deployment recovers.
func (script *replacementScript) commit() string {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	announcement := ledger.AnnounceRevision{Weights: core.WeightKey{Model: "m"}, Revision: 1}
	if _, err := script.client.Propose(ctx, 0, ledger.Command{NameRevision: &announcement}); err != nil {
		return err.Error() + "\n"
	}
	return "committed\n"
}
