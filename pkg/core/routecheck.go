package core

import (
	"fmt"
	"strings"
)

// Check returns all faults of a route table, and nil if it is valid. Faults are a missing
// number, a service without a name or with a duplicate one, a route without a name or host,
// with an invalid prefix, kind, time limit or number of attempts, a target that is not a service of
// the table, a negative weight, weights whose sum is 0, two routes with the same host
// and prefix, a workspace whose name is missing, repeated or not fit for a header, a negative
// quota, and a key that the table has twice. No fault contains a key or its digest.
func (table *RouteTable) Check() []ValidationError {
	checker := routeChecker{services: make(map[ServiceID]bool), routeIndexes: make(map[string]int)}
	checker.addIf(table.Number == 0, "Number", "is zero")
	for i, service := range table.Services {
		place := fmt.Sprintf("Services[%d]", i)
		checker.addIf(service.Service == "", place, "has no name")
		checker.addIf(checker.services[service.Service], place, fmt.Sprintf("repeats %q", service.Service))
		checker.services[service.Service] = true
	}
	for i := range table.Routes {
		checker.checkRoute(i, &table.Routes[i])
	}
	checker.checkWorkspaces(table.Workspaces)
	return checker.faults
}

// routeChecker collects the faults of one route table. The keys of routeIndexes are the
// lower-case host followed by the prefix.
type routeChecker struct {
	services     map[ServiceID]bool
	routeIndexes map[string]int
	faults       []ValidationError
}

func (checker *routeChecker) addIf(invalid bool, place, reason string) {
	if invalid {
		checker.faults = append(checker.faults, ValidationError{place, reason})
	}
}

func (checker *routeChecker) checkRoute(index int, route *Route) {
	place := fmt.Sprintf("Routes[%d]", index)
	checker.addIf(route.Name == "", place+".Name", "is empty")
	checker.addIf(route.Host == "", place+".Host", "is empty")
	validPrefix := strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/")
	checker.addIf(!validPrefix, place+".Prefix", fmt.Sprintf("%q does not begin and end with a slash", route.Prefix))
	checker.addIf(route.Kind < Idempotent || route.Kind > Stream, place+".Kind", "is unknown")
	checker.addIf(route.Timeout <= 0, place+".Timeout", "is not above 0")
	checker.addIf(route.MaxAttempts < 0, place+".MaxAttempts", "is below 0")
	key := strings.ToLower(route.Host) + route.Prefix
	first, duplicate := checker.routeIndexes[key]
	checker.addIf(duplicate, place, fmt.Sprintf("has the host and prefix of Routes[%d]", first))
	if !duplicate {
		checker.routeIndexes[key] = index
	}
	checker.checkTargets(place, route.Targets)
}

func (checker *routeChecker) checkTargets(place string, targets []RouteTarget) {
	var sum Weight
	for i, target := range targets {
		targetPlace := fmt.Sprintf("%s.Targets[%d]", place, i)
		checker.addIf(!checker.services[target.Service], targetPlace, fmt.Sprintf("names the unknown service %q", target.Service))
		checker.addIf(target.Weight < 0, targetPlace, "has a weight below 0")
		sum += max(0, target.Weight)
	}
	checker.addIf(sum <= 0, place+".Targets", "have no weight")
}

// checkWorkspaces checks the workspaces. Equal keys have equal digests.
func (checker *routeChecker) checkWorkspaces(workspaces []Workspace) {
	names := make(map[WorkspaceID]int, len(workspaces))
	keys := make(map[KeyDigest]int)
	for i := range workspaces {
		workspace := &workspaces[i]
		place := fmt.Sprintf("Workspaces[%d]", i)
		checker.addIf(workspace.Workspace == "", place+".Workspace", "is empty")
		checker.addIf(workspace.Workspace != "" && !isHeaderValue(string(workspace.Workspace)), place+".Workspace",
			"is longer than 128 bytes, not text, or begins or ends with a space")
		if first, repeated := names[workspace.Workspace]; repeated {
			checker.addIf(true, place+".Workspace", fmt.Sprintf("repeats that of Workspaces[%d]", first))
		} else {
			names[workspace.Workspace] = i
		}
		for j, key := range workspace.Keys {
			if first, repeated := keys[key]; repeated {
				checker.addIf(true, fmt.Sprintf("%s.Keys[%d]", place, j), fmt.Sprintf("repeats a key of Workspaces[%d]", first))
			} else {
				keys[key] = i
			}
		}
		checker.addIf(!(workspace.Quota.Rate >= 0), place+".Quota.Rate", "is below 0")
		checker.addIf(workspace.Quota.Burst < 0, place+".Quota.Burst", "is below 0")
		checker.addIf(workspace.Quota.PlainTokens < 0, place+".Quota.PlainTokens", "is below 0")
	}
}

// isHeaderValue reports whether the text is a name that a recipient of a header reads as it was
// sent.
func isHeaderValue(text string) bool {
	return isName(text) && strings.TrimSpace(text) == text
}
