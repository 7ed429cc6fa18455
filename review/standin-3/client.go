package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clients is the client of the requests. Each request has a connection of its own.
var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// outcome is what a client has seen of one request.
type outcome struct {
	id     string
	status int // 0 if there was no answer
	// last is the last event that has arrived, and whole is set if the stream or the answer ended
	// properly, with the signature of a worker.
	last  int
	whole bool
	// vm is the machine to which it was sent, and leaving is set if the worker has said that it leaves.
	vm             string
	leaving        bool
	sent, answered time.Time
}

// served reports whether the answer is a success.
func (outcome outcome) served() bool {
	return outcome.status >= 200 && outcome.status < 300 && outcome.whole
}

const deadline = 5 * time.Second

// send sends a request and returns the answer, with a function that frees it.
func (test *test) send(ctx context.Context, vm *vm, host, path, id string, body []byte, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(vm.ip, test.front)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make a request: %w", err)
	}
	request.Host = host
	request.Header.Set("X-Dandelionring-Request-Id", id)
	request.Header.Set("X-Dandelionring-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return clients.Do(request)
}

// pay sends one unsafe request.
func (test *test) pay(vm *vm) outcome {
	ctx, cancel := context.WithTimeout(test.ctx, deadline)
	defer cancel()
	result := outcome{id: newID(), vm: vm.name, sent: time.Now()}
	response, err := test.send(ctx, vm, unsafeHost, unsafePath+"x", result.id, []byte(`{"amount":1}`), nil)
	if err != nil {
		test.record.note("client sends %s to %s: no answer", result.id, vm.name)
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.status, result.answered, result.leaving = response.StatusCode, time.Now(), response.Header.Get("Server-Leaving") != ""
	result.whole = err == nil && response.Header.Get("X-Dandelionring-Response-Signature") != "" && string(body) == "done "+result.id
	test.record.note("client sends %s to %s: %d, whole %t, leaving %q", result.id, vm.name, result.status, result.whole, response.Header.Get("Server-Leaving"))
	return result
}

// position is the place of a client in a stream: the request that brought its first event, and the
// last event that it has.
type position struct {
	origin string
	last   int
}

// stream sends a request for a stream, or takes one up at a position. It reads until the stream ends,
// or until most events have arrived; the client's connection breaks then.
func (test *test) stream(vm *vm, from position, most int) outcome {
	ctx, cancel := context.WithTimeout(test.ctx, deadline)
	defer cancel()
	result := outcome{id: newID(), last: from.last, sent: time.Now()}
	header := map[string]string{
		"X-Dandelionring-Model": modelName, "X-Dandelionring-Token-Usage": "100,30", "X-Dandelionring-Prefix-Hash": "5c1e07a2:60," + result.id[:8] + ":40",
	}
	if from.last > 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(from.last), from.origin
	}
	response, err := test.send(ctx, vm, streamHost, streamPath+"x", result.id, []byte(`{"prompt":"tide"}`), header)
	if err != nil {
		test.record.note("client asks %s for stream %s after event %d of %q: no answer", vm.name, result.id, from.last, from.origin)
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	for result.status == http.StatusOK && result.last-from.last < most && scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			if number, err := strconv.Atoi(text); err == nil && number == result.last+1 {
				result.last = number
			}
		}
	}
	result.whole = result.last == streamEvents && response.Header.Get("X-Dandelionring-Response-Signature") != ""
	test.record.note("client asks %s for stream %s after event %d of %q: %d, has event %d, retry after %q", vm.name, result.id, from.last, from.origin, result.status, result.last, response.Header.Get("Retry-After"))
	return result
}
