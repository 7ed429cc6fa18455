package audit

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// History holds the accepted configurations by number.
type History map[core.ConfigNumber]core.Config

// permission is what a run needs of a configuration.
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

// judge remembers the answers for a history, since many runs need the same.
type judge struct {
	history History
	answers map[permission]verdict
}

type verdict struct {
	kind   Kind
	detail string
}

// judge returns an empty kind if the configuration of the run allowed it.
func (judge *judge) judge(needed permission) verdict {
	if known, ok := judge.answers[needed]; ok {
		return known
	}
	answer := judge.decide(needed)
	judge.answers[needed] = answer
	return answer
}

func (judge *judge) decide(needed permission) verdict {
	config, ok := judge.history[needed.config]
	if !ok {
		return verdict{KindNoConfig, "the configuration is not in the history"}
	}
	if config.Hash != needed.hash {
		return verdict{KindNoConfig, "the configuration in the history has another hash"}
	}
	if !slices.ContainsFunc(config.Plans.Plans, func(plan core.Plan) bool {
		return plan.Plan == needed.plan && plan.Customer == needed.customer
	}) {
		return verdict{KindNotAllowed, "the customer holds no such plan"}
	}
	for _, grant := range config.Grants.Grants {
		if grant.Plan == needed.plan && allows(grant, needed) {
			return verdict{}
		}
	}
	return verdict{KindNotAllowed, "the plan's grant does not hold it"}
}

func allows(grant core.Grant, needed permission) bool {
	if needed.service != "" {
		return slices.ContainsFunc(grant.Services, func(service core.ServiceGrant) bool { return service.Service == needed.service })
	}
	return slices.ContainsFunc(grant.Adapters, func(adapter core.AdapterGrant) bool {
		return adapter.Adapter == needed.adapter && slices.Contains(adapter.Versions, needed.version)
	})
}
