package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// engineRestartDelay is the time after which an upstream that crashed starts again, and
// vmRestartDelay the same for a VM.
const (
	engineRestartDelay = 2 * time.Second
	vmRestartDelay     = 500 * time.Millisecond
)

// layOut chooses the addresses and prepares all processes.
func (player *player) layOut() error {
	block := newBlock()
	if err := player.layOutVMs(block); err != nil {
		return err
	}
	return player.layOutUpstreams(block)
}

func (player *player) layOutVMs(block *addressBlock) error {
	for _, zone := range player.play.Zones {
		for i := range zone.Controls {
			player.vms = append(player.vms, VM{Name: controlName(zone, i), Control: true, Zone: zone.Zone, IP: block.next()})
		}
		for i := range zone.Entries {
			player.vms = append(player.vms, VM{Name: fmt.Sprintf("entry-%s-%d", zone.Zone, i+1), Zone: zone.Zone, IP: block.next()})
		}
	}
	var err error
	if player.ports, err = block.commonPorts(); err != nil {
		return errors.Wrap(err, "choose ports")
	}
	const maxSeeds = 3
	for _, vm := range player.vms {
		if vm.Control {
			player.addresses = append(player.addresses, join(vm.IP, player.ports.Control))
		}
	}
	for i := range player.vms {
		vm := &player.vms[i]
		vm.Ports, vm.Seeds = player.ports, player.addresses[:min(maxSeeds, len(player.addresses))]
		if vm.Control {
			vm.DataFolder = filepath.Join(player.options.Folder, "disk-"+vm.Name)
			if err := os.MkdirAll(vm.DataFolder, 0o755); err != nil {
				return errors.Wrap(err, "create a disk folder")
			}
		}
		player.processes[vm.Name] = &process{
			name: vm.Name, restartDelay: vmRestartDelay, ended: player.endedByItself,
			command: func(first bool) (*exec.Cmd, error) { return player.vmCommand(*vm, first) },
		}
	}
	return nil
}

// endedByItself counts the end of a VM, which is no disruption.
func (player *player) endedByItself(name string, err error) {
	player.log("%s has ended by itself: %v", name, err)
	player.lock.Lock()
	defer player.lock.Unlock()
	player.ends[name]++
}

// vmCommand writes the settings file of a VM and returns the command that starts it.
func (player *player) vmCommand(vm VM, first bool) (*exec.Cmd, error) {
	vm.FirstStart = first
	variable, content, err := player.messages.Settings(vm, player.play)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(player.options.Folder, vm.Name+".settings.json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	role := "entry"
	if vm.Control {
		role = "control"
	}
	command := exec.Command(player.options.Node, role)
	command.Env = append(os.Environ(), variable+"="+path)
	return command, nil
}

func (player *player) layOutUpstreams(block *addressBlock) error {
	for _, service := range player.play.Services {
		count := 0
		for _, zone := range player.play.Zones {
			for range zone.Upstreams[service.Service] {
				count++
				if err := player.addUpstream(block, service, zone.Zone, count); err != nil {
					return errors.Wrap(err, "add an upstream")
				}
			}
		}
	}
	return nil
}

// addUpstream adds the upstream with a number within its service. Every second one is
// reached through a relay.
func (player *player) addUpstream(block *addressBlock, service Service, zone core.ZoneID, number int) error {
	listen, err := block.address()
	if err != nil {
		return err
	}
	options := UpstreamOptions{
		Process: fmt.Sprintf("%s-%s-%d", service.Service, zone, number), Service: service.Service, Zone: zone,
		Software: player.play.Versions[number%len(player.play.Versions)], Format: player.play.Formats[number%len(player.play.Formats)],
		Listen: listen, Address: listen, Controls: player.addresses, Spec: service.Spec,
		BeatMillis: player.play.Bounds.HeartbeatMillis, DrainMillis: player.play.Bounds.DrainMillis, RecordsFolder: player.options.Folder,
		Seed: player.random.Uint64(),
	}
	if service.Engine {
		options.Model = player.play.Model
	}
	if number%2 == 0 {
		if options.Address, err = block.address(); err != nil {
			return err
		}
		if options.RelayControl, err = block.address(); err != nil {
			return err
		}
		player.links.upstreams[options.Process] = options
	}
	player.upstreams = append(player.upstreams, options)
	player.processes[options.Process] = &process{
		name: options.Process, restartDelay: engineRestartDelay,
		ended: func(name string, err error) {
			player.log("%s has ended: %v", name, err)
			player.recorder.Write(Record{Event: Disrupted, Process: name, Detail: "crashed"})
			player.recorder.Write(Record{Event: Restored, Process: name, At: time.Now().Add(engineRestartDelay).UnixMicro(), Detail: "crashed"})
		},
		command: func(bool) (*exec.Cmd, error) { return player.upstreamCommand(options) },
	}
	return nil
}

// upstreamCommand returns the command that starts an upstream: mostly under a new ID, since
// an upstream may also come back under the one that it had.
func (player *player) upstreamCommand(options UpstreamOptions) (*exec.Cmd, error) {
	player.lock.Lock()
	if player.starts[options.Process] == 0 || player.random.IntN(4) != 0 {
		player.starts[options.Process]++
	}
	options.Upstream = core.UpstreamID("i-" + options.Process + "-" + strconv.Itoa(player.starts[options.Process]))
	player.lock.Unlock()
	content, err := json.Marshal(options)
	if err != nil {
		return nil, errors.Wrap(err, "encode options")
	}
	path := filepath.Join(player.options.Folder, options.Process+".options.json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, errors.Wrap(err, "write options")
	}
	return exec.Command(player.options.Self, "upstream", path), nil
}

// ReadUpstreamOptions reads the options of an upstream that the player has written.
func ReadUpstreamOptions(path string) (UpstreamOptions, error) {
	var options UpstreamOptions
	data, err := os.ReadFile(path)
	if err != nil {
		return options, errors.Wrap(err, "read options")
	}
	if err := json.Unmarshal(data, &options); err != nil {
		return options, errors.Wrap(err, path)
	}
	return options, nil
}

// addressBlock hands out loopback IP numbers that belong to this process alone, so that two
// plays do not share one.
type addressBlock struct {
	prefix string
	used   int
}

func newBlock() *addressBlock {
	pid := os.Getpid()
	return &addressBlock{prefix: fmt.Sprintf("127.%d.%d.", 128+pid>>8&63, pid&255)}
}

// next returns the next IP number.
func (block *addressBlock) next() string {
	block.used++
	return block.prefix + strconv.Itoa(block.used)
}

// address returns the next IP number with a free port.
func (block *addressBlock) address() (string, error) {
	listener, err := net.Listen("tcp", block.next()+":0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

const (
	// innerPorts is the number of ports for messages between VMs.
	innerPorts = 16
	// commonPortAttempts bounds the search for ports that are free on all VMs.
	commonPortAttempts = 100
)

// commonPorts returns ports that are free on all IP numbers handed out so far.
func (block *addressBlock) commonPorts() (Ports, error) {
	for range commonPortAttempts {
		first := 20000 + rand.IntN(10000)
		if block.free(first, innerPorts+3) {
			return Ports{
				InnerFirst: first, InnerLast: first + innerPorts - 1,
				Caller: first + innerPorts, Ready: first + innerPorts + 1, Control: first + innerPorts + 2,
			}, nil
		}
	}
	return Ports{}, errors.New("no ports are free on all VMs")
}

// free reports whether consecutive ports are free on all IP numbers handed out.
func (block *addressBlock) free(first, count int) bool {
	for number := 1; number <= block.used; number++ {
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", join(block.prefix+strconv.Itoa(number), port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
