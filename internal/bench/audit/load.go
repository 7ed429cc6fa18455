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

// loadTest collects the measurements of all rounds with one configuration.
type loadTest struct {
	// rates holds the requests per second of each round.
	rates []float64
	// latencies holds the duration of each request of all rounds.
	latencies []time.Duration
	// cpuTime is the processor time that this process used in all rounds.
	cpuTime time.Duration
}

const requestBody = `{"model":"summary@1","max_tokens":32,"messages":[{"role":"user","content":"Summarise the report."}]}`

// run sends requests from clientCount concurrent clients for the given duration and
// adds the round to the measurements. Each client sends its next request after it has
// received the response to the previous one. It returns the joined errors of the clients.
func (load *loadTest) run(address string, duration time.Duration) error {
	transport := &http.Transport{MaxIdleConnsPerHost: clientCount}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	end := time.Now().Add(duration)
	samples, failures := make([][]time.Duration, clientCount), make([]error, clientCount)
	var group sync.WaitGroup
	started, cpuBefore := time.Now(), cpuTime()
	for i := range clientCount {
		group.Go(func() {
			for time.Now().Before(end) && failures[i] == nil {
				sent := time.Now()
				failures[i] = send(client, address)
				samples[i] = append(samples[i], time.Since(sent))
			}
		})
	}
	group.Wait()
	elapsed := time.Since(started)
	load.cpuTime += cpuTime() - cpuBefore
	if err := errors.Join(failures...); err != nil {
		return err
	}
	all := slices.Concat(samples...)
	load.rates = append(load.rates, float64(len(all))/elapsed.Seconds())
	load.latencies = append(load.latencies, all...)
	return nil
}

// cpuTime returns the user and system time that this process has used, or 0 if
// getrusage fails.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerRequest returns the mean processor time per request.
func (load *loadTest) cpuPerRequest() time.Duration {
	return load.cpuTime / time.Duration(max(len(load.latencies), 1))
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
		return fmt.Errorf("response status %d: %s", response.StatusCode, body)
	}
	return nil
}

// latencyPercentile returns the given percentile of the request latencies of all
// rounds.
func (load *loadTest) latencyPercentile(percent int) time.Duration {
	sorted := slices.Sorted(slices.Values(load.latencies))
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}
