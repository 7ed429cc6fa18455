package audit

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// load holds the figures of all rounds of one kind.
type load struct {
	// rates holds the requests per second of each round.
	rates     []float64
	latencies []time.Duration
	// processor is the processor time of this program in all rounds.
	processor time.Duration
}

const requestBody = `{"model":"summary@1","max_tokens":32,"messages":[{"role":"user","content":"Summarise the report."}]}`

// run sends requests from all clients for a time. Each client sends the next
// request after the answer to the last one.
func (load *load) run(address string, limit time.Duration) error {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	end := time.Now().Add(limit)
	samples, failures := make([][]time.Duration, clients), make([]error, clients)
	var running sync.WaitGroup
	began, busy := time.Now(), processorTime()
	for i := range clients {
		running.Go(func() {
			for time.Now().Before(end) && failures[i] == nil {
				sent := time.Now()
				failures[i] = send(client, address)
				samples[i] = append(samples[i], time.Since(sent))
			}
		})
	}
	running.Wait()
	took := time.Since(began)
	load.processor += processorTime() - busy
	if err := errors.Join(failures...); err != nil {
		return err
	}
	all := slices.Concat(samples...)
	load.rates = append(load.rates, float64(len(all))/took.Seconds())
	load.latencies = append(load.latencies, all...)
	return nil
}

// processorTime returns the processor time that this program has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perRequest returns the processor time of one request.
func (load *load) perRequest() time.Duration {
	return load.processor / time.Duration(max(len(load.latencies), 1))
}

func send(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+benchKey)
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("answer %d: %s", response.StatusCode, body)
	}
	return nil
}

// latency returns a percentile over all rounds.
func (load *load) latency(percent int) time.Duration {
	sorted := slices.Sorted(slices.Values(load.latencies))
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}
