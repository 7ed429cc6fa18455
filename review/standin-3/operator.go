package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// calls is the client of the operator, of the workers and of the load balancer.
var calls = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call and returns the status and the body of its answer. It waits for a second.
func call(ctx context.Context, method, url string, body any) (int, []byte, error) {
	return callWithin(ctx, time.Second, method, url, body)
}

// callWithin is call with the time for which it waits.
func callWithin(ctx context.Context, limit time.Duration, method, url string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("encode a call: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return 0, nil, fmt.Errorf("make a call: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := calls.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return 0, nil, fmt.Errorf("read an answer: %w", err)
	}
	return response.StatusCode, answer, nil
}

func (test *test) isReady(vm *vm) bool {
	status, _, err := call(test.ctx, http.MethodGet, "http://"+address(vm.ip, test.ready)+"/v1/ready", nil)
	return err == nil && status == http.StatusOK
}

// The hosts and prefixes of the routes.
const (
	streamHost, streamPath = "one.example", "/brief/"
	unsafeHost, unsafePath = "two.example", "/pay/"
	safeHost, safePath     = "three.example", "/look/"
)

// configuration returns a configuration with a resumable stream, an unsafe and a safe route.
func configuration(version int) object {
	return object{
		"version": version,
		"routes": []object{
			{
				"name": "r-brief", "host": streamHost, "path_prefix": streamPath, "kind": "stream", "timeout_ms": 10000, "target_latency_ms": 1000, "priority": 0,
				"service": "generate", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 600,
			},
			{
				"name": "r-pay", "host": unsafeHost, "path_prefix": unsafePath, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
				"service": "book", "max_attempts": 1, "sticky": false,
			},
			{
				"name": "r-look", "host": safeHost, "path_prefix": safePath, "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
				"service": "book", "max_attempts": 2, "sticky": false,
			},
		},
		"services": []object{
			{
				"name": "generate", "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false,
				"engine": object{
					"slots": workerSlots, "kv_capacity_tokens": kvTokens, "weights_mb": 66600, "max_adapters": 13, "load_per_s": 6.8,
					"models": []object{{"name": modelName, "weights_mb": 65100, "load_s": 1.9, "adapters": 3000, "adapter_mb": 12}},
				},
			},
			{"name": "book", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// putConfiguration sends a configuration until it is acknowledged, to one machine after another.
func (test *test) putConfiguration(version int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); test.sleep(200 * time.Millisecond) {
		for _, control := range test.controlAddresses() {
			status, answer, err := call(test.ctx, http.MethodPut, "http://"+control+"/v1/config", configuration(version))
			if err == nil && status == http.StatusOK {
				test.record.note("configuration %d is acknowledged by %s", version, control)
				return nil
			}
			if err == nil && status < 500 {
				return fmt.Errorf("configuration %d is refused with %d: %s", version, status, answer)
			}
		}
	}
	return errors.New("the configuration is not acknowledged")
}
