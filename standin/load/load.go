package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/engine"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// Settings configure the load. Targets, Key, Rate, Duration, Adapters, Versions and
// Skew must be set.
type Settings struct {
	Targets []string
	// Key is the bearer key of the customer's plan.
	Key      string
	Rate     core.RequestsPerSecond
	Duration time.Duration
	// Requests is the maximum number of requests; zero means no limit.
	Requests int
	Seed     uint64
	// Adapters is the number of adapters. Their names consist of AdapterPrefix and
	// a number from 0.
	Adapters      int
	AdapterPrefix string
	// Versions are the granted versions, the newest last.
	Versions []core.Version
	// Software lists the versions of the engines' software; "1" by default.
	Software []core.SoftwareVersion
	// Skew is the exponent of the Zipf distribution of requests over the adapters;
	// it must be above 1.
	Skew   float64
	Tokens core.Tokens
	// StreamShare and CallShare are the shares of streamed model requests and of
	// service calls; the remaining requests are model requests without streaming.
	StreamShare float64
	CallShare   float64
	// PinShare is the share of model requests that specify a version.
	PinShare float64
	Service  core.ServiceID
	// Content replaces the prompt of every request if it is set.
	Content string
	// Resends is the maximum number of resends of a request. Only service calls
	// that were lost, are in progress or were not run are sent again, or every
	// request that was not answered if ResendAll is set.
	Resends   int
	ResendAll bool
	// Timeout is the time limit of one send.
	Timeout time.Duration
	// Replay holds the records of an earlier load. If it is set, only the service
	// calls of that load are sent, with the same idempotency keys.
	Replay []Record
}

// plannedRequest is a request before it is sent. Its record is the initial state
// of the record of the request.
type plannedRequest struct {
	id     string
	kind   Kind
	av     core.AdapterVersion
	pinned bool
	// software lists the versions of the engines' software.
	software []core.SoftwareVersion
	prompt   engine.Prompt
	key      core.IdempotencyKey
	record   Record
}

// Generator sends requests and records their answers.
type Generator struct {
	settings Settings
	recorder *Recorder
	balancer *balancer
	client   *http.Client
	random   *rand.Rand
	zipf     *rand.Zipf
}

// New returns a generator that writes to the recorder, or an error if a required
// setting is missing or invalid.
func New(settings Settings, recorder *Recorder) (*Generator, error) {
	if len(settings.Targets) == 0 || settings.Rate <= 0 || settings.Adapters < 1 || len(settings.Versions) == 0 || settings.Skew <= 1 {
		return nil, errors.New("targets, a positive rate, adapters, versions and a skew above 1 are required")
	}
	if len(settings.Software) == 0 {
		settings.Software = []core.SoftwareVersion{engine.DefaultSoftware}
	}
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Generator{
		settings: settings, recorder: recorder, balancer: newBalancer(settings.Targets),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
		random: random, zipf: rand.NewZipf(random, settings.Skew, 1, uint64(settings.Adapters-1)),
	}, nil
}

// Run sends requests until all requests are sent or the duration or the context ends,
// and waits for the answers. It returns the first error of the recorder, or nil if
// the context ended. After the end of the duration, errors of requests that are
// still in progress are not returned.
func (generator *Generator) Run(ctx context.Context) error {
	probeContext, stop := context.WithCancel(ctx)
	defer stop()
	go generator.balancer.run(probeContext)
	for _, target := range generator.settings.Targets {
		generator.balancer.probe(ctx, target)
	}
	return generator.send(ctx)
}

// send starts requests at the configured rate in an open loop: slow answers do not
// delay later requests.
func (generator *Generator) send(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / float64(generator.settings.Rate)))
	defer ticker.Stop()
	end := time.NewTimer(generator.settings.Duration)
	defer end.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	var failure firstError
	replay := generator.replayedCalls()
	for number := 0; generator.settings.Requests == 0 || number < generator.settings.Requests; number++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end.C:
			return failure.get()
		case <-ticker.C:
			planned := generator.generate(number)
			if generator.settings.Replay != nil {
				if number >= len(replay) {
					return failure.get()
				}
				planned = replay[number]
			}
			requests.Go(func() {
				failure.set(generator.recorder.add(generator.sendWithResends(context.WithoutCancel(ctx), planned)))
			})
		}
	}
	requests.Wait()
	return failure.get()
}

// firstError keeps the first error that is set.
type firstError struct {
	// mu guards err; no other lock is taken while it is held.
	mu  sync.Mutex
	err error
}

func (first *firstError) set(err error) {
	first.mu.Lock()
	defer first.mu.Unlock()
	if first.err == nil {
		first.err = err
	}
}

func (first *firstError) get() error {
	first.mu.Lock()
	defer first.mu.Unlock()
	return first.err
}

// replayedCalls returns the service calls of the earlier load in Replay.
func (generator *Generator) replayedCalls() []*plannedRequest {
	var calls []*plannedRequest
	for _, earlier := range generator.settings.Replay {
		if earlier.Kind != Call {
			continue
		}
		resent := Record{ID: earlier.ID, Kind: Call, Key: earlier.Key, Content: earlier.Content}
		// Unless the earlier load got the outcome not_run, one of its sends may have
		// run.
		resent.Uncertain = earlier.Outcome != core.NotRun.String() || earlier.Uncertain
		calls = append(calls, &plannedRequest{id: earlier.ID, kind: Call, key: earlier.Key, record: resent})
	}
	return calls
}

// generate returns a random request. Unless Content is set, each request has unique
// content, so that a journal shows which request ran, after a prefix that all
// requests of the adapter share.
func (generator *Generator) generate(number int) *plannedRequest {
	settings := generator.settings
	planned := &plannedRequest{id: fmt.Sprintf("%x-%d", settings.Seed, number), kind: Whole, software: settings.Software}
	switch fraction := generator.random.Float64(); {
	case fraction < settings.CallShare:
		planned.kind = Call
		planned.key = core.IdempotencyKey("key-" + planned.id)
	case fraction < settings.CallShare+settings.StreamShare:
		planned.kind = Stream
	}
	planned.av.Adapter = core.AdapterID(fmt.Sprintf("%s%d", settings.AdapterPrefix, generator.zipf.Uint64()))
	planned.av.Version = settings.Versions[len(settings.Versions)-1]
	if generator.random.Float64() < settings.PinShare {
		planned.pinned = true
		planned.av.Version = settings.Versions[generator.random.IntN(len(settings.Versions))]
	}
	text := settings.Content
	if text == "" {
		text = fmt.Sprintf("%0512s request %s", planned.av.Adapter, planned.id)
	}
	planned.prompt = engine.Prompt{Text: "user: " + text + "\n", Tokens: settings.Tokens}
	planned.record = Record{ID: planned.id, Kind: planned.kind, Key: planned.key, Content: string(planned.key)}
	if planned.kind != Call {
		planned.record.Adapter, planned.record.Version = planned.av.Adapter, planned.av.Version
		planned.record.Content = journal.ContentKey(planned.prompt.Text)
	}
	return planned
}

// sendWithResends sends the request and returns its record. It sends the request
// again, if possible to another VM, as long as shouldResend allows it.
func (generator *Generator) sendWithResends(ctx context.Context, planned *plannedRequest) Record {
	record := planned.record
	record.Sent = time.Now().UnixMicro()
	for {
		record.VM = generator.balancer.selectTarget(record.VM)
		generator.sendOnce(ctx, planned, &record)
		record.Done = time.Now().UnixMicro()
		if record.Resends >= generator.settings.Resends || !generator.shouldResend(record) {
			return record
		}
		record.Resends++
		record.Earlier = append(record.Earlier, record.Result)
		record.Uncertain = record.Uncertain || record.Outcome != core.NotRun.String()
		<-time.After(resendDelay)
	}
}

// resendDelay is the time that a caller waits before a resend.
const resendDelay = 200 * time.Millisecond

func (generator *Generator) shouldResend(record Record) bool {
	if generator.settings.ResendAll {
		return record.Result != Answered
	}
	return record.Kind == Call && (record.Result == Lost || record.Code == core.CodeInProgress || record.Outcome == core.NotRun.String())
}
