package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

const (
	// reportMargin is added to the age of a load report. It covers the way of the
	// announcement over another VM of the zone.
	reportMargin = 300 * time.Millisecond
	// evictAfter is the number of announcements that a new owner needs from an
	// engine before it evicts there: the first may be older than the previous
	// owner's last send.
	evictAfter = 2
	// absentGrace is how long calls wait while the group has no upstream. It covers
	// two announcements, so that a new owner refuses nothing that it could serve.
	absentGrace = 2 * time.Second
	// forgetAfter is the silence after which an upstream's entry is reused.
	forgetAfter = time.Minute
	// wakeUp bounds the time between ticks while upstreams or calls are known.
	wakeUp = 250 * time.Millisecond
	// engineBackoff keeps loads off an engine that failed several in a row.
	engineBackoff  = 2 * time.Second
	engineFailures = 3
	// settleAfter is the time for which a slot is left alone whose load was not
	// answered: the engine may still be loading, and a load that never ends keeps
	// its slot.
	settleAfter = 30 * time.Second
	// evictRetry is the pause after an eviction that was refused.
	evictRetry        = 500 * time.Millisecond
	defaultBatchSize  = 256
	defaultQueueLimit = 4096
	defaultAdapters   = 32768
	defaultLoadLimit  = 5 * time.Second
	defaultLoadTime   = 250 * time.Millisecond
)

// Config holds the settings of a scheduler. Zero values of the limits mean the
// defaults: 4,096 waiting calls, 32,768 adapter versions, 5 s for a load.
type Config struct {
	Batching batching.Setting
	// Budget is the group's first share of the store's limit.
	Budget       budget.Share
	QueueLimit   int
	AdapterLimit int
	// LoadLimit is the time after which an unanswered load counts as failed.
	LoadLimit time.Duration
}

func (config Config) withDefaults() Config {
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	if config.AdapterLimit == 0 {
		config.AdapterLimit = defaultAdapters
	}
	if config.LoadLimit == 0 {
		config.LoadLimit = defaultLoadLimit
	}
	if config.Budget.LoadTime == 0 {
		config.Budget.LoadTime = defaultLoadTime
	}
	return config
}

// Call is what the scheduler knows of a call.
type Call struct {
	Attempt  core.AttemptID
	Customer core.CustomerID
	// Adapter is zero for a call that any upstream of the group can run.
	Adapter  core.AdapterVersion
	Priority core.Priority
	// Deadline is the latest time at which the call may be sent.
	Deadline time.Time
	// Suspect calls run alone on their upstream.
	Suspect bool
	// Prefixes are hashes of the prompt's prefixes, the shortest first. The
	// scheduler keeps the slice until the call is sent.
	Prefixes []uint64
}
