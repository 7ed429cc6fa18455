package admission

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Index is an index of one configuration. It is immutable. The zero value admits no
// request.
type Index struct {
	number core.ConfigNumber
	hash   string
	plans  map[core.KeyHash]core.Plan
	grants map[core.PlanID]*indexedGrant
}

type indexedGrant struct {
	core.Grant
	adapters map[core.AdapterID]core.AdapterGrant
	services map[core.ServiceID]indexedService
}

type indexedService struct {
	core.ServiceGrant
	repeatable map[string]bool
}

// NewIndex returns the index of a configuration. The lists must be valid according to
// core.CheckPlans and core.CheckGrants.
func NewIndex(config core.Config) *Index {
	index := &Index{
		number: config.Number,
		hash:   config.Hash,
		plans:  make(map[core.KeyHash]core.Plan),
		grants: make(map[core.PlanID]*indexedGrant),
	}
	for _, plan := range config.Plans.Plans {
		for _, hash := range plan.KeyHashes {
			index.plans[hash] = plan
		}
	}
	for _, grant := range config.Grants.Grants {
		index.grants[grant.Plan] = indexGrant(grant)
	}
	return index
}

func indexGrant(grant core.Grant) *indexedGrant {
	result := &indexedGrant{
		Grant:    grant,
		adapters: make(map[core.AdapterID]core.AdapterGrant, len(grant.Adapters)),
		services: make(map[core.ServiceID]indexedService, len(grant.Services)),
	}
	for _, adapter := range grant.Adapters {
		result.adapters[adapter.Adapter] = adapter
	}
	for _, service := range grant.Services {
		repeatable := make(map[string]bool, len(service.Repeatable))
		for _, call := range service.Repeatable {
			repeatable[call] = true
		}
		result.services[service.Service] = indexedService{ServiceGrant: service, repeatable: repeatable}
	}
	return result
}

// Number returns the number of the configuration, and zero if none was accepted yet.
func (index *Index) Number() core.ConfigNumber {
	return index.number
}

// Hash returns the hash of the configuration (core.Config.Hash).
func (index *Index) Hash() string {
	return index.hash
}

// Plan returns the plan that a key belongs to. Age is the time since the VM last had
// contact with the leader that distributes configurations. The refusal has the code
// no_config if no configuration was accepted yet, unauthorized if the key is unknown, and
// config_too_old if age exceeds the limit of the plan.
func (index *Index) Plan(key core.KeyHash, age time.Duration) (core.Plan, *core.Refusal) {
	if index.number == 0 {
		return core.Plan{}, core.NewRefusal(core.CodeNoConfig, "no configuration was accepted yet")
	}
	plan, ok := index.plans[key]
	if !ok {
		return core.Plan{}, core.NewRefusal(core.CodeUnauthorized, "the bearer key belongs to no plan")
	}
	limit := time.Duration(plan.MaxConfigAgeSeconds) * time.Second
	if limit > 0 && age > limit {
		return core.Plan{}, core.NewRefusal(core.CodeConfigTooOld, fmt.Sprintf("the configuration is %d s old and the plan allows %d s", int(age.Seconds()), plan.MaxConfigAgeSeconds))
	}
	return plan, nil
}

// Admitted holds the properties of an admitted request.
type Admitted struct {
	Plan     core.Plan
	Pin      core.Pin
	Priority core.Priority
	// Deadline limits the time to the first byte of the answer; zero selects the
	// default of the VM.
	Deadline time.Duration
	// Repeatable is set if the call may run more than once.
	Repeatable bool
}

// Model admits a model request and pins it to an adapter version. A request without a
// version gets the last version of the grant. The refusal has the code
// adapter_not_granted or version_not_granted.
func (index *Index) Model(plan core.Plan, wanted core.AdapterVersion) (Admitted, *core.Refusal) {
	grant, ok := index.grants[plan.Plan]
	if !ok {
		return Admitted{}, core.NewRefusal(core.CodeAdapterNotGranted, fmt.Sprintf("plan %q has no grant", plan.Plan))
	}
	adapter, ok := grant.adapters[wanted.Adapter]
	if !ok {
		return Admitted{}, core.NewRefusal(core.CodeAdapterNotGranted, fmt.Sprintf("plan %q may not use adapter %q", plan.Plan, wanted.Adapter))
	}
	version := wanted.Version
	if version == "" {
		version = adapter.Versions[len(adapter.Versions)-1]
	}
	if !hasVersion(adapter.Versions, version) {
		return Admitted{}, core.NewRefusal(core.CodeVersionNotGranted, fmt.Sprintf("plan %q may not use version %q of adapter %q", plan.Plan, version, wanted.Adapter))
	}
	return Admitted{
		Plan: plan,
		Pin: core.Pin{
			AdapterVersion: core.AdapterVersion{Adapter: wanted.Adapter, Version: version},
			Model:          adapter.Model,
			Config:         index.number,
		},
		Priority:   grant.Priority,
		Deadline:   grant.Deadline(0),
		Repeatable: true,
	}, nil
}

// Service admits a call to a plain service. The call is repeatable only if the grant
// lists it. The refusal has the code service_not_granted.
func (index *Index) Service(plan core.Plan, wanted core.ServiceID, method, path string) (Admitted, *core.Refusal) {
	grant, ok := index.grants[plan.Plan]
	if !ok {
		return Admitted{}, core.NewRefusal(core.CodeServiceNotGranted, fmt.Sprintf("plan %q has no grant", plan.Plan))
	}
	service, ok := grant.services[wanted]
	if !ok {
		return Admitted{}, core.NewRefusal(core.CodeServiceNotGranted, fmt.Sprintf("plan %q may not use service %q", plan.Plan, wanted))
	}
	return Admitted{
		Plan:       plan,
		Pin:        core.Pin{Config: index.number},
		Priority:   grant.Priority,
		Deadline:   grant.Deadline(0),
		Repeatable: service.repeatable[method+" "+path],
	}, nil
}

func hasVersion(versions []core.Version, wanted core.Version) bool {
	for _, version := range versions {
		if version == wanted {
			return true
		}
	}
	return false
}
