package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestLostPeerIsDropped guards against a control VM that is lost and never dropped, because
// the others go on mentioning it to each other, or the leader to itself, and count each
// mention as a contact.
func TestLostPeerIsDropped(t *testing.T) {
	is := is.New(t)
	a, b := NewPeers(Peer{VM: "a"}), NewPeers(Peer{VM: "b"})
	start := clock.Now() // Peers drops by the clock of the machine, which stands still here
	a.recordContact(start, Peer{VM: "lost", Zone: "z"})
	a.recordContact(start, Peer{VM: "b"})
	is.True(b.recordMentions(start, a.messages(start))) // b hears of the other VMs from a
	const interval = 500 * time.Millisecond
	now := start
	for ; now < start+peerTTL-interval; now += interval {
		a.recordContact(now, Peer{VM: "b"})
		b.recordMentions(now, a.messages(now))
		a.recordMentions(now, b.messages(now))
		a.recordMentions(now, a.messages(now))
	}
	is.Equal(a.heardAgo(now, "lost"), now-start)
	is.Equal(b.heardAgo(now, "lost"), now-start)
	is.True(a.heardAgo(now, "b") <= interval)
	is.True(b.heardAgo(now, "a") <= interval)

	// A VM that has dropped it does not take it from one that has not.
	now = start + peerTTL
	c := NewPeers(Peer{VM: "c"})
	c.recordMentions(now, b.messages(now))
	is.Equal(c.Zone("lost"), core.ZoneID(""))
}
