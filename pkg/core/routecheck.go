package core

import (
	"fmt"
	"strings"
)

// Check returns every fault of a route table: a missing number, a route without a name,
// host, prefix, kind, time limit or target, a target that is no service of the table,
// weights that add up to nothing, and two routes in one place.
func (table *RouteTable) Check() []Fault {
	checker := routeChecker{services: make(map[ServiceID]bool), places: make(map[string]int)}
	checker.add(table.Number == 0, "Number", "is zero")
	for i, service := range table.Services {
		place := fmt.Sprintf("Services[%d]", i)
		checker.add(service.Service == "", place, "has no name")
		checker.add(checker.services[service.Service], place, fmt.Sprintf("repeats %q", service.Service))
		checker.services[service.Service] = true
	}
	for i := range table.Routes {
		checker.route(i, &table.Routes[i])
	}
	return checker.faults
}

type routeChecker struct {
	services map[ServiceID]bool
	places   map[string]int
	faults   []Fault
}

func (checker *routeChecker) add(bad bool, place, reason string) {
	if bad {
		checker.faults = append(checker.faults, Fault{place, reason})
	}
}

func (checker *routeChecker) route(index int, route *Route) {
	place := fmt.Sprintf("Routes[%d]", index)
	checker.add(route.Host == "", place+".Host", "is empty")
	slashes := strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/")
	checker.add(!slashes, place+".Prefix", fmt.Sprintf("%q does not begin and end with a slash", route.Prefix))
	checker.add(route.Kind < Idempotent || route.Kind > Stream, place+".Kind", "is unknown")
	checker.add(route.Timeout <= 0, place+".Timeout", "is not above 0")
	checker.add(route.MaxAttempts < 0, place+".MaxAttempts", "is below 0")
	key := strings.ToLower(route.Host) + route.Prefix
	first, taken := checker.places[key]
	checker.add(taken, place, fmt.Sprintf("has the host and prefix of Routes[%d]", first))
	if !taken {
		checker.places[key] = index
	}
	checker.targets(place, route.Targets)
}

func (checker *routeChecker) targets(place string, targets []RouteTarget) {
	var sum Weight
	for i, target := range targets {
		at := fmt.Sprintf("%s.Targets[%d]", place, i)
		checker.add(!checker.services[target.Service], at, fmt.Sprintf("names the unknown service %q", target.Service))
		checker.add(target.Weight < 0, at, "has a weight below 0")
		sum += max(0, target.Weight)
	}
	checker.add(sum <= 0, place+".Targets", "have no weight")
}
