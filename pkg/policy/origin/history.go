package origin

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// memory is the time after the last announcement with a software version for which streams
	// may be taken up that began at it. Upstreams announce themselves to be passed on at least
	// every 5 s, and callers wait some seconds for an answer.
	memory = 40 * time.Second
	// maxVersions bounds the versions of one service. More than one is all that matters.
	maxVersions = 16
)

// History knows which software versions the upstreams of each service announced lately. If it was
// only one, that one began every stream of the service. The zero value has heard of none and is
// complete. A History is not safe for concurrent use.
type History struct {
	// CompleteFrom is the time from which the history is complete: a VM that has started without
	// what it knew before has missed announcements.
	CompleteFrom time.Duration
	heard        map[core.ServiceID]map[core.SoftwareVersion]time.Duration
}

// Start makes the history incomplete at a time, until it has listened for long enough.
func (history *History) Start(now time.Duration) { history.CompleteFrom = now + memory }

// Complete reports whether the history holds all announcements of the time that matters.
func (history *History) Complete(now time.Duration) bool { return now >= history.CompleteFrom }

// Note stores that an upstream of a service has announced a version. The empty one is a version
// that is not known, and differs from every other one.
func (history *History) Note(now time.Duration, service core.ServiceID, software core.SoftwareVersion) {
	if history.heard == nil {
		history.heard = make(map[core.ServiceID]map[core.SoftwareVersion]time.Duration)
	}
	versions := history.heard[service]
	if versions == nil {
		versions = make(map[core.SoftwareVersion]time.Duration)
		history.heard[service] = versions
	}
	for other, at := range versions {
		if now-at >= memory {
			delete(versions, other)
		}
	}
	if last, known := versions[software]; known || len(versions) < maxVersions {
		versions[software] = max(now, last)
	}
}

// Heard is an announcement of a software version, and the time since the last one.
type Heard struct {
	Service  core.ServiceID
	Software core.SoftwareVersion
	Age      time.Duration
}

// Recent returns the versions that were announced lately.
func (history *History) Recent(now time.Duration) []Heard {
	var recent []Heard
	for service, versions := range history.heard {
		for software, at := range versions {
			if now-at < memory {
				recent = append(recent, Heard{service, software, now - at})
			}
		}
	}
	return recent
}

// Sole returns the version of a service if upstreams announced no other one lately. It returns
// an empty one if there were several or none, or if the history is not complete.
func (history *History) Sole(now time.Duration, service core.ServiceID) core.SoftwareVersion {
	if !history.Complete(now) {
		return ""
	}
	var sole core.SoftwareVersion
	count := 0
	for software, at := range history.heard[service] {
		if now-at < memory {
			sole = software
			count++
		}
	}
	if count != 1 {
		return ""
	}
	return sole
}

// Agreed returns the version that a majority of the asked VMs and all that have answered state
// as the only one, and an empty one if there is none.
func Agreed(stated []core.SoftwareVersion, asked int) core.SoftwareVersion {
	if 2*len(stated) <= asked {
		return ""
	}
	for _, software := range stated {
		if software != stated[0] {
			return ""
		}
	}
	return stated[0]
}
