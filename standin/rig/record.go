package rig

import "github.com/dandelionring/dandelionring/pkg/core"

// Event is the kind of a record.
type Event string

// The records of a caller.
const (
	// Sent means that the caller has written the whole request.
	Sent Event = "sent"
	// Answered means that the head of the response has arrived.
	Answered Event = "answered"
	// Received means that a whole event of a stream has arrived.
	Received Event = "received"
	// Ended means that the response has ended, or the connection without one.
	Ended Event = "ended"
	// Left means that the caller has closed the connection before the response ended.
	Left Event = "left"
)

// The records of an upstream.
const (
	// Arrived means that the upstream has read the head of a request.
	Arrived Event = "arrived"
	// Rejected means that the upstream has stated that it does not run the request.
	Rejected Event = "rejected"
	// Began means that the upstream has begun to run the request.
	Began Event = "began"
	// Crashed means that the process ends because of the request.
	Crashed Event = "crashed"
)

// The records of the player, which starts and stops the processes.
const (
	// Disrupted means that the disruption in Detail has begun on the process in Process.
	Disrupted Event = "disrupted"
	// Restored means that it has ended.
	Restored Event = "restored"
)

// Slowed is the first word of the Detail of a disruption that slows a process or its links
// and does not stop or cut them. A control VM that is slowed destabilises the core as long as
// that lasts.
const Slowed = "slowed"

// Record is one line of a file of records. Fields that an event does not need are empty.
type Record struct {
	// At is the time in Unix microseconds.
	At    int64
	Event Event
	// Process is the name of the process that the record is about: the entry VM to which the
	// caller is connected, the upstream, or the disrupted process.
	Process string `json:",omitempty"`
	// Request is the ID of one attempt of a caller, and Origin that of the attempt whose
	// answer brought the first event of a stream that is taken up.
	Request core.RequestID `json:",omitempty"`
	Origin  core.RequestID `json:",omitempty"`
	// Task is the same in all attempts of a caller for one piece of work.
	Task string `json:",omitempty"`
	// Service, Kind and MaxAttempts are those of the route.
	Service     core.ServiceID `json:",omitempty"`
	Kind        RouteKind      `json:",omitempty"`
	MaxAttempts int            `json:",omitempty"`
	// Software is the software version of the upstream that writes the record.
	Software core.SoftwareVersion `json:",omitempty"`
	// DeadlineMillis is the time that the caller waits, or that the upstream was handed;
	// zero if the request names none.
	DeadlineMillis int64 `json:",omitempty"`
	// LastEvent is the event after which the request asks to go on, zero for a new stream.
	LastEvent int `json:",omitempty"`
	// Number is the number of a received event, from 1. Writer and Version are the run and
	// the software version that its data names, and Of is the number of events of the stream.
	// At the end of a whole answer Number is the number of bytes of its body, and Of the
	// number that the upstream has stated in it.
	Number  int                  `json:",omitempty"`
	Writer  string               `json:",omitempty"`
	Version core.SoftwareVersion `json:",omitempty"`
	Of      int                  `json:",omitempty"`
	// Run identifies one run of a request at an upstream.
	Run string `json:",omitempty"`
	// Status is the status of a response.
	Status int `json:",omitempty"`
	// Complete is set if the response ended as the protocol says that a complete one ends.
	Complete bool `json:",omitempty"`
	// Crashing is set if the content of the request ends each upstream that runs it.
	Crashing bool `json:",omitempty"`
	// Content is the same in all requests with the same crashing content; empty means that
	// only the attempts of one Task have it. Part names the crashing part of the prompt.
	Content string `json:",omitempty"`
	Part    string `json:",omitempty"`
	// Detail names the fault of an answer that cannot be read, or the disruption. The first
	// word of a disruption that slows a process is Slowed.
	Detail string `json:",omitempty"`
}

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of routes.
const (
	Safe      RouteKind = "safe"
	Unsafe    RouteKind = "unsafe"
	Stream    RouteKind = "stream"
	Resumable RouteKind = "resumable"
)
