package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/h1"
)

// TestUnfinishedEvents guards against upstreams that begin a large event on each of many
// streams and never end it: together the events must not take more than the memory for bodies,
// and streams of usual events must go on beside them.
func TestUnfinishedEvents(t *testing.T) {
	const (
		streams = 2000
		step    = readSize
		usual   = "id: 1\ndata: token\n\n"
		// smallBuffer is the size up to which a buffer takes nothing from the memory.
		smallBuffer = 16 << 10
	)
	is := is.New(t)
	var memory h1.Memory
	var held, broken int
	chunk := bytes.Repeat([]byte("x"), step)
	for range streams {
		reservation, release := memory.Reserve()
		defer release()
		splitter := eventSplitter{memory: reservation}
		var err error
		for sent := 0; err == nil && sent+step <= maxEventBytes; sent += step {
			_, _, err = splitter.split(chunk)
		}
		if errors.Is(err, h1.ErrMemory) {
			broken++
			continue // the stream ends and its buffer is freed
		}
		is.NoErr(err)
		held += max(0, splitter.Capacity()-smallBuffer)
	}
	is.True(broken > 0)
	is.True(held <= int(h1.DefaultMemory))
	reservation, release := memory.Reserve()
	defer release()
	splitter := eventSplitter{memory: reservation}
	whole, _, err := splitter.split([]byte(usual))
	is.NoErr(err)
	is.Equal(string(whole), usual)
}

// TestEventBound guards against an event without end that takes the gateway's memory for bodies,
// and against the loss of the events before it.
func TestEventBound(t *testing.T) {
	is := is.New(t)
	const before = "id: 1\ndata: a\n\n"
	for _, size := range []int{maxEventBytes, maxEventBytes + 1} {
		splitter := eventSplitter{}
		whole, events, err := splitter.split([]byte(before + strings.Repeat("x", size)))
		is.Equal(string(whole), before)
		is.Equal(len(events), 1)
		var bound *h1.BoundError
		is.Equal(errors.As(err, &bound), size > maxEventBytes)
	}
}
