package control

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
)

// TestLeaseNeedsState guards against a VM that reconnects, gets a lease and sends orders in
// a zone that was assigned to another VM in the meantime.
func TestLeaseNeedsState(t *testing.T) {
	is := is.New(t)
	control := New(Options{VM: "c", Zone: "z", Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
	zone := &ownedZone{zone: "z", token: 1}
	control.owned["z"] = zone
	control.applied = 7
	lease := &wire.HoldResult{Leader: true, LeaseMillis: leaseTime.Milliseconds(), Applied: 8}
	const sent = time.Second
	control.applyLease(sent, lease)
	is.True(!control.mayOrder(sent, zone)) // the replica lags behind the leader

	control.applied = 8
	control.applyLease(sent, lease)
	is.True(control.mayOrder(sent, zone))
	is.True(control.mayOrder(sent+leaseTime-1, zone))
	is.True(!control.mayOrder(sent+leaseTime, zone)) // the lease runs from the sending of the renewal

	// Engines that check tokens reject a former owner, so no lease is needed.
	control.options.EnginesCheckTokens = true
	is.True(control.mayOrder(sent+leaseTime, zone))
	zone.tokenRejected = true
	is.True(!control.mayOrder(sent+leaseTime, zone))
}
