package vm

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// first polls the accepted lists and gives every group to the first VM of its zone,
// until sessions and leases take its place behind the same interfaces.
type first struct {
	settings settings.Settings
	archive  archive
	commands *host.Client
	book     atomic.Pointer[admission.Book]
}

const fetchInterval = 200 * time.Millisecond

func newFirst(settings settings.Settings, archive archive, commands *host.Client) *first {
	first := &first{settings: settings, archive: archive, commands: commands}
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
		}
		config, found, err := first.archive.Config(ctx, 0)
		if err == nil && found && config.Number > first.Book().Number() {
			first.book.Store(admission.NewBook(config))
		}
	}
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

// Report takes a crash into the replicated state.
func (first *first) Report(ctx context.Context, report ledger.CrashReport) error {
	_, err := first.commands.Crash(ctx, report)
	return err
}
