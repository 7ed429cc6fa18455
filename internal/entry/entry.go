package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// configSource returns the accepted configuration.
type configSource interface {
	Index() *admission.Index
	// ConfigAge returns the age of the configuration, or zero while the VM has
	// contact with a majority.
	ConfigAge() time.Duration
}

// directory lists the upstream groups and the VMs that own them.
type directory interface {
	// Owner returns the VM that owns the group, or false if the group has no owner.
	Owner(group core.GroupID) (core.VMID, bool)
	// Groups returns the groups of a kind and name, those of the own zone first.
	Groups(kind core.GroupKind, name string) []core.GroupID
}

// Dispatcher runs a call at the owner of its group. Serve passes the chunks of the
// answer to send and returns how the attempt ended.
type Dispatcher interface {
	Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End
}

// dispatchers returns the Dispatcher of a VM.
type dispatchers interface {
	Dispatcher(vm core.VMID) Dispatcher
}

// claims reserves idempotency keys and records outcomes in the replicated state.
type claims interface {
	Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error)
	Record(ctx context.Context, record ledger.Record) error
}

// crashCounts returns the number of upstream crashes during which a request was in
// flight, from the replicated state.
type crashCounts interface {
	Crashes(fingerprint core.Fingerprint) int
}

// crashReporter adds reports of crashed upstreams to the replicated state.
type crashReporter interface {
	ReportCrash(ctx context.Context, report ledger.CrashReport) error
}

// auditLog stores audit records.
type auditLog interface {
	// Start returns nil once the record is stored on disk.
	Start(ctx context.Context, record audit.Record) error
	End(record audit.Record)
}

// Options holds the settings of an Entry and the other components of the VM that it
// uses.
type Options struct {
	VM          core.VMID
	Zone        core.ZoneID
	Incarnation core.Incarnation
	// DefaultDeadline applies to requests that were admitted without a deadline.
	DefaultDeadline time.Duration
	// ClaimHold is the time for which the claim of an idempotency key is held. It also
	// bounds the call that the claim is for.
	ClaimHold time.Duration
	// Books holds the accepted configuration.
	Books       configSource
	Directory   directory
	Dispatchers dispatchers
	Claims      claims
	// Suspects holds the replicated crash counts of requests.
	Suspects crashCounts
	// Crashes may be nil; only this VM then knows of crashes.
	Crashes crashReporter
	// Conviction is the time for which a request stays suspect or convicted after a
	// crash. Zero means quarantine.DefaultTTL.
	Conviction time.Duration
	Recorder   auditLog
	Logger     *log.Logger
}

// Entry serves the requests that this VM receives from callers.
type Entry struct {
	Options

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex      sync.Mutex
	limiter    admission.Limiter
	budget     attempt.Budget
	quarantine quarantine.Table
}

// New returns an Entry with the given options.
func New(options Options) *Entry {
	entry := &Entry{Options: options}
	entry.quarantine.Term = options.Conviction
	return entry
}

// Serve processes a request and passes the answer to the responder. The returned end
// states whether the answer is complete, and otherwise the refusal code and whether
// the request ran.
func (entry *Entry) Serve(ctx context.Context, request Request, responder Responder) core.End {
	index := entry.Books.Index()
	age := entry.Books.ConfigAge()
	plan, refusal := index.Plan(request.Key, age)
	if refusal != nil {
		return core.RefusedEnd("", refusal)
	}
	if refusal := entry.acquire(plan); refusal != nil {
		return core.RefusedEnd("", refusal)
	}
	defer entry.release(plan.Customer)
	admitted, refusal := admit(index, plan, request)
	if refusal != nil {
		return core.RefusedEnd("", refusal)
	}
	active := &activeRequest{
		entry:      entry,
		request:    request,
		admitted:   admitted,
		responder:  responder,
		started:    time.Now(),
		configHash: index.Hash(),
		answer:     Answer{Request: core.RequestID(ulid.Make().String()), Pin: admitted.Pin, Config: index.Number(), ConfigAge: age},
	}
	active.fingerprint = request.fingerprint(plan.Customer, admitted.Pin.Adapter)
	end := active.serve(ctx)
	if !active.audited && !end.Whole {
		active.auditRefused(end)
	}
	return end
}

// admit checks the request against the grants of the plan and returns how it may run,
// or a refusal.
func admit(index *admission.Index, plan core.Plan, request Request) (admission.Admitted, *core.Refusal) {
	if request.Service != "" {
		return index.Service(plan, request.Service, request.Method, request.Path)
	}
	return index.Model(plan, request.Wanted)
}

// acquire counts a request against the limits of its customer, or returns a refusal
// if a limit is reached. It also adds the request to the retry budget.
func (entry *Entry) acquire(plan core.Plan) *core.Refusal {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.budget.AddRequest()
	return entry.limiter.Acquire(plan, time.Now())
}

// release ends the request in the concurrency limit of its customer.
func (entry *Entry) release(customer core.CustomerID) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.limiter.Release(customer)
}

// decide returns what follows the end of an attempt. groups is the number of upstream
// groups that could run the request. It locks mutex, which guards the retry budget.
func (entry *Entry) decide(lifecycle *attempt.Lifecycle, end core.End, groups int) attempt.Decision {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return lifecycle.End(end, attempt.DecisionInput{Now: time.Now(), Groups: groups, Jitter: rand.Float64(), Budget: &entry.budget})
}

// status returns the quarantine status of a request: the stricter of the replicated
// status and that of this VM.
func (entry *Entry) status(fingerprint core.Fingerprint) quarantine.Status {
	replicated := quarantine.StatusOf(entry.Suspects.Crashes(fingerprint))
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return max(replicated, entry.quarantine.Status(fingerprint, time.Now()))
}

// addCrash records in this VM's quarantine table that an incarnation of an upstream
// crashed while it ran the request.
func (entry *Entry) addCrash(incarnation core.Incarnation, fingerprint core.Fingerprint) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.quarantine.Report(incarnation, []core.Fingerprint{fingerprint}, time.Now())
}
