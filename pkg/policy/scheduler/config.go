package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

const (
	// reportDelayMargin is added to the age of a load report. It covers the delay of
	// an announcement that is relayed by another VM of the zone.
	reportDelayMargin = 300 * time.Millisecond
	// minEvictAnnouncements is the number of announcements that a new owner needs
	// from an engine before it evicts an adapter there. The first announcement may be
	// older than the last send of the previous owner.
	minEvictAnnouncements = 2
	// noUpstreamGrace is how long calls wait while the group has no usable upstream.
	// It covers two announcements, so that a new owner does not refuse calls that an
	// upstream could serve.
	noUpstreamGrace = 2 * time.Second
	// upstreamRetention is the time since its last announcement after which the entry
	// of an upstream may be reused for another one.
	upstreamRetention = time.Minute
	// maxTickInterval bounds the time between ticks while the group has known
	// upstreams or waiting calls.
	maxTickInterval = 250 * time.Millisecond
	// engineBackoff is how long an engine gets no loads after engineFailureLimit or
	// more failed loads in a row.
	engineBackoff      = 2 * time.Second
	engineFailureLimit = 3
	// uncertainSlotRetention is the time for which a slot is not reused after a load
	// that was not answered or for which the engine had no free slot. The engine may
	// still be loading, and a load that never ends keeps its slot.
	uncertainSlotRetention = 30 * time.Second
	// evictRetryDelay is the time after a failed eviction before it is requested
	// again.
	evictRetryDelay     = 500 * time.Millisecond
	defaultBatchSize    = 256
	defaultQueueLimit   = 4096
	defaultAdapterLimit = 32768
	defaultLoadLimit    = 5 * time.Second
	defaultLoadTime     = 250 * time.Millisecond
)

// Config holds the settings of a scheduler. Zero limits select the defaults: 4,096
// waiting calls, 32,768 adapter versions, and a LoadLimit of 5 s. A zero
// Budget.LoadTime selects 250 ms.
type Config struct {
	Batching batching.Setting
	// Budget is the group's initial share of the store's load limit.
	Budget budget.Share
	// QueueLimit is the largest number of waiting calls.
	QueueLimit int
	// AdapterLimit is the largest number of adapter versions whose state is kept.
	AdapterLimit int
	// LoadLimit is the time after which an unanswered load or eviction counts as
	// failed.
	LoadLimit time.Duration
}

// withDefaults returns a copy of config with zero values replaced by the defaults.
func (config Config) withDefaults() Config {
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	if config.AdapterLimit == 0 {
		config.AdapterLimit = defaultAdapterLimit
	}
	if config.LoadLimit == 0 {
		config.LoadLimit = defaultLoadLimit
	}
	if config.Budget.LoadTime == 0 {
		config.Budget.LoadTime = defaultLoadTime
	}
	return config
}

// Call describes a call to be scheduled.
type Call struct {
	Attempt  core.AttemptID
	Customer core.CustomerID
	// Adapter is zero for a call that any upstream of the group can run.
	Adapter  core.AdapterVersion
	Priority core.Priority
	// Deadline is the time from which on the call may no longer be sent.
	Deadline time.Time
	// Origin states which software the upstream must have.
	Origin origin.Requirement
	// Suspect marks a call that must run alone on its upstream.
	Suspect bool
	// Prefixes are hashes of the prompt's prefixes, the shortest first. The caller
	// must not change the slice until the call has ended or is refused.
	Prefixes []uint64
}
