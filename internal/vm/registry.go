package vm

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
)

// owners tells which VM owns a group.
type owners interface {
	Owner(group core.GroupID) (core.VMID, bool)
	// Announced makes the leader give the upstream's group an owner.
	Announced(announcement core.Announcement)
}

// registry takes the announcements of upstreams to the owners of their groups.
type registry struct {
	self   core.VMID
	owners owners
	owner  *dispatch.Owner
	client *peer.Client
}

// Announce takes an announcement to the owner of its group. It returns an error if the
// group has no owner yet or the owner cannot be reached.
func (registry registry) Announce(ctx context.Context, announcement core.Announcement) (core.VMID, error) {
	registry.owners.Announced(announcement)
	owner, ok := registry.owners.Owner(announcement.Group)
	if !ok {
		return "", errors.Errorf("group %s has no owner yet", announcement.Group)
	}
	if owner == registry.self {
		registry.owner.Announce(announcement)
		return owner, nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := &wire.Request{Body: &wire.Request_Announce{Announce: peer.AnnounceMessage(announcement)}}
	response, err := registry.client.Call(ctx, owner, request)
	if err != nil {
		return "", errors.Wrap(err, "pass announcement on")
	}
	if result := response.GetAnnounceResult(); !result.GetAccepted() {
		return "", errors.Errorf("owner %q refused the announcement: %s", owner, result.GetReason())
	}
	return owner, nil
}

// CacheEvents takes events to the groups that this VM owns. Those of an engine whose
// group another VM owns are lost, which the routing allows for.
func (registry registry) CacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []upstream.CacheEvent) {
	list := make([]routing.CacheEvent, len(events))
	for i, event := range events {
		list[i] = routing.CacheEvent(event)
	}
	registry.owner.CacheEvents(id, incarnation, list)
}

// accept takes an announcement that another VM passed on. It refuses with a reason if
// this VM does not own the group.
func (registry registry) accept(message *wire.Announce) *wire.AnnounceResult {
	announcement := peer.AnnouncementOf(message)
	if owner, ok := registry.owners.Owner(announcement.Group); !ok || owner != registry.self {
		return &wire.AnnounceResult{Reason: "this VM does not own the group", OwnerVm: string(owner)}
	}
	registry.owner.Announce(announcement)
	return &wire.AnnounceResult{Accepted: true, OwnerVm: string(registry.self)}
}
