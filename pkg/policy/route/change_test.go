package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

// TestChange guards against an index that was changed and finds other routes or workspaces than one
// that was made from the table: a removed route that is still served, or one that hides another.
func TestChange(t *testing.T) {
	hosts := []string{"a.example", "A.example", "b.example", "b.example:80", "[::1]:80", "c.example"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		kinds := 3 + random.IntN(len(hosts)-2) // without hosts with ports in some histories
		table, index := routediff.Table{}, &Index{}
		for number := core.ConfigNumber(1); number < 8; number++ {
			next := core.RouteTable{Number: number}
			used := make(map[routediff.RouteKey]bool)
			for range random.IntN(12) {
				route := core.Route{Host: hosts[random.IntN(kinds)], Prefix: fmt.Sprintf("/%d/", random.IntN(3)), MaxAttempts: random.IntN(2)}
				if route.Host == "A.example" && used[routediff.RouteKey{Host: "a.example", Prefix: route.Prefix}] || used[routediff.RouteKey{Host: route.Host, Prefix: route.Prefix}] {
					continue
				}
				used[routediff.RouteKey{Host: route.Host, Prefix: route.Prefix}] = true
				if route.Host == "A.example" {
					used[routediff.RouteKey{Host: "a.example", Prefix: route.Prefix}] = true
				}
				next.Routes = append(next.Routes, route)
			}
			for i := range random.IntN(3) {
				next.Workspaces = append(next.Workspaces, core.Workspace{Workspace: core.WorkspaceID(fmt.Sprint(i)), Keys: []core.KeyDigest{core.DigestKey(fmt.Sprint(number, i))}})
			}
			replaced, change := table.Replace(next)
			table = replaced
			index = index.Change(next, change)
			compare(t, seed, index, NewIndex(next))
		}
	}
}

// compare compares what two indexes find.
func compare(t *testing.T, seed uint64, changed, made *Index) {
	t.Helper()
	for _, host := range []string{"a.example", "b.example", "::1", "[::1]", "c.example", "d.example"} {
		for prefix := range 4 {
			path := fmt.Sprintf("/%d/x", prefix)
			got, want := changed.Match(host, path), made.Match(host, path)
			if (got == nil) != (want == nil) || got != nil && (got.Host != want.Host || got.Prefix != want.Prefix || got.MaxAttempts != want.MaxAttempts) {
				t.Fatalf("seed %d, number %d, %s%s: %+v instead of %+v", seed, made.Table().Number, host, path, got, want)
			}
		}
	}
	for number := range 8 {
		for i := range 3 {
			key := fmt.Sprint(core.ConfigNumber(number), i)
			got, found := changed.Workspaces().Identify(key)
			want, expected := made.Workspaces().Identify(key)
			if found != expected || found && got.Workspace != want.Workspace {
				t.Fatalf("seed %d, number %d, key %s: %v instead of %v", seed, made.Table().Number, key, got, want)
			}
		}
	}
}

// makeTable returns a table with many routes on some hosts.
func makeTable(number core.ConfigNumber, routes int) core.RouteTable {
	table := core.RouteTable{Number: number}
	for i := range routes {
		route := core.Route{Host: fmt.Sprintf("host-%d.example", i%100), Prefix: fmt.Sprintf("/path-%d/", i)}
		if i == 0 {
			route.MaxAttempts = int(number)
		}
		table.Routes = append(table.Routes, route)
	}
	return table
}

// BenchmarkChange measures the index of a table with 5,000 routes of which one has changed.
func BenchmarkChange(b *testing.B) {
	table := routediff.NewTable(makeTable(1, 5000))
	next := makeTable(2, 5000)
	_, change := table.Replace(next)
	b.Run("change", func(b *testing.B) {
		index := NewIndex(table.Routes())
		for b.Loop() {
			index.Change(next, change)
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			NewIndex(next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if _, err := table.Apply(change); err != nil {
				b.Fatal(err)
			}
		}
	})
}
