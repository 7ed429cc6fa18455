package vm

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// first keeps the state on the first VM of the settings, unreplicated, until the
// replicated state takes its place behind the same interfaces.
type first struct {
	settings settings.Settings
	client   *peer.Client
	vm       core.VMID
	book     atomic.Pointer[admission.Book]

	// mutex guards state and index.
	mutex sync.Mutex
	state *ledger.State
	index uint64
}

const fetchInterval = 200 * time.Millisecond

func newFirst(settings settings.Settings, client *peer.Client) *first {
	first := &first{settings: settings, client: client, vm: settings.VM, state: ledger.New(ledger.Limits{})}
	for _, member := range settings.Members() {
		first.vm = min(first.vm, member.VM)
	}
	first.book.Store(admission.NewBook(core.Config{}))
	return first
}

func (first *first) run(ctx context.Context) {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = first.fetch(ctx)
		}
	}
}

func (first *first) fetch(ctx context.Context) error {
	var body []byte
	if first.vm == first.settings.VM {
		body = first.config()
	} else {
		response, err := first.client.Call(ctx, first.vm, &wire.Request{Body: &wire.Request_ConfigFetch{ConfigFetch: &wire.ConfigFetch{}}})
		if err != nil {
			return err
		}
		body = response.GetConfigDelta().GetPlans()[0]
	}
	var config core.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	if config.Number > first.Book().Number() {
		first.book.Store(admission.NewBook(config))
	}
	return nil
}

func (first *first) config() []byte {
	first.mutex.Lock()
	defer first.mutex.Unlock()
	config, _, _ := first.state.At(first.state.Number())
	body, _ := json.Marshal(config)
	return body
}

func (first *first) apply(command ledger.Command) ledger.Result {
	first.mutex.Lock()
	defer first.mutex.Unlock()
	first.index++
	command.At = time.Now().UnixMilli()
	return first.state.Apply(first.index, command)
}

func (first *first) propose(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	if first.vm == first.settings.VM {
		return first.apply(command), nil
	}
	body, _ := json.Marshal(command)
	response, err := first.client.Call(ctx, first.vm, &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{Command: body}}})
	if err != nil {
		return ledger.Result{}, err
	}
	var result ledger.Result
	if err := json.Unmarshal(response.GetProposeResult().GetResult(), &result); err != nil {
		return ledger.Result{}, errors.Wrap(err, "decode result")
	}
	return result, nil
}

// Book returns the accepted lists.
func (first *first) Book() *admission.Book { return first.book.Load() }

// ConfigAge is always zero.
func (first *first) ConfigAge() time.Duration { return 0 }

// Owner returns the first VM of the group's zone.
func (first *first) Owner(group core.GroupID) (core.VMID, bool) {
	var owner core.VMID
	for _, member := range first.settings.Members() {
		if member.Zone == group.Zone && (owner == "" || member.VM < owner) {
			owner = member.VM
		}
	}
	return owner, owner != ""
}

// Groups returns one group per zone.
func (first *first) Groups(kind core.GroupKind, name string) []core.GroupID {
	groups := []core.GroupID{{Zone: first.settings.Zone, Kind: kind, Name: name}}
	for _, member := range first.settings.Members() {
		if member.Zone != first.settings.Zone {
			groups = append(groups, core.GroupID{Zone: member.Zone, Kind: kind, Name: name})
		}
	}
	return groups
}

// Lease is held by the owner.
func (first *first) Lease(group core.GroupID) (core.FencingToken, time.Time, bool) {
	owner, _ := first.Owner(group)
	return 1 << ledger.FencingShift, time.Now().Add(time.Second), owner == first.settings.VM
}

// Crashes returns zero.
func (first *first) Crashes(core.Fingerprint) int { return 0 }

// Claim claims a key.
func (first *first) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	result, err := first.propose(ctx, ledger.Command{Claim: &claim})
	if err != nil {
		return ledger.ClaimResult{}, err
	}
	return *result.Claim, nil
}

// Record records an outcome.
func (first *first) Record(ctx context.Context, record ledger.Record) error {
	_, err := first.propose(ctx, ledger.Command{Record: &record})
	return err
}

// Start does nothing yet.
func (first *first) Start(context.Context, audit.Record) error { return nil }

// End does nothing yet.
func (first *first) End(audit.Record) {}
