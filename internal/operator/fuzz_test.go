package operator

import (
	"testing"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// FuzzDecodePut guards against an operators' document that makes the VM panic, or that is
// accepted without a list, which would remove every plan or grant.
func FuzzDecodePut(f *testing.F) {
	f.Add(true, []byte(`{"Replaces":1,"Plans":[{"Plan":"p","Customer":"c","KeyHashes":["1"]}]}`))
	f.Add(false, []byte(`{"Replaces":1,"Grants":[{"Plan":"p","Adapters":[{"Adapter":"a","Model":"m","Versions":["1"]}]}]}`))
	f.Add(true, []byte(`{"Plans":null}`))
	f.Fuzz(func(t *testing.T, plans bool, text []byte) {
		kind := core.GrantsList
		if plans {
			kind = core.PlansList
		}
		put, faults := decodePut(kind, text)
		if len(faults) == 0 && (plans && put.Plans.Plans == nil || !plans && put.Grants.Grants == nil) {
			t.Fatal("a document without a list is accepted")
		}
	})
}
