package ledger

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// claimKey identifies an idempotency key. Keys of different customers are independent.
type claimKey struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
}

// claimEntry is the stored state of an idempotency key.
type claimEntry struct {
	Content core.Fingerprint
	Attempt core.AttemptID
	Holder  core.VMID
	// HolderIncarnation distinguishes restarts of the holder.
	HolderIncarnation core.Incarnation
	// Since is the time when the claim was granted, in Unix milliseconds.
	Since int64
	// Until is the time after which a claim in progress counts as unknown, in Unix
	// milliseconds.
	Until int64
	// State is zero if no attempt holds the key.
	State  ClaimState
	Answer *Answer
	// Barred lists the attempts that recorded NotRun, with or without holding the key. A
	// delayed claim of such an attempt must not reserve the key.
	Barred []core.AttemptID
	// Touched is the time of the last change, from which the retention counts.
	Touched int64
}

// maxBarredAttempts bounds the length of claimEntry.Barred. It suffices because a caller
// retries a key only a few times and commands are delayed by seconds at most.
const maxBarredAttempts = 16

// touch is an element of the expiry queue. It is stale if the entry was changed after
// At.
type touch struct {
	Key claimKey
	At  int64
}

// claimTable holds the idempotency keys of all customers.
type claimTable struct {
	limits Limits
	keys   map[claimKey]*claimEntry
	// expiryQueue holds an element for every change of an entry, oldest first.
	expiryQueue []touch
	// answerQueue holds the keys with a recorded body, oldest first.
	answerQueue []claimKey
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
	entry.expireFormerIncarnation(now, claim)
	return entry.result(now, claim.Attempt)
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

// expireFormerIncarnation ends the claim in progress if an earlier incarnation of the
// claiming VM holds it: that incarnation no longer runs.
func (entry *claimEntry) expireFormerIncarnation(now int64, claim Claim) {
	if entry.State == ClaimInProgress && claim.Holder == entry.Holder && claim.HolderIncarnation != entry.HolderIncarnation {
		entry.Until = min(entry.Until, now-1)
	}
}

// result returns the state of the key as a claim of the given attempt sees it.
func (entry *claimEntry) result(now int64, attempt core.AttemptID) ClaimResult {
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
		entry.Answer = table.storeAnswer(key, record.Answer)
	case core.Unknown:
		entry.State = ClaimUnknown
	default:
		return RecordResult{}
	}
	table.touch(now, entry, key)
	return RecordResult{Accepted: true}
}

// recordNotRun releases the key if the attempt holds it. In any case it excludes the
// attempt from the key, because a claim of the attempt may still arrive. A recorded
// outcome is not replaced.
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
	if len(entry.Barred) > maxBarredAttempts {
		entry.Barred = slices.Clone(entry.Barred[1:])
	}
	table.touch(now, entry, key)
	return RecordResult{Accepted: true}
}

// touch restarts the retention time of an entry.
func (table *claimTable) touch(now int64, entry *claimEntry, key claimKey) {
	entry.Touched = now
	table.expiryQueue = append(table.expiryQueue, touch{key, now})
}

// expire deletes the keys whose retention time has ended.
func (table *claimTable) expire(now int64) {
	cutoff := now - table.limits.Retention.Milliseconds()
	for len(table.expiryQueue) > 0 && table.expiryQueue[0].At < cutoff {
		oldest := table.expiryQueue[0]
		table.expiryQueue = table.expiryQueue[1:]
		entry := table.keys[oldest.Key]
		if entry == nil || entry.Touched != oldest.At {
			continue
		}
		table.dropBody(entry)
		delete(table.keys, oldest.Key)
	}
	for len(table.answerQueue) > 0 && !table.hasBody(table.answerQueue[0]) {
		table.answerQueue = table.answerQueue[1:]
	}
}

func (table *claimTable) hasBody(key claimKey) bool {
	entry := table.keys[key]
	return entry != nil && entry.Answer != nil && len(entry.Answer.Body) > 0
}

// storeAnswer returns the answer to record, without its body if the body is too large.
// It drops the oldest bodies while the total size is above the limit.
func (table *claimTable) storeAnswer(key claimKey, answer *Answer) *Answer {
	if answer == nil {
		return nil
	}
	recorded := *answer
	if core.Bytes(len(recorded.Body)) > MaxAnswerBytes {
		recorded.Body, recorded.Truncated = nil, true
	}
	table.answerBytes += core.Bytes(len(recorded.Body))
	if len(recorded.Body) > 0 {
		table.answerQueue = append(table.answerQueue, key)
	}
	for table.answerBytes > table.limits.AnswerBytes && len(table.answerQueue) > 0 {
		oldest := table.answerQueue[0]
		table.answerQueue = table.answerQueue[1:]
		if oldest == key {
			table.answerBytes -= core.Bytes(len(recorded.Body))
			recorded.Body, recorded.Truncated = nil, true
			break
		}
		if entry := table.keys[oldest]; entry != nil {
			table.dropBody(entry)
		}
	}
	return &recorded
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
