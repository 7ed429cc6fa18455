package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// TestEndedProcessHasNoKnownSoftware guards against a process that has taken the place of another
// one, under its ID and with other software, and gets that one's streams before it has announced
// itself, and against an upstream that is not trusted any more although it goes on.
func TestEndedProcessHasNoKnownSoftware(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	instance := core.Instance{Upstream: "u", Born: 1, Sequence: 7, Service: "s", Software: "v1", Address: "10.0.0.1:1", Zone: "z", Slots: 4}
	table.SetInstance(clock.Now(), instance)
	continued := Query{Service: "s", Origin: origin.Requirement{Continues: true, Software: "v1"}}
	selected, ok := table.Select(clock.Now(), continued)
	is.True(ok)
	is.Equal(selected.Software, core.SoftwareVersion("v1"))

	table.MarkEnded(selected)
	_, ok = table.Select(clock.Now(), continued)
	is.True(!ok)
	_, ok = table.Reserve(clock.Now(), "u", continued)
	is.True(!ok)
	is.True(!table.HasSoftware(continued))
	begun, ok := table.Select(clock.Now(), Query{Service: "s"})
	is.True(ok)
	is.Equal(begun.Software, core.SoftwareVersion("")) // the stream is not continued as v1

	instance.Sequence = 8
	table.SetInstance(clock.Now(), instance) // may have been sent before the end
	is.True(!table.HasSoftware(continued))
	instance.Sequence = 9
	table.SetInstance(clock.Now(), instance)
	is.True(table.HasSoftware(continued))

	table.MarkEnded(selected)
	next := instance
	next.Born, next.Sequence, next.Software = 2, 1, "v2"
	table.SetInstance(clock.Now(), next)
	is.True(!table.HasSoftware(continued))
	is.True(table.HasSoftware(Query{Service: "s", Origin: origin.Requirement{Continues: true, Software: "v2"}}))
	table.MarkEnded(selected) // of the process before
	is.True(table.HasSoftware(Query{Service: "s", Origin: origin.Requirement{Continues: true, Software: "v2"}}))
}
