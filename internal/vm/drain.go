package vm

import (
	"context"
	"time"
)

// drain ends the VM without cutting off a request: the balancer hears first that the
// VM is not ready, then the groups are handed over, and then every request in flight
// ends, those of the own callers and those that other VMs forwarded.
func (vm *vm) drain(servers servers) error {
	vm.ready.Store(false)
	vm.logger.Info("Draining.")
	ctx, cancel := vm.drainContext()
	defer cancel()
	wait(ctx, vm.settings.ReadyGraceSeconds.Duration())
	err := servers.callers(ctx)
	if err != nil {
		vm.logger.Error("Requests cut off at the drain deadline.", "error", err)
	}
	for _, shutdown := range []func(context.Context) error{servers.upstreams, servers.operators} {
		if err := shutdown(ctx); err != nil {
			vm.logger.Warn("Server cut off at the drain deadline.", "error", err)
		}
	}
	vm.logger.Info("Drained.")
	return nil
}

// drainContext ends at the operator's deadline, or never if there is none.
func (vm *vm) drainContext() (context.Context, context.CancelFunc) {
	if vm.settings.DrainDeadlineSeconds == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), vm.settings.DrainDeadlineSeconds.Duration())
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
