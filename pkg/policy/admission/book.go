package admission

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Book is one configuration, indexed for lookups. It does not change after it was
// made. The zero value admits nothing.
type Book struct {
	number core.ConfigNumber
	hash   string
	plans  map[core.KeyHash]core.Plan
	grants map[core.PlanID]*grant
}

type grant struct {
	core.Grant
	adapters map[core.AdapterID]core.AdapterGrant
	services map[core.ServiceID]service
}

type service struct {
	core.ServiceGrant
	repeatable map[string]bool
}

// NewBook indexes a configuration. The lists must have passed core.CheckPlans and
// core.CheckGrants.
func NewBook(config core.Config) *Book {
	book := &Book{
		number: config.Number,
		hash:   config.Hash,
		plans:  make(map[core.KeyHash]core.Plan),
		grants: make(map[core.PlanID]*grant),
	}
	for _, plan := range config.Plans.Plans {
		for _, hash := range plan.KeyHashes {
			book.plans[hash] = plan
		}
	}
	for _, entry := range config.Grants.Grants {
		book.grants[entry.Plan] = indexGrant(entry)
	}
	return book
}

func indexGrant(entry core.Grant) *grant {
	result := &grant{
		Grant:    entry,
		adapters: make(map[core.AdapterID]core.AdapterGrant, len(entry.Adapters)),
		services: make(map[core.ServiceID]service, len(entry.Services)),
	}
	for _, adapter := range entry.Adapters {
		result.adapters[adapter.Adapter] = adapter
	}
	for _, allowed := range entry.Services {
		repeatable := make(map[string]bool, len(allowed.Repeatable))
		for _, call := range allowed.Repeatable {
			repeatable[call] = true
		}
		result.services[allowed.Service] = service{ServiceGrant: allowed, repeatable: repeatable}
	}
	return result
}

// Number returns the number of the configuration; zero if none was accepted yet.
func (book *Book) Number() core.ConfigNumber {
	return book.number
}

// Hash returns the hash of the configuration.
func (book *Book) Hash() string {
	return book.hash
}

// Plan returns the plan that a key belongs to. It returns a refusal with the code
// unauthorized for an unknown key, no_config if no list was accepted yet, and
// config_too_old if the plan bounds the age of the configuration below age.
func (book *Book) Plan(key core.KeyHash, age time.Duration) (core.Plan, *core.Refusal) {
	if book.number == 0 {
		return core.Plan{}, core.Refuse(core.CodeNoConfig, "no configuration was accepted yet")
	}
	plan, ok := book.plans[key]
	if !ok {
		return core.Plan{}, core.Refuse(core.CodeUnauthorized, "the bearer key belongs to no plan")
	}
	limit := time.Duration(plan.MaxConfigAgeSeconds) * time.Second
	if limit > 0 && age > limit {
		return core.Plan{}, core.Refuse(core.CodeConfigTooOld, fmt.Sprintf("the configuration is %d s old and the plan allows %d s", int(age.Seconds()), plan.MaxConfigAgeSeconds))
	}
	return plan, nil
}

// Admitted is what a plan allows for one request.
type Admitted struct {
	Plan     core.Plan
	Pin      core.Pin
	Priority core.Priority
	// Deadline bounds the wait until the first byte; zero means the VM's default.
	Deadline time.Duration
	// Repeatable is set if the call may be run more than once.
	Repeatable bool
}

// Model resolves the adapter version of a model request once. A request that names no
// version is pinned to the last version of the grant.
func (book *Book) Model(plan core.Plan, wanted core.AdapterVersion) (Admitted, *core.Refusal) {
	allowed, ok := book.grants[plan.Plan]
	if !ok {
		return Admitted{}, core.Refuse(core.CodeAdapterNotGranted, fmt.Sprintf("plan %q has no grant", plan.Plan))
	}
	adapter, ok := allowed.adapters[wanted.Adapter]
	if !ok {
		return Admitted{}, core.Refuse(core.CodeAdapterNotGranted, fmt.Sprintf("plan %q may not use adapter %q", plan.Plan, wanted.Adapter))
	}
	version := wanted.Version
	if version == "" {
		version = adapter.Versions[len(adapter.Versions)-1]
	}
	if !hasVersion(adapter.Versions, version) {
		return Admitted{}, core.Refuse(core.CodeVersionNotGranted, fmt.Sprintf("plan %q may not use version %q of adapter %q", plan.Plan, version, wanted.Adapter))
	}
	return Admitted{
		Plan: plan,
		Pin: core.Pin{
			AdapterVersion: core.AdapterVersion{Adapter: wanted.Adapter, Version: version},
			Model:          adapter.Model,
			Config:         book.number,
		},
		Priority:   allowed.Priority,
		Deadline:   allowed.Deadline(0),
		Repeatable: true,
	}, nil
}

// Service admits a call of a plain service. The call is repeatable only if the grant
// lists it.
func (book *Book) Service(plan core.Plan, wanted core.ServiceID, method, path string) (Admitted, *core.Refusal) {
	allowed, ok := book.grants[plan.Plan]
	if !ok {
		return Admitted{}, core.Refuse(core.CodeServiceNotGranted, fmt.Sprintf("plan %q has no grant", plan.Plan))
	}
	entry, ok := allowed.services[wanted]
	if !ok {
		return Admitted{}, core.Refuse(core.CodeServiceNotGranted, fmt.Sprintf("plan %q may not use service %q", plan.Plan, wanted))
	}
	return Admitted{
		Plan:       plan,
		Pin:        core.Pin{Config: book.number},
		Priority:   allowed.Priority,
		Deadline:   allowed.Deadline(0),
		Repeatable: entry.repeatable[method+" "+path],
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
