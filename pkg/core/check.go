package core

import (
	"fmt"
	"strings"
)

// ValidationError describes an invalid value in a list, a route table or an announcement.
type ValidationError struct {
	// Place is the path of the value, such as "Grants[3].Adapters[0].Versions".
	Place  string
	Reason string
}

// Error returns "place: reason".
func (err ValidationError) Error() string {
	return err.Place + ": " + err.Reason
}

// keyHashLength is the number of characters of a hexadecimal SHA-256.
const keyHashLength = 64

// CheckPlans returns all faults of the list in the order of its entries, and nil if
// it is valid. An empty list is valid.
func CheckPlans(list Plans) []ValidationError {
	var faults []ValidationError
	plans := make(map[PlanID]int)
	hashes := make(map[KeyHash]int)
	for i, plan := range list.Plans {
		place := fmt.Sprintf("Plans[%d]", i)
		if plan.Plan == "" {
			faults = append(faults, ValidationError{place + ".Plan", "the plan has no name"})
		}
		if first, ok := plans[plan.Plan]; ok {
			faults = append(faults, ValidationError{place + ".Plan", fmt.Sprintf("plan %q already stands at Plans[%d]", plan.Plan, first)})
		}
		plans[plan.Plan] = i
		faults = append(faults, checkPlan(place, plan)...)
		for j, hash := range plan.KeyHashes {
			if first, ok := hashes[hash]; ok {
				faults = append(faults, ValidationError{fmt.Sprintf("%s.KeyHashes[%d]", place, j), fmt.Sprintf("the key already stands at Plans[%d]", first)})
			}
			hashes[hash] = i
		}
	}
	return faults
}

func checkPlan(place string, plan Plan) []ValidationError {
	var faults []ValidationError
	if plan.Customer == "" {
		faults = append(faults, ValidationError{place + ".Customer", "the plan has no customer"})
	}
	if len(plan.KeyHashes) == 0 {
		faults = append(faults, ValidationError{place + ".KeyHashes", "the plan has no key"})
	}
	for j, hash := range plan.KeyHashes {
		if len(hash) != keyHashLength || strings.Trim(string(hash), "0123456789abcdef") != "" {
			faults = append(faults, ValidationError{fmt.Sprintf("%s.KeyHashes[%d]", place, j), "not a lower-case hexadecimal SHA-256"})
		}
	}
	if plan.MaxRequestsPerSecond < 0 {
		faults = append(faults, ValidationError{place + ".MaxRequestsPerSecond", "negative"})
	}
	if plan.MaxConcurrent < 0 {
		faults = append(faults, ValidationError{place + ".MaxConcurrent", "negative"})
	}
	if plan.MaxConfigAgeSeconds < 0 {
		faults = append(faults, ValidationError{place + ".MaxConfigAgeSeconds", "negative"})
	}
	if plan.Objectives.Target < 0 || plan.Objectives.Target >= 1 {
		faults = append(faults, ValidationError{place + ".Objectives.Target", "not in [0, 1)"})
	}
	return faults
}

// CheckGrants returns all faults of the list in the order of its entries, and nil if
// it is valid. A grant may name a plan that does not exist yet, because the two lists
// change independently.
func CheckGrants(list Grants) []ValidationError {
	var faults []ValidationError
	plans := make(map[PlanID]int)
	for i, grant := range list.Grants {
		place := fmt.Sprintf("Grants[%d]", i)
		if grant.Plan == "" {
			faults = append(faults, ValidationError{place + ".Plan", "the grant names no plan"})
		}
		if first, ok := plans[grant.Plan]; ok {
			faults = append(faults, ValidationError{place + ".Plan", fmt.Sprintf("plan %q already stands at Grants[%d]", grant.Plan, first)})
		}
		plans[grant.Plan] = i
		if grant.DeadlineMillis < 0 {
			faults = append(faults, ValidationError{place + ".DeadlineMillis", "negative"})
		}
		faults = append(faults, checkAdapters(place, grant.Adapters)...)
		faults = append(faults, checkServices(place, grant.Services)...)
	}
	return faults
}

func checkAdapters(place string, adapters []AdapterGrant) []ValidationError {
	var faults []ValidationError
	seen := make(map[AdapterID]int)
	for i, adapter := range adapters {
		entryPlace := fmt.Sprintf("%s.Adapters[%d]", place, i)
		if adapter.Adapter == "" || strings.Contains(string(adapter.Adapter), "@") {
			faults = append(faults, ValidationError{entryPlace + ".Adapter", fmt.Sprintf("%q is not an adapter name", adapter.Adapter)})
		}
		if first, ok := seen[adapter.Adapter]; ok {
			faults = append(faults, ValidationError{entryPlace + ".Adapter", fmt.Sprintf("adapter %q already stands at Adapters[%d]", adapter.Adapter, first)})
		}
		seen[adapter.Adapter] = i
		if adapter.Model == "" {
			faults = append(faults, ValidationError{entryPlace + ".Model", "the grant names no base model"})
		}
		if len(adapter.Versions) == 0 {
			faults = append(faults, ValidationError{entryPlace + ".Versions", "the grant names no version"})
		}
		faults = append(faults, checkVersions(entryPlace, adapter.Versions)...)
	}
	return faults
}

func checkVersions(place string, versions []Version) []ValidationError {
	var faults []ValidationError
	seen := make(map[Version]bool)
	for i, version := range versions {
		entryPlace := fmt.Sprintf("%s.Versions[%d]", place, i)
		if version == "" || strings.Contains(string(version), "@") {
			faults = append(faults, ValidationError{entryPlace, fmt.Sprintf("%q is not a version name", version)})
		}
		if seen[version] {
			faults = append(faults, ValidationError{entryPlace, fmt.Sprintf("version %q stands twice", version)})
		}
		seen[version] = true
	}
	return faults
}

func checkServices(place string, services []ServiceGrant) []ValidationError {
	var faults []ValidationError
	seen := make(map[ServiceID]int)
	for i, service := range services {
		entryPlace := fmt.Sprintf("%s.Services[%d]", place, i)
		if service.Service == "" {
			faults = append(faults, ValidationError{entryPlace + ".Service", "the grant names no service"})
		}
		if first, ok := seen[service.Service]; ok {
			faults = append(faults, ValidationError{entryPlace + ".Service", fmt.Sprintf("service %q already stands at Services[%d]", service.Service, first)})
		}
		seen[service.Service] = i
		for j, call := range service.Repeatable {
			method, path, found := strings.Cut(call, " ")
			if !found || method == "" || !strings.HasPrefix(path, "/") {
				faults = append(faults, ValidationError{fmt.Sprintf("%s.Repeatable[%d]", entryPlace, j), fmt.Sprintf("%q is not of the form METHOD /path", call)})
			}
		}
	}
	return faults
}
