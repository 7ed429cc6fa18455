package peer

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

// TestRouteChangeMessage guards against a change, small or compressed, that arrives otherwise, and
// against one that is taken for a change between other numbers.
func TestRouteChangeMessage(t *testing.T) {
	is := is.New(t)
	for _, routes := range []int{1, 500} {
		next := core.RouteTable{Number: 9}
		for range routes {
			next.Routes = append(next.Routes, core.Route{Host: "h", Prefix: "/" + string(bytes.Repeat([]byte("x"), len(next.Routes))) + "/"})
		}
		table, change := routediff.Table{}.Replace(next)
		message, err := RouteChangeMessage(change)
		is.NoErr(err)
		is.Equal(message.GetCompressed(), routes > 1)
		received, err := RouteChangeFromMessage(message)
		is.NoErr(err)
		reached, err := routediff.Table{}.Apply(received)
		is.NoErr(err)
		is.Equal(reached.Digest(), table.Digest())
		message.To++
		_, err = RouteChangeFromMessage(message)
		is.True(err != nil)
	}
}

// TestExpandingTable guards against a page of some kilobytes that takes memory without a bound.
func TestExpandingTable(t *testing.T) {
	is := is.New(t)
	data, err := Compress(make([]byte, maxTableBytes+1))
	is.NoErr(err)
	_, err = RouteTableFromMessage(&wire.RoutesPage{CompressedTable: data})
	var tooLarge *FrameSizeError
	is.True(errors.As(err, &tooLarge))
}

// FuzzRouteChange looks for a change of another VM that makes this one panic or that it applies
// although the table is another one than stated.
func FuzzRouteChange(f *testing.F) {
	_, change := routediff.Table{}.Replace(core.RouteTable{Number: 2, Routes: []core.Route{{Host: "h", Prefix: "/"}}})
	data, err := json.Marshal(change)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data, false)
	compressed, err := Compress(data)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compressed, true)
	f.Fuzz(func(t *testing.T, data []byte, compressed bool) {
		change, err := RouteChangeFromMessage(&wire.RouteChange{To: 2, Change: data, Compressed: compressed})
		if err != nil {
			return
		}
		if table, err := (routediff.Table{}).Apply(change); err == nil && routediff.NewTable(table.Routes()).Digest() != change.Digest {
			t.Errorf("the table %+v does not have the stated digest", table.Routes())
		}
	})
}
