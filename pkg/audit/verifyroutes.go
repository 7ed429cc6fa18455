package audit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// routeUse identifies the entry of a route table that must exist to allow a run.
type routeUse struct {
	number  core.ConfigNumber
	route   core.RouteName
	service core.ServiceID
}

// routeCheck checks runs against the route tables that the log itself contains. A table
// may follow the runs that used it, so runs are checked after all records were read.
type routeCheck struct {
	tables map[core.ConfigNumber]RouteTargets
	// uses holds the first run of each use, and counts the number of runs.
	uses   map[routeUse]Entry
	counts map[routeUse]int
}

func newRouteCheck() routeCheck {
	return routeCheck{
		tables: make(map[core.ConfigNumber]RouteTargets), uses: make(map[routeUse]Entry), counts: make(map[routeUse]int),
	}
}

// addTable adds a committed table. It returns false if an earlier record has other
// content for the same number.
func (check *routeCheck) addTable(record Record) bool {
	known, ok := check.tables[record.Config]
	if !ok {
		check.tables[record.Config] = record.Targets
		return true
	}
	return maps.EqualFunc(known, record.Targets, slices.Equal)
}

func (check *routeCheck) addRun(entry Entry) {
	use := routeUse{entry.Record.Config, entry.Record.Route, entry.Record.Service}
	if _, ok := check.uses[use]; !ok {
		check.uses[use] = entry
	}
	check.counts[use]++
}

// finish calls report for each use that no table allows, and returns the number of runs
// whose table is in the log. A table that is not in the log is reported with KindNoConfig,
// which does not prove a fault: its record may have been lost with the VM that wrote it.
func (check *routeCheck) finish(report func(Kind, Entry, string)) (joined int) {
	uses := slices.SortedFunc(maps.Keys(check.uses), func(a, b routeUse) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.route, b.route), cmp.Compare(a.service, b.service))
	})
	for _, use := range uses {
		table, ok := check.tables[use.number]
		if !ok {
			report(KindNoConfig, check.uses[use], "the route table is not in the log")
			continue
		}
		joined += check.counts[use]
		if !slices.Contains(table[use.route], use.service) {
			report(KindNotAllowed, check.uses[use], "route "+string(use.route)+" does not allow service "+string(use.service))
		}
	}
	return joined
}
