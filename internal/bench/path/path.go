package path

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
)

// The targets stand in section 1.7 of docs/design.md.
const (
	maxAddedMillis = 1.5
	minThroughput  = 0.5
)

const (
	// rounds alternate between the ways, so that a change of the machine's speed
	// meets all of them.
	rounds = 5
	// latencyRequests are sent one after the other by each latency caller.
	latencyRequests   = 300
	latencyCallers    = 4
	throughputCallers = 128 // fewer callers wait for the disk and leave processors idle
	throughputTime    = time.Second
	warmUpRequests    = 200
)

// way is one of the measured ways to the engine.
type way struct {
	name    string
	address string
	// latencies are of all rounds, rates one of each.
	latencies []time.Duration
	rates     []float64
}

// Run measures the ways and writes one line for each figure. ok is false if a figure
// misses its bound.
func Run(out io.Writer) (ok bool, err error) {
	cluster, err := newCluster()
	if err != nil {
		return false, err
	}
	defer cluster.close()
	ways := []*way{{name: "bare", address: cluster.bare}, {name: "owner", address: cluster.owner}, {name: "forwarded", address: cluster.forwarded}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputCallers}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for round := range rounds {
		for _, way := range ways {
			if err := way.measure(client, round == 0); err != nil {
				return false, errors.Wrap(err, way.name)
			}
		}
	}
	return report(out, ways[0], ways[1:])
}

func (way *way) measure(client *http.Client, first bool) error {
	if first {
		if _, err := way.latency(client, warmUpRequests); err != nil {
			return err
		}
	}
	latencies, err := way.latency(client, latencyRequests)
	if err != nil {
		return err
	}
	way.latencies = append(way.latencies, latencies...)
	rate, err := way.throughput(client)
	if err != nil {
		return err
	}
	way.rates = append(way.rates, rate)
	return nil
}

// latency returns the times of requests sent by a few callers.
func (way *way) latency(client *http.Client, each int) ([]time.Duration, error) {
	var all []time.Duration
	var mutex sync.Mutex
	err := together(latencyCallers, func() error {
		for range each {
			began := time.Now()
			if err := way.request(client); err != nil {
				return err
			}
			took := time.Since(began)
			mutex.Lock()
			all = append(all, took)
			mutex.Unlock()
		}
		return nil
	})
	return all, err
}

// throughput returns the answers per second with many callers.
func (way *way) throughput(client *http.Client) (float64, error) {
	var count int
	var mutex sync.Mutex
	began := time.Now()
	err := together(throughputCallers, func() error {
		for time.Since(began) < throughputTime {
			if err := way.request(client); err != nil {
				return err
			}
			mutex.Lock()
			count++
			mutex.Unlock()
		}
		return nil
	})
	return float64(count) / time.Since(began).Seconds(), err
}

// together runs the function on many goroutines and returns the first error.
func together(callers int, run func() error) error {
	failures := make(chan error, callers)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { failures <- run() })
	}
	group.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

var body = []byte(`{"model":"` + adapterName + `@1","max_tokens":20,"messages":[{"role":"user","content":"a question of some length for the engine"}]}`)

func (way *way) request(client *http.Client) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+way.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("answered %d: %s", response.StatusCode, answer)
	}
	return nil
}

// report writes the figures of the real ways beside those of the bare proxy.
func report(out io.Writer, bare *way, ways []*way) (ok bool, err error) {
	ok = true
	line := func(name string, value float64, unit string, bound float64, pass bool, baseline float64) {
		verdict := "PASS"
		if !pass {
			verdict, ok = "FAIL", false
		}
		if err == nil {
			_, err = fmt.Fprintf(out, "%s %.3f %s %.3f %s baseline %.3f\n", name, value, unit, bound, verdict, baseline)
		}
	}
	for _, way := range ways {
		added := millis(median(way.latencies)) - millis(median(bare.latencies))
		line("path."+way.name+".added_p50", added, "ms", maxAddedMillis, added <= maxAddedMillis, millis(median(bare.latencies)))
		share := median(way.rates) / median(bare.rates)
		line("path."+way.name+".throughput_share", share, "ratio", minThroughput, share >= minThroughput, median(bare.rates))
	}
	return ok, err
}

func millis(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func median[T float64 | time.Duration](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// newBook returns lists that grant one adapter to one key.
func newBook() *admission.Book {
	hash := sha256.Sum256([]byte(key))
	return admission.NewBook(core.Config{
		Number: 1,
		Plans:  core.Plans{Plans: []core.Plan{{Plan: "plan-1", Customer: "customer-1", KeyHashes: []core.KeyHash{core.KeyHash(hex.EncodeToString(hash[:]))}}}},
		Grants: core.Grants{Grants: []core.Grant{{
			Plan: "plan-1", Adapters: []core.AdapterGrant{{Adapter: adapterName, Model: model, Versions: []core.Version{"1"}}},
		}}},
	})
}
