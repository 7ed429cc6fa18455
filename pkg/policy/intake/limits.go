package intake

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Limits bound what the clients of a process hold together. A field that is zero has its default.
type Limits struct {
	// Connections is the largest number of connections of all clients.
	Connections int
	// HeadFields is the largest number of lines in one head.
	HeadFields int
	// Heads bounds the memory for the heads of all requests that run or are read, as HeadCost
	// counts it.
	Heads core.Bytes
	// Bodies bounds the bodies that are held.
	Bodies core.Bytes
	// Stall is the longest time without progress of a body that is read, or of a response that
	// is written.
	Stall time.Duration
}

// Defaults of Limits. They leave an entry VM of 184 MB enough for its tables and upstreams.
const (
	DefaultConnections = 1024
	// DefaultHeadFields is not reached by a head of 16 KiB, since a line has four bytes or more.
	DefaultHeadFields            = 4096
	DefaultHeads      core.Bytes = 8 << 20
	DefaultBodies     core.Bytes = 32 << 20
	// DefaultStall is far above the pauses of a client that still sends or reads: the usual
	// timeouts of requests are 2.5 to 20 s, and a resent TCP segment takes at most 3 s.
	DefaultStall = 10 * time.Second
)

// WithDefaults returns the limits with the defaults in place of zeros.
func (limits Limits) WithDefaults() Limits {
	return Limits{
		Connections: orDefault(limits.Connections, DefaultConnections), HeadFields: orDefault(limits.HeadFields, DefaultHeadFields),
		Heads: orDefault(limits.Heads, DefaultHeads), Bodies: orDefault(limits.Bodies, DefaultBodies), Stall: orDefault(limits.Stall, DefaultStall),
	}
}

func orDefault[value int | core.Bytes | time.Duration](given, otherwise value) value {
	if given == 0 {
		return otherwise
	}
	return given
}

const (
	// connectionCost is the memory of one connection in bytes: 8 KiB for the buffers of the
	// server, 8 to 16 KiB for the stacks of its goroutines, and its objects.
	connectionCost = 24 << 10
	// connectionShare, bodyShare and headShare are the parts of the memory of a process, as
	// 1/n, for connections, bodies and heads. Together they are 3/8 of it. The soft limit of
	// the Go runtime is 3/5, and 20 to 25 MB are used without clients.
	connectionShare = 6
	bodyShare       = 6
	headShare       = 24
	// descriptorEighths is the part of the descriptors, in eighths, for connections of clients.
	// A request holds one descriptor for its caller and one for its upstream, so that clients
	// cause at most six eighths. The rest is for links between VMs, files and idle connections.
	descriptorEighths = 3
)

// ForProcess returns the limits for a process that may use the given memory and number of
// descriptors. A value of zero is not known and selects the defaults.
func ForProcess(memory core.Bytes, descriptors int) Limits {
	limits := Limits{}.WithDefaults()
	if memory > 0 {
		limits.Connections = int(memory / connectionShare / connectionCost)
		limits.Bodies, limits.Heads = memory/bodyShare, memory/headShare
	}
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, descriptors*descriptorEighths/8)
	}
	return limits
}

const (
	// fieldCost is the memory in bytes of a header field beside its text: an entry of the map
	// of fields, the slice of its values and the headers of both strings, with the room that a
	// growing map leaves free.
	fieldCost = 160
	// textCost is the memory in bytes of one byte of a head: in the buffer of the server, and
	// in the strings.
	textCost = 2
)

// HeadCost returns the memory that a head with the given number of bytes and lines takes.
func HeadCost(bytes, lines int) core.Bytes { return core.Bytes(bytes*textCost + lines*fieldCost) }
