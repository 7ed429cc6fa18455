package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment, which are those of the first sites.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contactTime       = 3 * time.Second
	catchUpTime       = 4 * time.Second
	drainTime         = 2 * time.Second
	recoveryTime      = 12 * time.Second
	graceSeconds      = 8
)

// nodeProgram is the program of the deploy file, relative to the root of the repository, in which
// the cases run.
const nodeProgram = "target/dandelionring-node"

// vm is one machine with one process of the project.
type vm struct {
	name, zone, ip string
	control        bool
	folder         string // of its disk
	command        *exec.Cmd
	exited         chan struct{}
}

// test is one run of a case.
type test struct {
	record  *record
	trouble bool
	folder  string
	ctx     context.Context
	prefix  string
	// Ports, which are the same on all machines.
	innerFirst, innerLast, front, ready, control int

	// corePerZone is the number of machines of the core in each zone, and tolerated the number of them
	// that may be lost at once.
	corePerZone, tolerated int
	// recordEvery is the number of runs of a worker of which one is recorded; zero is like one.
	recordEvery int64

	lock     sync.Mutex
	used     int
	vms      []*vm
	seeds    []string
	requests int
	workers  []*worker
}

// newTest chooses addresses and creates a temporary folder. The function that it returns ends all
// processes and removes the folder.
func newTest(record *record, trouble bool) (*test, func(), error) {
	if _, err := os.Stat(nodeProgram); err != nil {
		return nil, nil, fmt.Errorf("the program of the deploy file is missing: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, nil, fmt.Errorf("create a folder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pid := os.Getpid()
	test := &test{record: record, trouble: trouble, corePerZone: 1, tolerated: 1, folder: folder, ctx: ctx, prefix: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255)}
	end := func() {
		cancel()
		for _, vm := range test.vms {
			test.kill(vm)
		}
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(folder)
		}
	}
	return test, end, nil
}

// nextIP returns a loopback IP number that no other part of the case has.
func (test *test) nextIP() string {
	test.lock.Lock()
	defer test.lock.Unlock()
	test.used++
	return test.prefix + strconv.Itoa(test.used)
}

// freeAddress returns an address with a free port.
func (test *test) freeAddress() (string, error) {
	listener, err := net.Listen("tcp", test.nextIP()+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addVM adds a machine, which is not started.
func (test *test) addVM(name, zone string, control bool) (*vm, error) {
	added := &vm{name: name, zone: zone, ip: test.nextIP(), control: control}
	if control {
		added.folder = filepath.Join(test.folder, "disk-"+name)
		if err := os.MkdirAll(added.folder, 0o755); err != nil {
			return nil, fmt.Errorf("create a disk: %w", err)
		}
	}
	test.vms = append(test.vms, added)
	return added, nil
}

// choosePorts chooses ports that are free on a range of loopback addresses.
func (test *test) choosePorts() error {
	const count = 20
	for range 50 {
		first := 20000 + rand.IntN(10000)
		if test.free(first, count) {
			test.innerFirst, test.innerLast, test.front, test.ready, test.control = first, first+15, first+16, first+17, first+18
			return nil
		}
	}
	return errors.New("no ports are free")
}

func (test *test) free(first, count int) bool {
	for number := 1; number <= 24; number++ {
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(test.prefix+strconv.Itoa(number), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// object is a JSON object.
type object = map[string]any

// settings returns the settings file of a machine, as the users' pages have it.
func (test *test) settings(vm *vm, firstStart bool) ([]byte, error) {
	settings := object{
		"node": vm.name, "ip": vm.ip, "zone": vm.zone, "region": "r", "zones": object{"a": "r", "b": "r", "c": "r"},
		"inner_ports": []int{test.innerFirst, test.innerLast}, "seeds": test.seeds, "bootstrap": firstStart, "counts_as_loss": vm.control,
		"discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"}, "config_mode": "highest",
		"tolerate": object{"machines": test.tolerated, "zones": 1, "regions": 0},
		"bounds": object{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 4000, "catch_up_s": catchUpTime.Seconds(),
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceSeconds, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recovery_s": recoveryTime.Seconds(), "pass_ms": 120, "retry_after_s": 0,
			"require_fence": true, "lease_ms": 3000, "thaw_slack_ms": 300, "ceiling_window_s": 5, "ceiling_overage": 1.1, "version_ms": 5000,
		},
	}
	if vm.control {
		settings["role"], settings["machine_class"], settings["serves"] = "control", "core", []string{"control"}
		settings["listen"], settings["data_dir"] = object{"control": address(vm.ip, test.control)}, vm.folder
		settings["limits"] = object{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000, "disk_mb": 128}
	} else {
		settings["role"], settings["machine_class"], settings["serves"] = "entry", "front", []string{"front"}
		settings["listen"], settings["data_dir"] = object{"front": address(vm.ip, test.front), "ready": address(vm.ip, test.ready)}, nil
		settings["limits"] = object{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0}
	}
	return json.Marshal(settings)
}

// start starts the process of a machine with the command of the deploy file.
func (test *test) start(vm *vm, firstStart bool) error {
	content, err := test.settings(vm, firstStart)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(test.folder, vm.name+".json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(test.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open a log: %w", err)
	}
	defer log.Close()
	role := "entry"
	if vm.control {
		role = "control"
	}
	command := exec.Command(nodeProgram, role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONRING_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	vm.command, vm.exited = command, exited
	test.record.note("%s starts (%s)", vm.name, vm.ip)
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (test *test) kill(vm *vm) {
	if vm.command == nil {
		return
	}
	_ = vm.command.Process.Kill()
	<-vm.exited
	vm.command = nil
	test.record.note("%s is killed", vm.name)
}

// entries returns the machines that clients call.
func (test *test) entries() []*vm { return test.choose(false) }

// controls returns the machines that workers and the operator call.
func (test *test) controls() []*vm { return test.choose(true) }

func (test *test) choose(control bool) []*vm {
	test.lock.Lock()
	defer test.lock.Unlock()
	var chosen []*vm
	for _, vm := range test.vms {
		if vm.control == control {
			chosen = append(chosen, vm)
		}
	}
	return chosen
}

// controlAddresses returns the operator's list.
func (test *test) controlAddresses() []string {
	var all []string
	for _, vm := range test.controls() {
		if vm.command != nil {
			all = append(all, address(vm.ip, test.control))
		}
	}
	return all
}

// maxSeeds is the number of seeds that a process is told.
const maxSeeds = 3

// deploy starts the machines of three zones, one entry machine in each, as at the first start of a
// deployment, then the workers, and sends the first configuration.
func (test *test) deploy(engines, plain int) error {
	if err := test.choosePorts(); err != nil {
		return err
	}
	for number := range test.corePerZone {
		for _, zone := range []string{"a", "b", "c"} {
			vm, err := test.addVM(fmt.Sprintf("control-%s%d", zone, number+1), zone, true)
			if err != nil {
				return err
			}
			if len(test.seeds) < maxSeeds {
				test.seeds = append(test.seeds, address(vm.ip, test.control))
			}
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := test.addVM("entry-"+zone, zone, false); err != nil {
			return err
		}
	}
	for _, vm := range test.vms {
		if err := test.start(vm, true); err != nil {
			return err
		}
	}
	zones := []string{"a", "b", "c"}
	for i := range engines + plain {
		service := "generate"
		if i >= engines {
			service = "book"
		}
		if err := test.startWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := test.putConfiguration(1); err != nil {
		return err
	}
	return test.awaitReady(20 * time.Second)
}

// awaitReady waits until all entry machines say that they are ready.
func (test *test) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); test.sleep(100 * time.Millisecond) {
		ready := true
		for _, vm := range test.entries() {
			ready = ready && test.isReady(vm)
		}
		if ready {
			test.record.note("all entry machines are ready")
			return nil
		}
	}
	return errors.New("the entry machines are not ready in time")
}

func (test *test) sleep(length time.Duration) { time.Sleep(length) }
