package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route returns the entry of one route of a configuration.
func route(number int, kind, service string) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("r-%07d", number), "host": "ficu95.example", "path_prefix": fmt.Sprintf("/p%07d/", number), "kind": kind,
		"timeout_ms": 1500, "target_latency_ms": 150, "priority": 0, "service": service, "max_attempts": 2, "sticky": false, "resumable": false,
		"target_gap_ms": 600,
	}
}

// config returns a valid configuration with the given number of routes.
func config(version, routes int) []byte {
	var entries []any
	for number := range routes {
		entries = append(entries, route(number, "safe", "s"))
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": entries,
		"services": []any{map[string]any{"name": "s", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// call sends one call and returns the status, or 0 if no answer came within the time.
func call(method, url string, body []byte, wait time.Duration) (int, []byte) {
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// order sends an order of the operator to the machines in turn until one acknowledges it. It
// returns false if none has within the time.
func (fleet *fleet) order(what, path string, body []byte, machines []*machine, bound time.Duration) bool {
	const pause = 100 * time.Millisecond
	// A second without an answer, and a millisecond more for each KiB.
	wait := time.Second + time.Duration(len(body)>>10)*time.Millisecond
	begun := time.Now()
	statuses := make(map[int]int)
	for tries := 0; time.Since(begun) < bound; tries++ {
		to := machines[tries%len(machines)]
		status, _ := call(http.MethodPut, "http://"+fleet.address(to.ip, "control")+path, body, wait)
		if status == http.StatusOK {
			fleet.note("order %s (%d bytes): acknowledged by %s after %d ms and %d tries", what, len(body), to.name, time.Since(begun).Milliseconds(), tries+1)
			return true
		}
		statuses[status]++
		time.Sleep(pause)
	}
	fleet.note("order %s (%d bytes): not acknowledged within %v; answers by status (0: none): %v", what, len(body), bound, statuses)
	return false
}

// readBack asks each machine for the configuration for the given time. It returns the newest
// version that one of them answered, and 0 if none answered with a configuration.
func (fleet *fleet) readBack(machines []*machine, span time.Duration) int {
	const pause = 200 * time.Millisecond
	newest := 0
	statuses := make(map[string]map[int]int)
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(pause) {
		for _, from := range machines {
			status, body := call(http.MethodGet, "http://"+fleet.address(from.ip, "control")+"/v1/config", nil, time.Second)
			if statuses[from.name] == nil {
				statuses[from.name] = make(map[int]int)
			}
			statuses[from.name][status]++
			var document struct{ Version int }
			if status == http.StatusOK && json.Unmarshal(body, &document) == nil {
				newest = max(newest, document.Version)
			}
		}
	}
	fleet.note("read back for %v: newest version %d; answers by machine and status (0: none): %v", span, newest, statuses)
	return newest
}

// startControls starts three control machines, one in each zone, and has them acknowledge a
// first configuration.
func (fleet *fleet) startControls(first []byte) ([]*machine, error) {
	const startTime = 30 * time.Second
	var controls []*machine
	for i, zone := range zones {
		controls = append(controls, fleet.add(i+1, "control", zone, true))
	}
	for _, control := range controls {
		if err := fleet.launch(control); err != nil {
			return nil, err
		}
	}
	if !fleet.order("first configuration", "/v1/config", first, controls, startTime) {
		return nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	return controls, nil
}

// readWithin asks the machines in turn for the configuration until one answers with the wanted
// version or a newer one, for at most the given time. It returns the newest version read.
func (fleet *fleet) readWithin(machines []*machine, span time.Duration, wanted int) int {
	const pause = 100 * time.Millisecond
	newest := 0
	begun := time.Now()
	for tries := 0; time.Since(begun) < span && newest < wanted; tries++ {
		from := machines[tries%len(machines)]
		status, body := call(http.MethodGet, "http://"+fleet.address(from.ip, "control")+"/v1/config", nil, time.Second)
		var document struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(body, &document) == nil {
			newest = max(newest, document.Version)
		}
		time.Sleep(pause)
	}
	fleet.note("read back: newest version %d after %d ms", newest, time.Since(begun).Milliseconds())
	return newest
}
