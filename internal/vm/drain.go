package vm

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// handOverTimeout limits the wait until other VMs own the groups. A VM that cannot reach
// the leader or any other VM of its zone cannot hand them over.
const handOverTimeout = 5 * time.Second

// drain shuts the VM down without interrupting requests. It reports the VM as not ready
// to the load balancer, hands the groups over, and waits for all requests in flight,
// both from callers and forwarded by other VMs. Requests still in flight at the drain
// deadline are interrupted.
func (vm *vm) drain(servers servers) error {
	vm.ready.Store(false)
	vm.logger.Info("Draining.")
	time.Sleep(vm.settings.ReadyGraceSeconds.Duration())
	ctx, cancel := vm.drainContext()
	defer cancel()
	vm.handOver(ctx)
	if err := servers.callers(ctx); err != nil {
		vm.logger.Error("Caller requests interrupted at the drain deadline.", "error", err)
	}
	if err := vm.forwarding.inFlight.wait(ctx); err != nil {
		vm.logger.Error("Forwarded requests interrupted at the drain deadline.", "error", err)
	}
	for _, shutdown := range []func(context.Context) error{servers.upstreams, servers.operators} {
		if err := shutdown(ctx); err != nil {
			vm.logger.Warn("Server closed at the drain deadline.", "error", err)
		}
	}
	vm.logger.Info("Drained.")
	return nil
}

// handOver transfers the groups to other VMs of the zone. The only VM of a zone keeps its
// groups until it exits, since no other VM can own them.
func (vm *vm) handOver(ctx context.Context) {
	if vm.onlyVMInZone() {
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, handOverTimeout, errors.New("no other VM took the groups over"))
	defer cancel()
	if err := vm.session.Drain(ctx); err != nil {
		vm.logger.Warn("Groups not handed over.", "error", err)
	}
	for _, group := range vm.owner.Groups() {
		vm.owner.RemoveGroup(group)
	}
}

func (vm *vm) onlyVMInZone() bool {
	for _, member := range vm.settings.Others() {
		if member.Zone == vm.settings.Zone {
			return false
		}
	}
	return true
}

// drainContext returns a context that ends at the configured drain deadline, or one
// without a deadline if none is configured.
func (vm *vm) drainContext() (context.Context, context.CancelFunc) {
	if vm.settings.DrainDeadlineSeconds == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), vm.settings.DrainDeadlineSeconds.Duration())
}
