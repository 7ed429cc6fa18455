package ledger

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// claimKey names an idempotency key; every customer has its own keys.
type claimKey struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
}

// claimEntry is what is kept about a key.
type claimEntry struct {
	Content core.Fingerprint
	Attempt core.AttemptID
	Holder  core.VMID
	// HolderIncarnation distinguishes the runs of the holder.
	HolderIncarnation core.Incarnation
	Since             int64
	// Until is the time after which a claim in progress counts as unknown.
	Until int64
	// State is zero if no attempt holds the key.
	State  ClaimState
	Answer *Answer
	// Barred are attempts that gave the key back or never held it. A command of
	// theirs that was delayed must not take the key again.
	Barred []core.AttemptID
	// Touched orders the entry in the queue of retention.
	Touched int64
}

// maxBarred bounds the attempts that are remembered for a key. A caller retries a
// key a few times; commands are delayed by seconds.
const maxBarred = 16

// touch is a place in the queue of retention. It is stale if the entry was
// touched again.
type touch struct {
	Key claimKey
	At  int64
}

type claimTable struct {
	limits Limits
	keys   map[claimKey]*claimEntry
	// queue holds a touch for every change of an entry, oldest first.
	queue []touch
	// answers holds the keys with a recorded body, oldest first.
	answers     []claimKey
	answerBytes core.Bytes
}

func newClaimTable(limits Limits) claimTable {
	return claimTable{limits: limits, keys: make(map[claimKey]*claimEntry)}
}

func (table *claimTable) claim(now int64, claim Claim) ClaimResult {
	key := claimKey{claim.Customer, claim.Key}
	entry := table.keys[key]
	if entry == nil {
		entry = &claimEntry{}
		table.keys[key] = entry
	}
	if slices.Contains(entry.Barred, claim.Attempt) {
		return ClaimResult{State: ClaimUnknown, Since: now}
	}
	if entry.State == 0 {
		table.grant(now, entry, key, claim)
		return ClaimResult{State: ClaimGranted, Since: now}
	}
	if entry.Content != claim.Content {
		return ClaimResult{State: ClaimConflict, Since: entry.Since}
	}
	entry.loseHolder(now, claim)
	return entry.answer(now, claim.Attempt)
}

func (table *claimTable) grant(now int64, entry *claimEntry, key claimKey, claim Claim) {
	entry.Content = claim.Content
	entry.Attempt = claim.Attempt
	entry.Holder = claim.Holder
	entry.HolderIncarnation = claim.HolderIncarnation
	entry.Since = now
	entry.Until = now + claim.HoldMillis
	entry.State = ClaimInProgress
	table.touch(now, entry, key)
}

// loseHolder ends the hold of a former run of the VM that claims now.
func (entry *claimEntry) loseHolder(now int64, claim Claim) {
	if entry.State == ClaimInProgress && claim.Holder == entry.Holder && claim.HolderIncarnation != entry.HolderIncarnation {
		entry.Until = min(entry.Until, now-1)
	}
}

func (entry *claimEntry) answer(now int64, attempt core.AttemptID) ClaimResult {
	result := ClaimResult{State: entry.State, Since: entry.Since}
	switch {
	case entry.State == ClaimDone:
		result.Answer = entry.Answer
	case entry.State == ClaimInProgress && now > entry.Until:
		result.State = ClaimUnknown
	case entry.State == ClaimInProgress && attempt == entry.Attempt:
		result.State = ClaimGranted
	}
	return result
}

func (table *claimTable) record(now int64, record Record) RecordResult {
	key := claimKey{record.Customer, record.Key}
	entry := table.keys[key]
	if record.Outcome == core.NotRun {
		return table.recordNotRun(now, entry, key, record.Attempt)
	}
	if entry == nil || entry.State == 0 || entry.Attempt != record.Attempt {
		return RecordResult{}
	}
	if entry.State == ClaimDone {
		return RecordResult{Accepted: record.Outcome == core.Ran}
	}
	switch record.Outcome {
	case core.Ran:
		entry.State = ClaimDone
		entry.Answer = table.keep(key, record.Answer)
	case core.Unknown:
		entry.State = ClaimUnknown
	default:
		return RecordResult{}
	}
	table.touch(now, entry, key)
	return RecordResult{Accepted: true}
}

// recordNotRun gives the key back, or bars the attempt if its claim is still on
// its way. A recorded outcome stands.
func (table *claimTable) recordNotRun(now int64, entry *claimEntry, key claimKey, attempt core.AttemptID) RecordResult {
	if entry == nil {
		entry = &claimEntry{}
		table.keys[key] = entry
	}
	if slices.Contains(entry.Barred, attempt) {
		return RecordResult{Accepted: true}
	}
	holds := entry.State != 0 && entry.Attempt == attempt
	if holds && entry.State != ClaimInProgress {
		return RecordResult{}
	}
	if holds {
		*entry = claimEntry{Barred: entry.Barred}
	}
	entry.Barred = append(entry.Barred, attempt)
	if len(entry.Barred) > maxBarred {
		entry.Barred = slices.Clone(entry.Barred[1:])
	}
	table.touch(now, entry, key)
	return RecordResult{Accepted: true}
}

// touch starts the retention of an entry again.
func (table *claimTable) touch(now int64, entry *claimEntry, key claimKey) {
	entry.Touched = now
	table.queue = append(table.queue, touch{key, now})
}

// expire forgets the keys whose retention has ended.
func (table *claimTable) expire(now int64) {
	limit := now - table.limits.Retention.Milliseconds()
	for len(table.queue) > 0 && table.queue[0].At < limit {
		first := table.queue[0]
		table.queue = table.queue[1:]
		entry := table.keys[first.Key]
		if entry == nil || entry.Touched != first.At {
			continue
		}
		table.dropBody(entry)
		delete(table.keys, first.Key)
	}
	for len(table.answers) > 0 && !table.hasBody(table.answers[0]) {
		table.answers = table.answers[1:]
	}
}

func (table *claimTable) hasBody(key claimKey) bool {
	entry := table.keys[key]
	return entry != nil && entry.Answer != nil && len(entry.Answer.Body) > 0
}

// keep returns the answer as it is recorded and drops the oldest bodies if there
// is no room.
func (table *claimTable) keep(key claimKey, answer *Answer) *Answer {
	if answer == nil {
		return nil
	}
	kept := *answer
	if core.Bytes(len(kept.Body)) > MaxAnswer {
		kept.Body, kept.Truncated = nil, true
	}
	table.answerBytes += core.Bytes(len(kept.Body))
	if len(kept.Body) > 0 {
		table.answers = append(table.answers, key)
	}
	for table.answerBytes > table.limits.AnswerBytes && len(table.answers) > 0 {
		oldest := table.answers[0]
		table.answers = table.answers[1:]
		if oldest == key {
			table.answerBytes -= core.Bytes(len(kept.Body))
			kept.Body, kept.Truncated = nil, true
			break
		}
		if entry := table.keys[oldest]; entry != nil {
			table.dropBody(entry)
		}
	}
	return &kept
}

func (table *claimTable) dropBody(entry *claimEntry) {
	if entry.Answer == nil || len(entry.Answer.Body) == 0 {
		return
	}
	table.answerBytes -= core.Bytes(len(entry.Answer.Body))
	dropped := *entry.Answer
	dropped.Body, dropped.Truncated = nil, true
	entry.Answer = &dropped
}
