package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = 250 * time.Millisecond
)

// balancer selects among the VMs that report ready in round-robin order.
type balancer struct {
	targets []string
	client  *http.Client
	// mu guards ready and next; no other lock is taken while it is held.
	mu    sync.Mutex
	ready map[string]bool
	next  int
}

func newBalancer(targets []string) *balancer {
	return &balancer{targets: targets, client: &http.Client{Timeout: readyTimeout}, ready: make(map[string]bool)}
}

// run probes the readiness of every VM once per readyInterval until the context
// ends.
func (balancer *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		for _, target := range balancer.targets {
			go balancer.probe(ctx, target)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (balancer *balancer) probe(ctx context.Context, target string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/ready", nil)
	if err != nil {
		panic(errors.Wrap(err, "target is not a valid address"))
	}
	response, err := balancer.client.Do(request)
	if err == nil {
		response.Body.Close()
	}
	balancer.setReady(target, err == nil && response.StatusCode == http.StatusOK)
}

func (balancer *balancer) setReady(target string, ready bool) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.ready[target] = ready
}

// selectTarget returns the next ready VM other than the excluded one, or the next
// VM, which may be the excluded one, if no other VM is ready.
func (balancer *balancer) selectTarget(excluded string) string {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	for range balancer.targets {
		balancer.next++
		target := balancer.targets[balancer.next%len(balancer.targets)]
		if balancer.ready[target] && target != excluded {
			return target
		}
	}
	balancer.next++
	return balancer.targets[balancer.next%len(balancer.targets)]
}
