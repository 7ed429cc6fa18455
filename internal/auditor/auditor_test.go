package auditor

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// deployment is a set of auditors that are connected in memory.
type deployment struct {
	queue   int
	gather  time.Duration
	flush   time.Duration
	members []Member
	vms     map[core.VMID]*Auditor
	disks   map[core.VMID]*disk
	closers []func()

	mutex sync.Mutex
	// groups are the groups of control VMs that VMs state.
	groups map[core.VMID]*wire.ControlGroup
	// modes holds the state of a VM: empty, down (calls fail at once), silent (calls time
	// out) or lost (its answers are lost).
	modes map[core.VMID]string
}

// disk is a store that keeps records in memory.
type disk struct {
	mutex    sync.Mutex
	failed   bool
	payloads []audit.Payload
}

// Append keeps the payloads, or returns an error if the disk has failed.
func (disk *disk) Append(_ context.Context, payloads ...audit.Payload) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.failed {
		return errors.New("the disk failed")
	}
	disk.payloads = append(disk.payloads, payloads...)
	return nil
}

// stored returns the payloads that are on the disk now.
func (disk *disk) stored() []audit.Payload {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return slices.Clone(disk.payloads)
}

func (disk *disk) setFailed(failed bool) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.failed = failed
}

// link sends the requests of one VM to the others.
type link struct {
	deployment *deployment
	from       core.VMID
}

// Call passes a request to another VM, subject to the modes of both VMs.
func (link link) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	switch mode := link.deployment.mode(link.from) + link.deployment.mode(vm); mode {
	case "":
	case "lost":
		link.deployment.vms[vm].Receive(ctx, request.GetAudit())
		return nil, errors.New("the answer was lost")
	case "down":
		return nil, errors.New("down")
	default:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	result := link.deployment.vms[vm].Receive(ctx, request.GetAudit())
	if request.GetAudit().GetMajority() {
		result.Group = link.deployment.group(vm)
	}
	return &wire.Response{Body: &wire.Response_AuditResult{AuditResult: result}}, nil
}

func (deployment *deployment) mode(vm core.VMID) string {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return deployment.modes[vm]
}

func (deployment *deployment) setMode(vm core.VMID, mode string) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.modes[vm] = mode
}

func (deployment *deployment) group(vm core.VMID) *wire.ControlGroup {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return deployment.groups[vm]
}

func (deployment *deployment) setGroup(vm core.VMID, group *wire.ControlGroup) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.groups[vm] = group
}

// open starts an auditor on every VM.
func (deployment *deployment) open() {
	for _, member := range deployment.members {
		options := Options{
			Self: member, Incarnation: "i", Members: deployment.members, Queue: deployment.queue,
			Gather: deployment.gather, CopyDelay: deployment.gather, Flush: deployment.flush,
			Caller: link{deployment, member.VM}, Logger: log.New(io.Discard),
		}
		if member.Disk {
			deployment.disks[member.VM] = &disk{}
			options.Store = deployment.disks[member.VM]
		}
		auditor, closeAuditor := New(options)
		deployment.vms[member.VM] = auditor
		deployment.closers = append(deployment.closers, closeAuditor)
	}
}

func (deployment *deployment) start(vm core.VMID, request string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	began := time.Now()
	err := deployment.vms[vm].Start(ctx, audit.Record{Event: audit.EventStart, Request: core.RequestID(request)})
	if err != nil {
		return fmt.Sprintf("%s: %v after %v\n", request, err, time.Since(began))
	}
	return fmt.Sprintf("%s: accepted after %v\n", request, time.Since(began))
}

// begin calls StartWithin with the given limit.
func (deployment *deployment) begin(vm core.VMID, request, limit string) string {
	span, err := time.ParseDuration(limit)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	err = deployment.vms[vm].StartWithin(context.Background(), audit.Record{Event: audit.EventStart, Request: core.RequestID(request)}, span)
	if err != nil {
		return fmt.Sprintf("%s: %v after %v\n", request, err, time.Since(began))
	}
	return fmt.Sprintf("%s: begun after %v\n", request, time.Since(began))
}

// majority calls StartOnMajority with the given limit.
func (deployment *deployment) majority(vm core.VMID, request, limit string) string {
	span, err := time.ParseDuration(limit)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	err = deployment.vms[vm].StartOnMajority(context.Background(), audit.Record{Event: audit.EventStart, Request: core.RequestID(request)}, span)
	if err != nil {
		return fmt.Sprintf("%s: %v after %v\n", request, err, time.Since(began))
	}
	return fmt.Sprintf("%s: on a majority after %v\n", request, time.Since(began))
}

// show lists the records on every disk.
func (deployment *deployment) show(t *testing.T) string {
	var text strings.Builder
	for _, member := range deployment.members {
		disk := deployment.disks[member.VM]
		if disk == nil {
			continue
		}
		fmt.Fprintf(&text, "%s:", member.VM)
		for _, payload := range disk.stored() {
			record, err := audit.Decode(payload)
			is.New(t).NoErr(err)
			fmt.Fprintf(&text, " %s/%d-%s-%s", record.VM, record.Sequence, record.Event, record.Request)
			if record.Buffered {
				text.WriteString("-buffered")
			}
		}
		text.WriteString("\n")
	}
	return text.String()
}

// copies lists the records and whether they are on two disks, for scenarios that send to
// several disks concurrently, so that the choice of disks varies.
func (deployment *deployment) copies(t *testing.T) string {
	disks := make(map[string]int)
	for _, disk := range deployment.disks {
		seen := make(map[string]bool)
		for _, payload := range disk.stored() {
			record, err := audit.Decode(payload)
			is.New(t).NoErr(err)
			seen[fmt.Sprintf("%s/%d-%s-%s", record.VM, record.Sequence, record.Event, record.Request)] = true
		}
		for name := range seen {
			disks[name]++
		}
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(disks)) {
		fmt.Fprintf(&text, "%s on two disks: %t\n", name, disks[name] >= 2)
	}
	return text.String()
}

// run executes one line of a scenario and returns its output.
func (deployment *deployment) run(t *testing.T, words []string) string {
	is := is.New(t)
	vm := core.VMID(words[1])
	switch words[0] {
	case "vm":
		deployment.members = append(deployment.members, Member{vm, core.ZoneID(words[2]), words[3] == "disk"})
	case "queue":
		var err error
		deployment.queue, err = strconv.Atoi(words[1])
		is.NoErr(err)
	case "gather":
		var err error
		deployment.gather, err = time.ParseDuration(words[1])
		is.NoErr(err)
	case "open":
		deployment.open()
	case "begin":
		return deployment.begin(vm, words[2], words[3])
	case "group": // states the number and the VMs of the group in answers of a VM
		number, _ := strconv.ParseUint(words[2], 10, 64)
		deployment.setGroup(vm, &wire.ControlGroup{Number: number, Vms: words[3:]})
	case "majority":
		return deployment.majority(vm, words[2], words[3])
	case "members":
		var members []Member
		for _, member := range deployment.members {
			if slices.Contains(words[2:], string(member.VM)) {
				members = append(members, member)
			}
		}
		deployment.vms[vm].SetMembers(members)
	case "start":
		return deployment.start(vm, words[2])
	case "end":
		deployment.vms[vm].End(audit.Record{Event: audit.EventEnd, Request: core.RequestID(words[2])})
	case "down", "silent", "lost":
		deployment.setMode(vm, words[0])
	case "up":
		deployment.setMode(vm, "")
	case "fail":
		deployment.disks[vm].setFailed(true)
	case "mend":
		deployment.disks[vm].setFailed(false)
	case "wait":
		duration, err := time.ParseDuration(words[1])
		is.NoErr(err)
		<-time.After(duration)
	case "show":
		synctest.Wait()
		return deployment.show(t)
	case "copies":
		synctest.Wait()
		return deployment.copies(t)
	default:
		t.Fatalf("unknown line %q", words)
	}
	return ""
}

// TestScenarios guards against a Start that returns before its record is on a disk or
// buffered, against a StartOnMajority that returns before a majority has it or that waits for a VM
// which stands still, against records that are lost or lack a second copy when disks fail or zones
// are unreachable, and against requests that wait for VMs that are known not to respond.
// Scenarios are read from testdata/scenarios and run in virtual time.
func TestScenarios(t *testing.T) {
	datadriven.RunTest(t, "testdata/scenarios", func(t *testing.T, data *datadriven.TestData) string {
		var text strings.Builder
		synctest.Test(t, func(t *testing.T) {
			deployment := &deployment{
				vms: make(map[core.VMID]*Auditor), disks: make(map[core.VMID]*disk), modes: make(map[core.VMID]string),
				groups: make(map[core.VMID]*wire.ControlGroup),
			}
			for line := range strings.Lines(data.Input) {
				text.WriteString(deployment.run(t, strings.Fields(line)))
			}
			for _, closeAuditor := range deployment.closers {
				closeAuditor()
			}
		})
		return text.String()
	})
}
