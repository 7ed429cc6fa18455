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

// books gives the accepted lists.
type books interface {
	Book() *admission.Book
	// ConfigAge is zero while the VM has contact to a majority.
	ConfigAge() time.Duration
}

// directory tells which groups exist and which VM owns them.
type directory interface {
	Owner(group core.GroupID) (core.VMID, bool)
	// Groups returns the groups of a kind and name, the own zone's first.
	Groups(kind core.GroupKind, name string) []core.GroupID
}

// Dispatcher runs a call at the owner of a group.
type Dispatcher interface {
	Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End
}

// dispatchers finds the dispatcher of a VM.
type dispatchers interface {
	Dispatcher(vm core.VMID) Dispatcher
}

// claims reserves idempotency keys in the replicated state.
type claims interface {
	Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error)
	Record(ctx context.Context, record ledger.Record) error
}

// suspects knows the requests that were in flight when an upstream crashed.
type suspects interface {
	Crashes(fingerprint core.Fingerprint) int
}

// crashes takes reports of crashed upstreams into the replicated state.
type crashes interface {
	Report(ctx context.Context, report ledger.CrashReport) error
}

// recorder writes the audit log.
type recorder interface {
	// Start returns after the record is on a disk.
	Start(ctx context.Context, record audit.Record) error
	End(record audit.Record)
}

// Parts are what an entry needs from the other parts of the VM.
type Parts struct {
	VM              core.VMID
	Zone            core.ZoneID
	Incarnation     core.Incarnation
	DefaultDeadline time.Duration
	ClaimHold       time.Duration
	Books           books
	Directory       directory
	Dispatchers     dispatchers
	Claims          claims
	Suspects        suspects
	// Crashes may be nil; crashes are then known to this VM only.
	Crashes crashes
	// Conviction is the time for which suspicion and conviction last; zero means
	// quarantine.DefaultTerm.
	Conviction time.Duration
	Recorder   recorder
	Logger     *log.Logger
}

// Entry serves the requests that this VM receives from callers.
type Entry struct {
	Parts

	// mutex guards the fields below and is held for no other lock.
	mutex      sync.Mutex
	limiter    admission.Limiter
	budget     attempt.Budget
	quarantine quarantine.Table
}

// New returns an entry.
func New(parts Parts) *Entry {
	entry := &Entry{Parts: parts}
	entry.quarantine.Term = parts.Conviction
	return entry
}

// Serve runs a request and passes its answer to the responder. The returned end says
// whether the answer is whole, and otherwise why not and whether the request ran.
func (entry *Entry) Serve(ctx context.Context, request Request, responder Responder) core.End {
	book := entry.Books.Book()
	age := entry.Books.ConfigAge()
	plan, refusal := book.Plan(request.Key, age)
	if refusal != nil {
		return core.EndRefused("", refusal)
	}
	if refusal := entry.enter(plan); refusal != nil {
		return core.EndRefused("", refusal)
	}
	defer entry.leave(plan.Customer)
	admitted, refusal := admit(book, plan, request)
	if refusal != nil {
		return core.EndRefused("", refusal)
	}
	running := &run{
		entry:     entry,
		request:   request,
		admitted:  admitted,
		responder: responder,
		started:   time.Now(),
		hash:      book.Hash(),
		answer:    Answer{Request: core.RequestID(ulid.Make().String()), Pin: admitted.Pin, Config: book.Number(), ConfigAge: age},
	}
	running.fingerprint = request.fingerprint(plan.Customer, admitted.Pin.Adapter)
	end := running.serve(ctx)
	if !running.audited && !end.Whole {
		running.auditRefused(end)
	}
	return end
}

func admit(book *admission.Book, plan core.Plan, request Request) (admission.Admitted, *core.Refusal) {
	if request.Service != "" {
		return book.Service(plan, request.Service, request.Method, request.Path)
	}
	return book.Model(plan, request.Wanted)
}

func (entry *Entry) enter(plan core.Plan) *core.Refusal {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.budget.Request()
	return entry.limiter.Enter(plan, time.Now())
}

func (entry *Entry) leave(customer core.CustomerID) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.limiter.Leave(customer)
}

// decide takes the end of an attempt under the lock of the retry budget.
func (entry *Entry) decide(life *attempt.Life, end core.End, groups int) attempt.Decision {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return life.End(end, attempt.Situation{Now: time.Now(), Groups: groups, Jitter: rand.Float64(), Budget: &entry.budget})
}

// standing returns the stricter of this VM's and the replicated view of a request.
func (entry *Entry) standing(fingerprint core.Fingerprint) quarantine.Standing {
	replicated := quarantine.StandingOf(entry.Suspects.Crashes(fingerprint))
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return max(replicated, entry.quarantine.Standing(fingerprint, time.Now()))
}

// suspect keeps a crash in this VM's view.
func (entry *Entry) suspect(incarnation core.Incarnation, fingerprint core.Fingerprint) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.quarantine.Report(incarnation, []core.Fingerprint{fingerprint}, time.Now())
}
