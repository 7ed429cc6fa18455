package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Options are the options of a player.
type Options struct {
	// Node is the program of the VMs, and Self the program whose subcommand "upstream" runs
	// an upstream.
	Node, Self string
	// Folder holds the settings, logs, disks and records of the play.
	Folder string
	Seed   uint64
	// Log takes the faults as they happen.
	Log io.Writer
}

// player plays one play.
type player struct {
	play      *Play
	options   Options
	messages  DeploymentMessages
	recorder  *Recorder
	links     *links
	ports     Ports
	addresses []string // of the control VMs for operators and upstreams
	vms       []VM
	upstreams []UpstreamOptions
	processes map[string]*process
	random    *rand.Rand
	callers   *callers
	number    core.ConfigNumber
	changes   int
	// accepted is the number of changes in the newest configuration that was accepted.
	accepted atomic.Int64
	begin    time.Time
	// lock guards the fields below; no other lock is acquired while it is held.
	lock   sync.Mutex
	ends   map[string]int // the times that a VM has ended by itself
	starts map[string]int
}

// Summary is what the player itself has seen.
type Summary struct {
	// Ends counts the ends of VMs by themselves.
	Ends map[string]int
	// Attempts counts the attempts of callers by route and result.
	Attempts map[string]int
}

// Run plays a play from the start of the processes to their end. The records are in the
// folder then, in files with the suffix ".records".
func Run(ctx context.Context, play *Play, options Options, messages DeploymentMessages) (Summary, error) {
	recorder, closeRecords, err := NewRecorder(filepath.Join(options.Folder, "player.records"))
	if err != nil {
		return Summary{}, errors.Wrap(err, "open the records of the player")
	}
	defer func() { _ = closeRecords() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	player := &player{
		play: play, options: options, messages: messages, recorder: recorder, links: &links{client: http.Client{Timeout: callTimeout}, upstreams: make(map[string]UpstreamOptions)},
		processes: make(map[string]*process), random: rand.New(rand.NewPCG(options.Seed, 1)), ends: make(map[string]int), starts: make(map[string]int),
	}
	if err := player.layOut(); err != nil {
		return Summary{}, errors.Wrap(err, "lay out the deployment")
	}
	var running sync.WaitGroup
	failed := make(chan error, len(player.processes)+1)
	for name, process := range player.processes {
		log, err := os.Create(filepath.Join(options.Folder, name+".log"))
		if err != nil {
			cancel()
			running.Wait()
			return Summary{}, errors.Wrap(err, "create a log")
		}
		running.Go(func() {
			defer log.Close()
			if err := process.supervise(ctx, log); err != nil {
				failed <- err
				cancel()
			}
		})
	}
	err = player.perform(ctx)
	cancel()
	running.Wait()
	select {
	case failure := <-failed:
		return Summary{}, failure
	default:
	}
	if err != nil {
		return Summary{}, err
	}
	return Summary{Ends: player.ends, Attempts: player.callers.results}, nil
}

// startLimit is the time in which the deployment must be ready to serve.
const startLimit = 30 * time.Second

// perform configures the deployment, sends requests and carries out the faults.
func (player *player) perform(ctx context.Context) error {
	balancer := &balancer{path: player.messages.Paths().Ready, client: http.Client{Timeout: checkTimeout}, missed: make(map[string]int)}
	for _, vm := range player.vms {
		if !vm.Control {
			balancer.entries = append(balancer.entries, entryVM{
				name: vm.Name, zone: vm.Zone, address: join(vm.IP, player.ports.Caller), ready: join(vm.IP, player.ports.Ready),
			})
		}
	}
	watching, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go balancer.watch(watching)
	started, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := player.configure(started); err != nil {
		return errors.Wrap(err, "send the first configuration")
	}
	for balancer.ready() < len(balancer.entries) {
		if started.Err() != nil {
			return errors.Errorf("%d of %d entry VMs are ready in time", balancer.ready(), len(balancer.entries))
		}
		pause(started, checkInterval/4)
	}
	player.log("ready: %d entry VMs", len(balancer.entries))
	player.callers = newCallers(player.play, player.messages.Headers(), balancer, player.recorder, &player.accepted, rand.New(rand.NewPCG(player.options.Seed, 2)))
	faults := planFaults(player.play, player.members(), rand.New(rand.NewPCG(player.options.Seed, 3)))
	sending, stopSending := context.WithTimeout(ctx, player.play.length())
	defer stopSending()
	player.begin = time.Now()
	var working sync.WaitGroup
	working.Go(func() { player.callers.send(sending) })
	for i, fault := range faults {
		pause(sending, fault.After-time.Since(player.begin))
		if sending.Err() != nil {
			break
		}
		player.log("%s %v %v", fault.Kind, fault.Length, fault.Targets)
		working.Go(func() { player.inject(sending, i, fault) })
	}
	<-sending.Done()
	working.Wait()
	player.callers.close()
	return ctx.Err()
}

func (player *player) log(format string, values ...any) {
	since := 0.0
	if !player.begin.IsZero() {
		since = time.Since(player.begin).Seconds()
	}
	fmt.Fprintf(player.options.Log, "%6.2f %s\n", since, fmt.Sprintf(format, values...))
}

// configure sends a new configuration to the control VMs until one accepts it.
func (player *player) configure(ctx context.Context) error {
	player.lock.Lock()
	player.number += core.ConfigNumber(1 + player.random.IntN(5))
	configuration := Configuration{Number: player.number, Changes: player.changes}
	player.changes++
	first := player.random.IntN(len(player.addresses))
	player.lock.Unlock()
	body, err := player.messages.Configuration(configuration, player.play)
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	client := http.Client{Timeout: callTimeout}
	for i := first; ; i++ {
		status, err := put(ctx, &client, "http://"+player.addresses[i%len(player.addresses)]+player.messages.Paths().Config, body)
		if err == nil && status == http.StatusOK {
			player.accepted.Store(max(player.accepted.Load(), int64(configuration.Changes)))
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("no control VM accepts the configuration; the last answer is %d, %v", status, err)
		}
		pause(ctx, announceRetry)
	}
}

// put sends a document and returns the status of the response.
func put(ctx context.Context, client *http.Client, url string, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make the call")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call a control VM")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "read the response")
	}
	return response.StatusCode, nil
}

// members returns the processes among which faults choose.
func (player *player) members() members {
	members := members{tolerate: player.play.Bounds.Tolerate, catchUp: time.Duration(player.play.Bounds.CatchUpSeconds * float64(time.Second))}
	for _, zone := range player.play.Zones {
		var names []string
		for _, vm := range player.vms {
			if vm.Zone == zone.Zone {
				names = append(names, vm.Name)
			}
		}
		members.zones = append(members.zones, names)
	}
	for _, vm := range player.vms {
		if vm.Control {
			members.controls = append(members.controls, vm.Name)
		} else {
			members.entries = append(members.entries, vm.Name)
		}
	}
	for _, upstream := range player.upstreams {
		members.upstreams = append(members.upstreams, upstream.Process)
		if upstream.Service == player.play.Services[0].Service {
			members.engines = append(members.engines, upstream.Process)
		}
		if upstream.RelayControl != "" {
			members.relayed = append(members.relayed, upstream.Process)
		}
	}
	return members
}

// inject carries out a fault and undoes it after its length.
func (player *player) inject(ctx context.Context, index int, fault Fault) {
	switch fault.Kind {
	case Burst:
		player.callers.ratePercent.Store(220)
		pause(ctx, fault.Length)
		player.callers.ratePercent.Store(100)
	case LoseAnswers:
		// The links to the upstreams and their processes are whole: this is no disruption.
		player.signal(fault.Targets, BeginFaulty)
		pause(ctx, fault.Length)
		player.signal(fault.Targets, EndFaulty)
	case Change:
		limited, cancel := context.WithTimeout(ctx, startLimit)
		defer cancel()
		_ = player.configure(limited) // not accepted if the control VMs are down for that long
	case Crash:
		player.callers.crash(ctx, index)
	case RollEntries:
		for _, target := range fault.Targets {
			player.disrupt(ctx, target, fault)
		}
	default:
		var all sync.WaitGroup
		for _, target := range fault.Targets {
			all.Go(func() { player.disrupt(ctx, target, fault) })
		}
		all.Wait()
	}
}

func (player *player) signal(targets []string, signal syscall.Signal) {
	for _, target := range targets {
		player.processes[target].signal(signal)
	}
}

// disrupt disrupts one process for the length of the fault and records it.
func (player *player) disrupt(ctx context.Context, target string, fault Fault) {
	detail := string(fault.Kind)
	if fault.Kind == Delay {
		detail = Slowed + " " + detail
	}
	player.recorder.Write(Record{Event: Disrupted, Process: target, Detail: detail})
	process := player.processes[target]
	switch fault.Kind {
	case FreezeEntry, FreezeControl, FreezeZone, FreezeUpstream:
		process.freeze(ctx, fault.Length)
	case KillEntry, KillEntries, KillControl, KillControls, KillUpstream:
		process.kill(ctx, fault.Length)
	case StopEntry, RollEntries, StopControl:
		process.stop(ctx, time.Duration(player.play.Bounds.GraceSeconds*float64(time.Second)), fault.Length)
	case StopUpstream:
		process.stop(ctx, stopAllowance, fault.Length)
	case Cut:
		player.links.cut(ctx, target, fault.Length, both)
	case CutRequests:
		player.links.cut(ctx, target, fault.Length, requests)
	case CutAnswers:
		player.links.cut(ctx, target, fault.Length, answers)
	case Silence:
		player.links.change(target, "/v1/silence", both)
	case Reset:
		player.links.change(target, "/v1/reset", both)
	case Delay:
		player.links.slow(ctx, target, fault.Length)
	}
	player.recorder.Write(Record{Event: Restored, Process: target, Detail: detail})
}
