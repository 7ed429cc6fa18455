package fleet

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// reportedPrompt is the size from which the end of the reading of a prompt makes a report to
// the owner due. An engine reads it in some 70 ms, so that smaller ones are read before a report
// arrives.
const reportedPrompt core.Tokens = 2048

// pendingPrompt is the prompt of a request that was sent and of which no event has arrived.
// The lock of the table guards it.
type pendingPrompt struct {
	tokens core.Tokens
	// alone is set if the engine had no other prompt to read when the request was selected.
	alone bool
}

// sendPrompt counts the prompt of a request as to be read by the upstream, until PromptRead or
// Finish. It returns nil if the request states none. The caller holds the lock.
func (known *upstream) sendPrompt(query Query) *pendingPrompt {
	if query.Prompt <= 0 {
		return nil
	}
	pending := &pendingPrompt{tokens: query.Prompt, alone: known.ownPrompts+known.otherPrompts == 0}
	known.ownPrompts += pending.tokens
	return pending
}

// PromptRead notes that the first event of a request has arrived, some time after it was sent:
// the engine has read its prompt.
func (table *Table) PromptRead(selected Selection, took time.Duration) {
	if selected.prompt == nil {
		return
	}
	table.lock.Lock()
	defer table.lock.Unlock()
	tokens, alone := selected.prompt.tokens, selected.prompt.alone
	known := table.removePrompt(selected)
	if known == nil {
		return
	}
	if tokens >= reportedPrompt {
		table.changedZones[known.instance.Zone] = true
	}
	if alone {
		rate := table.readingRates[known.instance.Service]
		rate.Observe(tokens, took)
		table.readingRates[known.instance.Service] = rate
	}
}

// removePrompt ends the counting of a prompt, once. It returns the upstream, or nil if the
// process is no longer known. The caller holds the lock.
func (table *Table) removePrompt(selected Selection) *upstream {
	known := table.upstreams[selected.Upstream]
	if known == nil || known.instance.Born != selected.Born {
		return nil
	}
	if selected.prompt != nil {
		known.ownPrompts -= selected.prompt.tokens
		selected.prompt.tokens = 0
	}
	return known
}

// reading returns the time that the upstream needs for the prompts that it has not read, before
// it reads that of another request. The caller holds the lock.
func (table *Table) reading(known *upstream) time.Duration {
	pending := known.ownPrompts + known.otherPrompts
	if pending <= 0 {
		return 0
	}
	rate := table.readingRates[known.instance.Service]
	return rate.Time(pending)
}

// readingRates holds the rate at which the engines of each service read prompts.
type readingRates map[core.ServiceID]selection.ReadingRate
