package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Faults is what an engine is told to do wrong.
type Faults struct {
	// FailLoads is the number of next loads that fail, HangLoads of those that
	// never answer.
	FailLoads int
	HangLoads int
	// SlowFactor multiplies the time of a load; zero means one.
	SlowFactor float64
	Leaving    bool
}

// Errors of orders, each with its own status in the interface.
var (
	errFenced = errors.New("fenced")
	errNoSlot = errors.New("no free slot")
	errLoad   = errors.New("the load failed")
)

// Fail sets what the engine does wrong from now on.
func (engine *Engine) Fail(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.faults = faults
}

// fence checks the token of an order. The caller holds the lock.
func (engine *Engine) fence(token core.FencingToken, detail string, id core.AttemptID, av core.AdapterVersion) error {
	if token >= engine.lastToken {
		engine.lastToken = token
		return nil
	}
	if engine.settings.ChecksFencing {
		engine.counts.Fenced++
		return errFenced
	}
	engine.violation(&engine.counts.Violations.StaleOrders, "stale "+detail, id, av)
	return nil
}

// Load makes the adapter version resident. A second order for a version that is
// loading waits for the first.
func (engine *Engine) Load(ctx context.Context, av core.AdapterVersion, token core.FencingToken) error {
	held, first, err := engine.reserve(av, token)
	if err != nil {
		return err
	}
	if !first {
		return engine.await(ctx, held)
	}
	// The load goes on if the caller leaves, as in an engine that does not watch
	// the connection of an order.
	go engine.load(context.WithoutCancel(ctx), av, held)
	return engine.await(ctx, held)
}

func (engine *Engine) await(ctx context.Context, held *slot) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-held.ready:
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !held.resident {
		return errLoad
	}
	return nil
}

func (engine *Engine) reserve(av core.AdapterVersion, token core.FencingToken) (held *slot, first bool, err error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if err := engine.fence(token, "load", "", av); err != nil {
		return nil, false, err
	}
	if held, ok := engine.slots[av]; ok {
		return held, false, nil
	}
	if len(engine.slots) >= engine.settings.Slots {
		return nil, false, errNoSlot
	}
	held = &slot{ready: make(chan struct{})}
	engine.slots[av] = held
	engine.counts.Loads++
	return held, true, nil
}

// load fetches the weights and publishes the result. A load that was told to
// hang keeps its slot for ever.
func (engine *Engine) load(ctx context.Context, av core.AdapterVersion, held *slot) {
	fail, hang, factor := engine.nextFault()
	if hang {
		return
	}
	err := engine.fetch(ctx, av, factor)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	held.resident = err == nil && !fail
	if !held.resident {
		engine.counts.LoadsFailed++
		delete(engine.slots, av)
	}
	close(held.ready)
}

func (engine *Engine) nextFault() (fail, hang bool, factor float64) {
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

// Evict removes the adapter version. Attempts that use it are broken off, which
// is a violation by the sender of the order.
func (engine *Engine) Evict(av core.AdapterVersion, token core.FencingToken) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if err := engine.fence(token, "evict", "", av); err != nil {
		return err
	}
	held, ok := engine.slots[av]
	if !ok || !held.resident {
		return nil
	}
	if held.users > 0 {
		engine.violation(&engine.counts.Violations.EvictedInUse, "evicted in use", "", av)
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
