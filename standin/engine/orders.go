package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Faults selects the failures that an engine simulates.
type Faults struct {
	// FailLoads is the number of subsequent loads that fail, HangLoads the number
	// of those that never end. HangLoads is used up first.
	FailLoads int
	HangLoads int
	// SlowFactor multiplies the duration of a load; values below one have no effect.
	SlowFactor float64
	// Leaving makes the engine announce that it shuts down.
	Leaving bool
}

// Errors of orders, each of which has its own HTTP status.
var (
	errFenced = errors.New("fenced")
	errNoSlot = errors.New("no free slot")
	errLoad   = errors.New("the load failed")
)

// SetFaults replaces the faults that the engine simulates.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.faults = faults
}

// checkToken compares the fencing token of an order or a request with the largest one
// received so far. For a smaller token it returns errFenced, or records a violation
// and returns nil if the engine does not check fencing. The caller must hold the
// lock.
func (engine *Engine) checkToken(token core.FencingToken, detail string, id core.AttemptID, av core.AdapterVersion) error {
	if token >= engine.lastToken {
		engine.lastToken = token
		return nil
	}
	if engine.settings.ChecksFencing {
		engine.counts.Fenced++
		return errFenced
	}
	engine.recordViolation(&engine.counts.Violations.StaleOrders, "stale "+detail, id, av)
	return nil
}

// Load loads the adapter version and waits until it is resident. An order for a
// version that is already loading waits for that load. Load returns errFenced,
// errNoSlot, errLoad, or the error of the context.
func (engine *Engine) Load(ctx context.Context, av core.AdapterVersion, token core.FencingToken) error {
	adapterSlot, first, err := engine.reserveSlot(av, token)
	if err != nil {
		return err
	}
	if !first {
		return engine.waitForLoad(ctx, adapterSlot)
	}
	// The load continues if the client disconnects, as in an engine that does not
	// monitor the connection of an order.
	go engine.load(context.WithoutCancel(ctx), av, adapterSlot)
	return engine.waitForLoad(ctx, adapterSlot)
}

// waitForLoad waits until the load of the slot ends. It returns errLoad if the load
// failed, or the error of the context.
func (engine *Engine) waitForLoad(ctx context.Context, adapterSlot *slot) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-adapterSlot.ready:
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !adapterSlot.resident {
		return errLoad
	}
	return nil
}

// reserveSlot returns the slot of the adapter version, and whether it is new, so that
// the caller must load the version. It returns errFenced or errNoSlot.
func (engine *Engine) reserveSlot(av core.AdapterVersion, token core.FencingToken) (adapterSlot *slot, first bool, err error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if err := engine.checkToken(token, "load", "", av); err != nil {
		return nil, false, err
	}
	if adapterSlot, ok := engine.slots[av]; ok {
		return adapterSlot, false, nil
	}
	if len(engine.slots) >= engine.settings.Slots {
		return nil, false, errNoSlot
	}
	adapterSlot = &slot{ready: make(chan struct{})}
	engine.slots[av] = adapterSlot
	engine.counts.Loads++
	return adapterSlot, true, nil
}

// load fetches the weights and stores the result in the slot. A load that the faults
// make hang never ends and keeps its slot.
func (engine *Engine) load(ctx context.Context, av core.AdapterVersion, adapterSlot *slot) {
	fail, hang, factor := engine.nextLoadFault()
	if hang {
		return
	}
	err := engine.fetch(ctx, av, factor)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	adapterSlot.resident = err == nil && !fail
	if !adapterSlot.resident {
		engine.counts.LoadsFailed++
		delete(engine.slots, av)
	}
	close(adapterSlot.ready)
}

// nextLoadFault returns the faults of the next load and decrements their counters.
func (engine *Engine) nextLoadFault() (fail, hang bool, factor float64) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	faults := &engine.faults
	if faults.HangLoads > 0 {
		faults.HangLoads--
		return false, true, 1
	}
	if faults.FailLoads > 0 {
		faults.FailLoads--
		fail = true
	}
	return fail, false, max(1, faults.SlowFactor)
}

// fetch takes the time of a load, multiplied by factor, and fetches the weights from
// the store if there is one.
func (engine *Engine) fetch(ctx context.Context, av core.AdapterVersion, factor float64) error {
	begin := time.Now()
	duration := engine.settings.LoadTime
	if engine.settings.Store != "" {
		if err := engine.fetchWeights(ctx, av); err != nil {
			return err
		}
		duration = time.Since(begin)
		factor--
	}
	<-time.After(time.Duration(float64(duration) * factor))
	return nil
}

func (engine *Engine) fetchWeights(ctx context.Context, av core.AdapterVersion) error {
	address := "http://" + engine.settings.Store + "/adapters/" + string(av.Adapter) + "/" + string(av.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fetch weights")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("store answered with %s", response.Status)
	}
	return nil
}

// Evict removes the adapter version if it is resident. It ends the attempts that use
// the version, which is a violation by the sender of the order. It returns errFenced
// if the token is refused.
func (engine *Engine) Evict(av core.AdapterVersion, token core.FencingToken) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if err := engine.checkToken(token, "evict", "", av); err != nil {
		return err
	}
	adapterSlot, ok := engine.slots[av]
	if !ok || !adapterSlot.resident {
		return nil
	}
	if adapterSlot.users > 0 {
		engine.recordViolation(&engine.counts.Violations.EvictedInUse, "evicted in use", "", av)
	}
	for _, current := range engine.attempts {
		if current.av == av {
			engine.finish(current, "evicted")
		}
	}
	delete(engine.slots, av)
	engine.counts.Evictions++
	return nil
}
