package control

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
)

// TestLeaseNeedsState guards against a VM that comes back, gets a lease and gives orders in
// a zone that was given to another VM while it was away.
func TestLeaseNeedsState(t *testing.T) {
	is := is.New(t)
	control := New(Parts{VM: "c", Zone: "z", Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
	zone := &ownedZone{zone: "z", token: 1}
	control.owned["z"] = zone
	control.applied = 7
	lease := &wire.HoldResult{Leader: true, LeaseMillis: leaseTime.Milliseconds(), Applied: 8}
	const sent = time.Second
	control.extend(sent, lease)
	is.True(!control.mayOrder(sent, zone)) // the replica lags behind the leader

	control.applied = 8
	control.extend(sent, lease)
	is.True(control.mayOrder(sent, zone))
	is.True(control.mayOrder(sent+leaseTime-1, zone))
	is.True(!control.mayOrder(sent+leaseTime, zone)) // counted from the sending of the renewal

	// Engines that check tokens refuse a former owner themselves.
	control.parts.EnginesCheckTokens = true
	is.True(control.mayOrder(sent+leaseTime, zone))
	zone.lost = true
	is.True(!control.mayOrder(sent+leaseTime, zone))
}
