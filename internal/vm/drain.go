package vm

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// handOverTimeout bounds the wait until other VMs own the groups. A VM without other
// VMs in its zone, or without contact to the leader, cannot hand them over.
const handOverTimeout = 5 * time.Second

// drain ends the VM without cutting off a request: the balancer hears first that the
// VM is not ready, then the groups are handed over, and then every request in flight
// ends, those of the own callers and those that other VMs forwarded.
func (vm *vm) drain(servers servers) error {
	vm.ready.Store(false)
	vm.logger.Info("Draining.")
	time.Sleep(vm.settings.ReadyGraceSeconds.Duration())
	ctx, cancel := vm.drainContext()
	defer cancel()
	vm.handOver(ctx)
	if err := servers.callers(ctx); err != nil {
		vm.logger.Error("Requests of callers cut off at the drain deadline.", "error", err)
	}
	if err := vm.forwarding.inFlight.wait(ctx); err != nil {
		vm.logger.Error("Forwarded requests cut off at the drain deadline.", "error", err)
	}
	for _, shutdown := range []func(context.Context) error{servers.upstreams, servers.operators} {
		if err := shutdown(ctx); err != nil {
			vm.logger.Warn("Server cut off at the drain deadline.", "error", err)
		}
	}
	vm.logger.Info("Drained.")
	return nil
}

// handOver gives the groups to other VMs. A zone whose only VM drains keeps its groups
// until the end, since nobody could take them.
func (vm *vm) handOver(ctx context.Context) {
	if vm.onlyInZone() {
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, handOverTimeout, errors.New("no other VM took the groups over"))
	defer cancel()
	if err := vm.session.Drain(ctx); err != nil {
		vm.logger.Warn("Groups not handed over.", "error", err)
	}
	for _, group := range vm.owner.Groups() {
		vm.owner.Release(group)
	}
}

func (vm *vm) onlyInZone() bool {
	for _, member := range vm.settings.Others() {
		if member.Zone == vm.settings.Zone {
			return false
		}
	}
	return true
}

// drainContext ends at the operator's deadline, or never if there is none.
func (vm *vm) drainContext() (context.Context, context.CancelFunc) {
	if vm.settings.DrainDeadlineSeconds == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), vm.settings.DrainDeadlineSeconds.Duration())
}
