package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
)

// TestSplitEvent guards against an event that is too large for a message between VMs, so that
// every VM loses its watch, and against parts that are lost, repeated or out of order when an
// event is split.
func TestSplitEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := &wire.WatchEvent{RoutesNumber: 7, EntryVms: 3}
		for i := range rapid.IntRange(0, 40).Draw(t, "instances") {
			event.Instances = append(event.Instances, &wire.InstanceState{Upstream: fmt.Sprintf("i-%d", i), Slots: uint32(rapid.IntRange(1, 1<<30).Draw(t, "slots"))})
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "changes") {
			event.Residency = append(event.Residency, &wire.Residency{Upstream: fmt.Sprintf("i-%d", i)})
		}
		want, ok := proto.Clone(event).(*wire.WatchEvent)
		if !ok {
			t.Fatal("the clone has another type")
		}
		limit := rapid.IntRange(20, 400).Draw(t, "limit")
		got, changed := &wire.WatchEvent{}, false
		for _, part := range splitEvent(event, limit) {
			if proto.Size(part) > limit && len(part.GetInstances())+len(part.GetResidency()) > 1 {
				t.Fatalf("a part has %d bytes, over the limit of %d", proto.Size(part), limit)
			}
			if changed && len(part.GetInstances()) > 0 {
				t.Fatal("an instance follows a change of weights")
			}
			changed = changed || len(part.GetResidency()) > 0
			proto.Merge(got, part)
		}
		if !proto.Equal(got, want) {
			t.Fatalf("the parts are %v, want %v", got, want)
		}
	})
}

// TestManyUpstreamsFitMessages guards against watches that fail since a control VM knows more
// upstreams than one message can carry.
func TestManyUpstreamsFitMessages(t *testing.T) {
	const upstreams = 40_000
	event := &wire.WatchEvent{}
	for i := range upstreams {
		event.Instances = append(event.Instances, &wire.InstanceState{
			Upstream: fmt.Sprintf("i-%032d", i), Service: "service-name", Address: "10.128.100.100:65000", Zone: "zone-name", Software: "v1", Slots: 24, Sequence: 1 << 40, BornUnixMillis: 1 << 41,
		})
	}
	if size := proto.Size(event); size <= peer.MaxMessageBytes {
		t.Fatalf("the event has only %d bytes", size)
	}
	for _, part := range splitEvent(event, maxEventBytes) {
		if size := proto.Size(part); size > peer.MaxMessageBytes {
			t.Fatalf("a part has %d bytes, over the limit of %d", size, peer.MaxMessageBytes)
		}
	}
}
