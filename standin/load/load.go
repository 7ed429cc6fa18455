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

// Settings describe the load. Targets, Key, Rate and Duration must be set.
type Settings struct {
	Targets []string
	// Key is the bearer key of the plan.
	Key      string
	Rate     core.RequestsPerSecond
	Duration time.Duration
	// Requests ends the load early; zero means no bound.
	Requests int
	Seed     uint64
	// Adapters is the number of adapters, named AdapterPrefix and a number from 0.
	Adapters      int
	AdapterPrefix string
	// Versions are the granted versions, the newest last.
	Versions []core.Version
	// Skew is the exponent of the popularity; it must be above 1.
	Skew   float64
	Tokens core.Tokens
	// StreamShare and CallShare are shares of all requests; the rest is whole.
	StreamShare float64
	CallShare   float64
	// PinShare is the share of model requests that name a version.
	PinShare float64
	Service  core.ServiceID
	// Content replaces the prompt of every request if it is set.
	Content string
	// Resends is the number of times that a caller sends a request again: a call
	// whose answer was lost, or any request if ResendAll is set.
	Resends   int
	ResendAll bool
	// Timeout bounds one send.
	Timeout time.Duration
	// Replay holds the records of an earlier load: its calls are sent again under
	// their keys, and nothing else.
	Replay []Record
}

// plan is one request before it is sent.
type plan struct {
	id       string
	kind     Kind
	av       core.AdapterVersion
	pinned   bool
	prompt   engine.Prompt
	key      core.IdempotencyKey
	recorded Record
}

// Load sends requests and records their answers.
type Load struct {
	settings Settings
	recorder *Recorder
	balancer *balancer
	client   *http.Client
	random   *rand.Rand
	zipf     *rand.Zipf
}

// New returns a load that writes to the recorder.
func New(settings Settings, recorder *Recorder) (*Load, error) {
	if len(settings.Targets) == 0 || settings.Rate <= 0 || settings.Adapters < 1 || len(settings.Versions) == 0 || settings.Skew <= 1 {
		return nil, errors.New("load needs targets, a rate, adapters, versions and a skew above 1")
	}
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Load{
		settings: settings, recorder: recorder, balancer: newBalancer(settings.Targets),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}},
		random: random, zipf: rand.NewZipf(random, settings.Skew, 1, uint64(settings.Adapters-1)),
	}, nil
}

// Run sends requests until the duration or the context ends, and waits for the
// answers.
func (load *Load) Run(ctx context.Context) error {
	probes, stop := context.WithCancel(ctx)
	defer stop()
	go load.balancer.run(probes)
	for _, target := range load.settings.Targets {
		load.balancer.probe(ctx, target)
	}
	return load.send(ctx)
}

// send starts requests in an open loop: late answers do not slow it down.
func (load *Load) send(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / float64(load.settings.Rate)))
	defer ticker.Stop()
	end := time.NewTimer(load.settings.Duration)
	defer end.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	var failure errorOnce
	replay := load.replay()
	for number := 0; load.settings.Requests == 0 || number < load.settings.Requests; number++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end.C:
			return failure.get()
		case <-ticker.C:
			next := load.plan(number)
			if load.settings.Replay != nil {
				if number >= len(replay) {
					return failure.get()
				}
				next = replay[number]
			}
			requests.Go(func() { failure.set(load.recorder.add(load.perform(context.WithoutCancel(ctx), next))) })
		}
	}
	requests.Wait()
	return failure.get()
}

// errorOnce keeps the first error.
type errorOnce struct {
	// mu guards err; no other lock is taken while it is held.
	mu  sync.Mutex
	err error
}

func (once *errorOnce) set(err error) {
	once.mu.Lock()
	defer once.mu.Unlock()
	if once.err == nil {
		once.err = err
	}
}

func (once *errorOnce) get() error {
	once.mu.Lock()
	defer once.mu.Unlock()
	return once.err
}

// replay plans the calls of an earlier load once more.
func (load *Load) replay() []*plan {
	var plans []*plan
	for _, earlier := range load.settings.Replay {
		if earlier.Kind != Call {
			continue
		}
		again := Record{ID: earlier.ID, Kind: Call, Key: earlier.Key, Content: earlier.Content}
		// What the first load got proves that an earlier send may have run.
		again.Uncertain = earlier.Outcome != core.NotRun.String() || earlier.Uncertain
		plans = append(plans, &plan{id: earlier.ID, kind: Call, key: earlier.Key, recorded: again})
	}
	return plans
}

// plan draws the next request. Each has its own content, so that a journal shows
// which request ran, behind a prefix shared by the adapter's requests.
func (load *Load) plan(number int) *plan {
	settings := load.settings
	next := &plan{id: fmt.Sprintf("%x-%d", settings.Seed, number), kind: Whole}
	switch draw := load.random.Float64(); {
	case draw < settings.CallShare:
		next.kind = Call
		next.key = core.IdempotencyKey("key-" + next.id)
	case draw < settings.CallShare+settings.StreamShare:
		next.kind = Stream
	}
	next.av.Adapter = core.AdapterID(fmt.Sprintf("%s%d", settings.AdapterPrefix, load.zipf.Uint64()))
	next.av.Version = settings.Versions[len(settings.Versions)-1]
	if load.random.Float64() < settings.PinShare {
		next.pinned = true
		next.av.Version = settings.Versions[load.random.IntN(len(settings.Versions))]
	}
	text := settings.Content
	if text == "" {
		text = fmt.Sprintf("%0512s request %s", next.av.Adapter, next.id)
	}
	next.prompt = engine.Prompt{Text: "user: " + text + "\n", Tokens: settings.Tokens}
	next.recorded = Record{ID: next.id, Kind: next.kind, Key: next.key, Content: string(next.key)}
	if next.kind != Call {
		next.recorded.Adapter, next.recorded.Version = next.av.Adapter, next.av.Version
		next.recorded.Content = journal.ContentKey(next.prompt.Text)
	}
	return next
}

// perform sends the request, and sends it again through another VM if its answer
// was lost.
func (load *Load) perform(ctx context.Context, next *plan) Record {
	record := next.recorded
	record.Sent = time.Now().UnixMicro()
	for {
		record.VM = load.balancer.pick(record.VM)
		load.once(ctx, next, &record)
		record.Done = time.Now().UnixMicro()
		if record.Resends >= load.settings.Resends || !load.resend(record) {
			return record
		}
		record.Resends++
		record.Earlier = append(record.Earlier, record.Result)
		record.Uncertain = record.Uncertain || record.Outcome != core.NotRun.String()
		<-time.After(resendDelay)
	}
}

// resendDelay is the time that a caller waits before it sends again.
const resendDelay = 200 * time.Millisecond

func (load *Load) resend(record Record) bool {
	if load.settings.ResendAll {
		return record.Result != Answered
	}
	return record.Kind == Call && (record.Result == Lost || record.Code == core.CodeInProgress || record.Outcome == core.NotRun.String())
}
