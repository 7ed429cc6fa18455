package upstream

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// FuzzRelayEvents guards against bytes of an engine that make the VM panic, part of an event
// that is passed on, and an offset that differs from the number of tokens passed on.
func FuzzRelayEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\nevent: x\n\ndata: a\r\n\r\ndata: b"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		var passed bytes.Buffer
		timer := time.NewTimer(time.Hour)
		defer timer.Stop()
		offset, _ := relayEvents(bytes.NewReader(stream), core.Call{}, &core.Head{}, timer, func(chunk core.Chunk) error {
			passed.Write(chunk.Data)
			return nil
		})
		text := passed.String()
		if text != "" && strings.TrimRight(text, " \t\r") == strings.TrimRight(text, " \t\r\n") {
			t.Fatalf("%q ends within an event", text)
		}
		if tokens := strings.Count("\n"+text, "\ndata: "); tokens < int(offset) {
			t.Fatalf("the offset is %d after %d tokens", offset, tokens)
		}
	})
}

// FuzzAnnouncement guards against an announcement that makes the VM panic or is valid without
// a name or an address.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"Upstream":"e","Incarnation":"1","Zone":"a","Kind":"engine","Name":"base","Address":"10.0.0.1:1","Slots":2,"BatchSize":4,"Resident":[{"Adapter":"x","Version":"1"}]}`))
	f.Add([]byte(`{"Kind":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		announcement, faults, err := DecodeAnnouncement(body)
		if err == nil && len(faults) == 0 && (announcement.Upstream == "" || announcement.Address == "") {
			t.Fatalf("%+v is accepted", announcement)
		}
	})
}

// FuzzCacheEvents guards against cache events that make the VM panic.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(`{"Upstream":"e","Incarnation":"1","Events":[{"Sequence":7,"Prefix":123,"Added":true}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, _, events, err := DecodeCacheEvents(body); err != nil && events != nil {
			t.Fatal("events are returned with an error")
		}
	})
}
