package handover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestOffer guards against a list of VMs that grows with the deployment, that changes although no
// VM came or went, that holds the VM itself, or that leaves out VMs for all.
func TestOffer(t *testing.T) {
	var all []Target
	for i := range 120 {
		all = append(all, Target{VM: core.VMID(fmt.Sprint("entry", i)), Zone: core.ZoneID(fmt.Sprint("z", i%4)), Address: fmt.Sprint("a", i)})
	}
	known := make(map[core.VMID]int)
	for _, to := range all {
		offers := Offer(to, slices.Clone(all))
		shuffled := slices.Clone(all)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if again := Offer(to, append(shuffled, shuffled[:20]...)); !slices.Equal(offers, again) {
			t.Fatalf("%v gets %v, and %v in another order", to, offers, again)
		}
		local := 0
		for _, offer := range offers {
			known[offer.VM]++
			if offer.Zone == to.Zone {
				local++
			}
			if offer.VM == to.VM {
				t.Fatalf("%v is offered itself", to)
			}
		}
		if local != maxOffers || len(offers) != 2*maxOffers {
			t.Fatalf("%v gets %d VMs, %d of its zone", to, len(offers), local)
		}
	}
	// Each VM is known by 16 others on average.
	for vm, count := range known {
		if count > 5*2*maxOffers/2 {
			t.Errorf("%s is offered to %d VMs", vm, count)
		}
	}
	if len(known) < len(all)-1 {
		t.Errorf("%d of %d VMs are offered", len(known), len(all))
	}
}
