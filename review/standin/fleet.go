package main

import (
	"encoding/json"
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

// The bounds of the small deployments.
const (
	heartbeat   = 1200 * time.Millisecond
	contactTime = 3 * time.Second
	ackTime     = 4 * time.Second
	drainTime   = 2 * time.Second
	catchUp     = 4 * time.Second
	recovery    = 12 * time.Second
	graceSecs   = 8
)

// zones are the zones of the deployment.
var zones = []string{"z1", "z2", "z3"}

// machine is one machine and its process.
type machine struct {
	name, role, zone, ip string
	bootstrap            bool
	removed              bool
	dataDir, settings    string
	command              *exec.Cmd
	exited               chan struct{}
}

// fleet holds the processes and the record of one case.
type fleet struct {
	root, folder string
	base         [2]byte
	ports        map[string]int
	start        time.Time

	lock     sync.Mutex
	record   *os.File
	machines []*machine
}

// newFleet chooses addresses and opens the record. The working directory must be the root
// of the repository.
func newFleet(recordPath string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	result := &fleet{
		root: root, folder: folder, record: record, start: time.Now(), ports: make(map[string]int),
		base: [2]byte{byte(10 + rand.IntN(200)), byte(rand.IntN(250))},
	}
	for _, use := range []string{"inner", "control", "front", "ready"} {
		listener, err := net.Listen("tcp", net.JoinHostPort(result.ip(1), "0"))
		if err != nil {
			return nil, err
		}
		result.ports[use] = listener.Addr().(*net.TCPAddr).Port
		defer listener.Close()
	}
	return result, nil
}

// ip returns the n-th loopback address of this case.
func (fleet *fleet) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", fleet.base[0], fleet.base[1], n)
}

// address returns the address of a machine for one use of a port.
func (fleet *fleet) address(ip, use string) string {
	return net.JoinHostPort(ip, strconv.Itoa(fleet.ports[use]))
}

// note adds a line to the record.
func (fleet *fleet) note(format string, arguments ...any) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fmt.Fprintf(fleet.record, "%8.3f  %s\n", time.Since(fleet.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// add describes a machine with the given number. It does not start its process.
func (fleet *fleet) add(number int, role, zone string, bootstrap bool) *machine {
	name := fmt.Sprintf("%s-%d", role, number)
	added := &machine{name: name, role: role, zone: zone, ip: fleet.ip(number), bootstrap: bootstrap}
	added.dataDir = filepath.Join(fleet.folder, name+"-data")
	added.settings = filepath.Join(fleet.folder, name+".json")
	fleet.machines = append(fleet.machines, added)
	return added
}

// seeds returns the operator addresses of the first three core machines that are not removed.
func (fleet *fleet) seeds() []string {
	const most = 3
	var seeds []string
	for _, machine := range fleet.machines {
		if machine.role == "control" && !machine.removed && len(seeds) < most {
			seeds = append(seeds, fleet.address(machine.ip, "control"))
		}
	}
	return seeds
}

// launch writes the settings of a machine and starts its process with the command of the
// deploy file.
func (fleet *fleet) launch(machine *machine) error {
	settings := map[string]any{
		"node": machine.name, "role": machine.role, "ip": machine.ip, "zone": machine.zone, "region": "r",
		"zones":       map[string]string{"z1": "r", "z2": "r", "z3": "r"},
		"inner_ports": []int{fleet.ports["inner"], fleet.ports["inner"]},
		"seeds":       fleet.seeds(), "bootstrap": machine.bootstrap, "counts_as_loss": machine.role == "control",
		"heartbeat_ms": heartbeat.Milliseconds(), "tolerate": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"discovery": "registry", "entry": "vip", "config_mode": "highest",
		"bounds": map[string]any{
			"seed_lag_s": 3, "contact_ms": contactTime.Milliseconds(), "ack_ms": ackTime.Milliseconds(), "catch_up_s": catchUp.Seconds(),
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceSecs, "config_apply_ms": 2000, "budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 54, "recovery_s": recovery.Seconds(), "require_fence": true, "lease_ms": 3000, "version_ms": 5000,
		},
	}
	limits := map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0}
	if machine.role == "control" {
		limits["disk_mb"] = 128
		settings["data_dir"] = machine.dataDir
		settings["listen"] = map[string]string{"control": fleet.address(machine.ip, "control")}
		if err := os.MkdirAll(machine.dataDir, 0o700); err != nil {
			return err
		}
	} else {
		settings["listen"] = map[string]string{"front": fleet.address(machine.ip, "front"), "ready": fleet.address(machine.ip, "ready")}
	}
	settings["limits"] = limits
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(machine.settings, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(fleet.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/dandelionring-node", machine.role)
	command.Dir, command.Stdout, command.Stderr = fleet.root, output, output
	command.Env = append(os.Environ(), "DANDELIONRING_BOOT="+machine.settings)
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := command.Wait()
		fleet.note("process of %s ended: %v", machine.name, err)
		close(exited)
	}()
	fleet.lock.Lock()
	machine.command, machine.exited = command, exited
	fleet.lock.Unlock()
	fleet.note("started %s at %s in %s, bootstrap %t", machine.name, machine.ip, machine.zone, machine.bootstrap)
	return nil
}

// signal sends a signal to the process of a machine.
func (fleet *fleet) signal(machine *machine, signal syscall.Signal) {
	fleet.note("%v to %s", signal, machine.name)
	_ = machine.command.Process.Signal(signal)
}

// kill ends the process of a machine and waits for its end.
func (fleet *fleet) kill(machine *machine) {
	fleet.signal(machine, syscall.SIGKILL)
	<-machine.exited
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (fleet *fleet) close() {
	fleet.lock.Lock()
	var exits []chan struct{}
	for _, machine := range fleet.machines {
		if machine.command != nil {
			_ = machine.command.Process.Kill()
			exits = append(exits, machine.exited)
		}
	}
	fleet.lock.Unlock()
	for _, exited := range exits {
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(fleet.folder)
	}
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.record.Close()
}
