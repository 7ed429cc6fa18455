package audit

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// History maps the numbers of the accepted configurations to their content.
type History map[core.ConfigNumber]core.Config

// permission is what a configuration must contain to allow a run.
type permission struct {
	config   core.ConfigNumber
	hash     string
	plan     core.PlanID
	customer core.CustomerID
	adapter  core.AdapterID
	version  core.Version
	service  core.ServiceID
}

func permissionOf(record Record) permission {
	return permission{
		record.Config, record.ConfigHash, record.Plan, record.Customer,
		record.Adapter, record.Version, record.Service,
	}
}

// permissionChecker checks runs against a history. It caches the results, since many runs
// need the same permission.
type permissionChecker struct {
	history History
	cache   map[permission]permissionResult
}

type permissionResult struct {
	kind   Kind
	detail string
}

// check returns a result with an empty kind if the configuration of the run allowed it.
func (checker *permissionChecker) check(needed permission) permissionResult {
	if cached, ok := checker.cache[needed]; ok {
		return cached
	}
	result := checker.evaluate(needed)
	checker.cache[needed] = result
	return result
}

func (checker *permissionChecker) evaluate(needed permission) permissionResult {
	config, ok := checker.history[needed.config]
	if !ok {
		return permissionResult{KindNoConfig, "the configuration is not in the history"}
	}
	if config.Hash != needed.hash {
		return permissionResult{KindNoConfig, "the configuration in the history has another hash"}
	}
	if !slices.ContainsFunc(config.Plans.Plans, func(plan core.Plan) bool {
		return plan.Plan == needed.plan && plan.Customer == needed.customer
	}) {
		return permissionResult{KindNotAllowed, "the customer does not have the plan"}
	}
	for _, grant := range config.Grants.Grants {
		if grant.Plan == needed.plan && grantAllows(grant, needed) {
			return permissionResult{}
		}
	}
	return permissionResult{KindNotAllowed, "the plan's grant does not include it"}
}

func grantAllows(grant core.Grant, needed permission) bool {
	if needed.service != "" {
		return slices.ContainsFunc(grant.Services, func(service core.ServiceGrant) bool { return service.Service == needed.service })
	}
	return slices.ContainsFunc(grant.Adapters, func(adapter core.AdapterGrant) bool {
		return BoundText(adapter.Adapter) == needed.adapter && slices.ContainsFunc(adapter.Versions, func(version core.Version) bool {
			return BoundText(version) == needed.version
		})
	})
}
