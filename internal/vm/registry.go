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

// directory looks up the VM that owns a group.
type directory interface {
	Owner(group core.GroupID) (core.VMID, bool)
	// RecordAnnouncement asks the leader to assign an owner to the upstream's group.
	RecordAnnouncement(announcement core.Announcement)
}

// registry passes the announcements of upstreams to the owners of their groups.
type registry struct {
	self      core.VMID
	directory directory
	owner     *dispatch.Owner
	client    *peer.Client
}

// Announce passes an announcement to the owner of its group and returns that owner. It
// returns an error if the group has no owner yet, or if the owner cannot be reached or
// rejects the announcement.
func (registry registry) Announce(ctx context.Context, announcement core.Announcement) (core.VMID, error) {
	registry.directory.RecordAnnouncement(announcement)
	owner, ok := registry.directory.Owner(announcement.Group)
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

// CacheEvents passes cache events to the groups that this VM owns. Events of an engine
// whose group belongs to another VM are dropped; routing tolerates missing events.
func (registry registry) CacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []upstream.CacheEvent) {
	list := make([]routing.CacheEvent, len(events))
	for i, event := range events {
		list[i] = routing.CacheEvent(event)
	}
	registry.owner.ApplyCacheEvents(id, incarnation, list)
}

// handleAnnounce processes an announcement that another VM passed on. The result is a
// rejection with a reason if this VM does not own the group.
func (registry registry) handleAnnounce(message *wire.Announce) *wire.AnnounceResult {
	announcement := peer.AnnouncementFromMessage(message)
	if owner, ok := registry.directory.Owner(announcement.Group); !ok || owner != registry.self {
		return &wire.AnnounceResult{Reason: "this VM does not own the group", OwnerVm: string(owner)}
	}
	registry.owner.Announce(announcement)
	return &wire.AnnounceResult{Accepted: true, OwnerVm: string(registry.self)}
}
