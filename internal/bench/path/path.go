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

// The targets are set in section 1.7 of docs/design.md.
const (
	maxAddedMillis = 1.5
	minThroughput  = 0.5
)

const (
	// Each round measures all routes in turn, so that a change in the speed of the machine
	// affects all of them.
	rounds = 5
	// latencyRequests is the number of requests that each of latencyCallers sends, one
	// after the other.
	latencyRequests    = 300
	latencyCallers     = 4
	throughputCallers  = 128 // with fewer callers, all wait for the disk at times and processors are idle
	throughputDuration = time.Second
	warmUpRequests     = 200
)

// route is one of the measured routes to the engine.
type route struct {
	name    string
	address string
	// latencies holds the request latencies of all rounds, and rates the requests per
	// second of each round.
	latencies []time.Duration
	rates     []float64
}

// Run measures the routes and writes one line per figure to out. ok is false if a figure
// is outside its bound.
func Run(out io.Writer) (ok bool, err error) {
	cluster, err := newCluster()
	if err != nil {
		return false, err
	}
	defer cluster.close()
	routes := []*route{{name: "bare", address: cluster.proxy}, {name: "owner", address: cluster.owner}, {name: "forwarded", address: cluster.forwarded}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputCallers}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for round := range rounds {
		for _, route := range routes {
			if err := route.measure(client, round == 0); err != nil {
				return false, errors.Wrap(err, route.name)
			}
		}
	}
	return report(out, routes[0], routes[1:])
}

// measure runs one round; the first round starts with requests that are not measured.
func (route *route) measure(client *http.Client, first bool) error {
	if first {
		if _, err := route.measureLatency(client, warmUpRequests); err != nil {
			return err
		}
	}
	latencies, err := route.measureLatency(client, latencyRequests)
	if err != nil {
		return err
	}
	route.latencies = append(route.latencies, latencies...)
	rate, err := route.measureThroughput(client)
	if err != nil {
		return err
	}
	route.rates = append(route.rates, rate)
	return nil
}

// measureLatency returns the latencies of the requests of latencyCallers concurrent
// callers.
func (route *route) measureLatency(client *http.Client, requests int) ([]time.Duration, error) {
	var latencies []time.Duration
	var mutex sync.Mutex
	err := runConcurrently(latencyCallers, func() error {
		for range requests {
			started := time.Now()
			if err := route.sendRequest(client); err != nil {
				return err
			}
			elapsed := time.Since(started)
			mutex.Lock()
			latencies = append(latencies, elapsed)
			mutex.Unlock()
		}
		return nil
	})
	return latencies, err
}

// measureThroughput returns the responses per second with throughputCallers concurrent
// callers.
func (route *route) measureThroughput(client *http.Client) (float64, error) {
	var count int
	var mutex sync.Mutex
	started := time.Now()
	err := runConcurrently(throughputCallers, func() error {
		for time.Since(started) < throughputDuration {
			if err := route.sendRequest(client); err != nil {
				return err
			}
			mutex.Lock()
			count++
			mutex.Unlock()
		}
		return nil
	})
	return float64(count) / time.Since(started).Seconds(), err
}

// runConcurrently calls run on the given number of goroutines, waits for all of them and
// returns the first error.
func runConcurrently(callers int, run func() error) error {
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

var requestBody = []byte(`{"model":"` + adapterName + `@1","max_tokens":20,"messages":[{"role":"user","content":"a question of some length for the engine"}]}`)

// sendRequest sends one request and reads the complete response. It returns an error if
// the status is not 200.
func (route *route) sendRequest(client *http.Client) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+route.address+"/v1/chat/completions", bytes.NewReader(requestBody))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
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
		return errors.Errorf("response status %d: %s", response.StatusCode, answer)
	}
	return nil
}

// report writes the figures of the routes with those of the plain proxy as the baseline.
// ok is false if a figure is outside its bound.
func report(out io.Writer, proxy *route, routes []*route) (ok bool, err error) {
	ok = true
	printFigure := func(name string, value float64, unit string, bound float64, pass bool, baseline float64) {
		verdict := "PASS"
		if !pass {
			verdict, ok = "FAIL", false
		}
		if err == nil {
			_, err = fmt.Fprintf(out, "%s %.3f %s %.3f %s baseline %.3f\n", name, value, unit, bound, verdict, baseline)
		}
	}
	for _, route := range routes {
		added := milliseconds(median(route.latencies)) - milliseconds(median(proxy.latencies))
		printFigure("path."+route.name+".added_p50", added, "ms", maxAddedMillis, added <= maxAddedMillis, milliseconds(median(proxy.latencies)))
		share := median(route.rates) / median(proxy.rates)
		printFigure("path."+route.name+".throughput_share", share, "ratio", minThroughput, share >= minThroughput, median(proxy.rates))
	}
	return ok, err
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// median returns the middle element of the sorted values; values must not be empty.
func median[T float64 | time.Duration](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// newIndex returns a configuration index that grants one adapter to one API key.
func newIndex() *admission.Index {
	hash := sha256.Sum256([]byte(apiKey))
	return admission.NewIndex(core.Config{
		Number: 1,
		Plans:  core.Plans{Plans: []core.Plan{{Plan: "plan-1", Customer: "customer-1", KeyHashes: []core.KeyHash{core.KeyHash(hex.EncodeToString(hash[:]))}}}},
		Grants: core.Grants{Grants: []core.Grant{{
			Plan: "plan-1", Adapters: []core.AdapterGrant{{Adapter: adapterName, Model: model, Versions: []core.Version{"1"}}},
		}}},
	})
}
