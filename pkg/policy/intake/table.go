package intake

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Class is the kind of client that a port serves.
type Class int

const (
	// Callers send requests to be answered by upstreams.
	Callers Class = iota
	// Platform is the load balancer that probes, and what reads metrics.
	Platform
	// Peers are other VMs.
	Peers
	// Operators change and read what is in force.
	Operators
	// Upstreams announce themselves; on a control VM, operators use the same port.
	Upstreams
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class as metrics have it.
func (class Class) String() string {
	return [...]string{"callers", "platform", "peers", "operators", "upstreams"}[class]
}

// reserveShare is the part of the connections, as 1/n, that is kept for each class with a port but
// Callers.
const reserveShare = 16

// minStalled is the time without progress from which a client may be dropped to make room. A
// client that makes progress, or has just connected, is not dropped for a new one.
const minStalled = time.Second

// Verdict is what to do with a new connection.
type Verdict int

const (
	// Accept serves it.
	Accept Verdict = iota
	// Replace serves it if a client can be dropped for it, and closes it otherwise.
	Replace
)

// Table counts the connections of a process. The zero value has the default limits and no
// connections. It is not safe for concurrent use.
type Table struct {
	Limits Limits
	open   [Classes]int
	served [Classes]bool
}

// Serve notes that the process has a port for a class. Nothing is kept for the other classes.
func (table *Table) Serve(class Class) { table.served[class] = true }

// Open returns what to do with a new connection. An accepted one must be reported to Opened.
func (table *Table) Open(class Class) Verdict {
	if table.open[class] < table.reserve(class) {
		return Accept
	}
	free := table.Limits.WithDefaults().Connections
	for each := range Classes {
		free -= max(table.open[each], table.reserve(each))
	}
	if free > 0 {
		return Accept
	}
	return Replace
}

// reserve returns the number of connections that are kept for a class.
func (table *Table) reserve(class Class) int {
	if class == Callers || !table.served[class] {
		return 0
	}
	return table.Limits.WithDefaults().Connections / reserveShare
}

// Opened counts a connection that is served.
func (table *Table) Opened(class Class) { table.open[class]++ }

// Closed stops counting a connection.
func (table *Table) Closed(class Class) { table.open[class]-- }

// Count returns the number of connections of a class.
func (table *Table) Count(class Class) int { return table.open[class] }

// Client describes what one connection holds.
type Client struct {
	Class Class
	// Held is the memory that the client takes.
	Held core.Bytes
	// Stalled is the time since the client made progress.
	Stalled time.Duration
	// Kept is set for a client that must not be dropped, such as a VM that has proved who it is.
	Kept bool
}

// Droppable reports whether a client may be dropped for a new connection: one that makes no
// progress, of a class that uses more than what is kept for it.
func (table *Table) Droppable(client Client) bool {
	return !client.Kept && client.Stalled >= minStalled && table.open[client.Class] > table.reserve(client.Class)
}

// Before reports whether a client is dropped before another one: the one that holds more, or the
// one that has made no progress for longer if both hold the same.
func Before(client, other Client) bool {
	if client.Held != other.Held {
		return client.Held > other.Held
	}
	return client.Stalled > other.Stalled
}
