package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// attempt is one request in the queue or in the batch.
type attempt struct {
	id       core.AttemptID
	av       core.AdapterVersion
	prompt   Prompt
	priority core.Priority
	offset   core.Tokens
	// prefill is the number of remaining steps before the first token. It is set
	// at admission to the batch.
	prefill int
	// tokens has capacity for every token that the attempt can still produce, so
	// that the batch never waits for a reader. It is closed when the attempt ends.
	tokens chan string
	// complete is set before tokens is closed if all tokens were produced.
	complete bool
	// ended is closed when the attempt has been removed from queue and batch.
	ended chan struct{}
}

// runBatch runs one step per TokenTime while there is work, until the context ends.
func (engine *Engine) runBatch(ctx context.Context) {
	ticker := time.NewTicker(engine.settings.TokenTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-engine.wake:
		}
		ticker.Reset(engine.settings.TokenTime)
		for engine.step() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// step admits queued attempts and advances each attempt in the batch by one token
// or one prefill step. It returns false if the batch is empty.
func (engine *Engine) step() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.admit()
	if len(engine.batch) == 0 {
		return false
	}
	engine.counts.Steps++
	engine.batchSizeSum += int64(len(engine.batch))
	for _, current := range slices.Clone(engine.batch) {
		engine.advance(current)
	}
	return true
}

// admit moves attempts from the queue to the batch until the batch is full. The
// queue is ordered by descending priority, and by arrival within a priority.
func (engine *Engine) admit() {
	for len(engine.batch) < engine.settings.BatchSize && len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		missing := engine.cache.use(next.av, next.prompt.Prefixes)
		if engine.settings.PrefillBlocks > 0 {
			next.prefill = missing / engine.settings.PrefillBlocks
		}
		engine.batch = append(engine.batch, next)
	}
}

func (engine *Engine) advance(current *attempt) {
	if current.prefill > 0 {
		current.prefill--
		return
	}
	if strings.Contains(current.prompt.Text, CrashMarker) {
		engine.exit(1)
		engine.finish(current, "crashed")
		return
	}
	if current.offset < current.prompt.Tokens {
		current.tokens <- Token(current.av, engine.settings.Software, current.prompt.Text, current.offset)
		current.offset++
		engine.counts.Tokens++
	}
	if current.offset >= current.prompt.Tokens {
		current.complete = true
		engine.counts.Whole++
		engine.finish(current, "whole")
	}
}

// enqueue adds an attempt whose adapter version is resident to the queue. The caller
// must hold the lock.
func (engine *Engine) enqueue(next *attempt) {
	engine.slots[next.av].users++
	engine.attempts[next.id] = next
	engine.seenAttempts[next.id] = true
	engine.counts.Runs++
	if next.offset > 0 {
		engine.counts.Resumed++
	}
	position, _ := slices.BinarySearchFunc(engine.queue, next, func(queued, added *attempt) int {
		if queued.priority >= added.priority {
			return -1
		}
		return 1
	})
	engine.queue = slices.Insert(engine.queue, position, next)
	engine.journal.Add(journal.Entry{Event: journal.Run, Key: journal.ContentKey(next.prompt.Text), Attempt: next.id, Adapter: next.av.Adapter, Version: next.av.Version})
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// finish removes the attempt from queue and batch and closes its channels. The
// caller must hold the lock.
func (engine *Engine) finish(current *attempt, detail string) {
	remove := func(list []*attempt) []*attempt {
		return slices.DeleteFunc(list, func(other *attempt) bool { return other == current })
	}
	engine.queue, engine.batch = remove(engine.queue), remove(engine.batch)
	if adapterSlot, ok := engine.slots[current.av]; ok {
		adapterSlot.users--
	}
	if engine.attempts[current.id] == current {
		delete(engine.attempts, current.id)
	}
	engine.journal.Add(journal.Entry{Event: journal.End, Key: journal.ContentKey(current.prompt.Text), Attempt: current.id, Detail: detail})
	close(current.tokens)
	close(current.ended)
}
