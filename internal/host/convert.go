package host

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// chunkBytes is the size of the parts of a snapshot. Frames between VMs hold at
	// most 4 MiB.
	chunkBytes = 1 << 20
	// maxRequestBytes is the size above which a further request is started.
	maxRequestBytes = 2 << 20
	// maxCommandBytes bounds an encoded command. A larger one could not be sent to any follower,
	// and no later command would be committed either.
	maxCommandBytes = 3 << 20
	// maxSnapshotBytes bounds the memory that a message can make the receiver
	// allocate.
	maxSnapshotBytes = 1 << 30
)

// MessagesToWire returns requests that carry the messages, each within the size of a
// frame. A snapshot is sent in parts: Hint is the offset of a part and Context the length
// of the whole snapshot.
func MessagesToWire(messages []raft.Message) []*wire.Replicate {
	requests := []*wire.Replicate{{}}
	size := 0
	for _, message := range messages {
		for _, part := range partsToWire(message) {
			partSize := wireSize(part)
			if size > 0 && size+partSize > maxRequestBytes {
				requests = append(requests, &wire.Replicate{})
				size = 0
			}
			last := requests[len(requests)-1]
			last.Messages = append(last.Messages, part)
			size += partSize
		}
	}
	return requests
}

// wireSize estimates the encoded size of a message in bytes: 128 for its own fields and 16
// for those of each entry, plus the data.
func wireSize(message *wire.ReplicaMessage) int {
	size := 128 + len(message.GetSnapshot().GetData())
	for _, entry := range message.GetEntries() {
		size += len(entry.GetData()) + 16
	}
	return size
}

// partsToWire returns the parts of a message: one for each chunk of its snapshot, or one
// if it has no snapshot.
func partsToWire(message raft.Message) []*wire.ReplicaMessage {
	if message.Snapshot == nil {
		return []*wire.ReplicaMessage{messageToWire(message)}
	}
	data := message.Snapshot.Data
	var parts []*wire.ReplicaMessage
	for offset := 0; offset == 0 || offset < len(data); offset += chunkBytes {
		part := messageToWire(message)
		part.Hint, part.Context = uint64(offset), uint64(len(data))
		part.Snapshot = &wire.Snapshot{
			Index: uint64(message.Snapshot.Index), Term: uint64(message.Snapshot.Term),
			Membership: message.Snapshot.Membership.Encode(),
			Data:       data[offset:min(offset+chunkBytes, len(data))],
		}
		parts = append(parts, part)
	}
	return parts
}

func messageToWire(message raft.Message) *wire.ReplicaMessage {
	converted := &wire.ReplicaMessage{
		Shard: uint32(message.Shard),
		From:  string(message.From.VM), FromIncarnation: string(message.From.Incarnation),
		To: string(message.To.VM), ToIncarnation: string(message.To.Incarnation),
		Type: uint32(message.Type), Term: uint64(message.Term),
		LogIndex: uint64(message.LogIndex), LogTerm: uint64(message.LogTerm),
		Commit: uint64(message.Commit), Reject: message.Reject,
		Hint: uint64(message.Hint), Context: message.Context,
	}
	for _, entry := range message.Entries {
		converted.Entries = append(converted.Entries, &wire.LogEntry{
			Index: uint64(entry.Index), Term: uint64(entry.Term), Type: uint32(entry.Type), Data: entry.Data,
		})
	}
	return converted
}

func messageFromWire(message *wire.ReplicaMessage) raft.Message {
	converted := raft.Message{
		Shard: core.ShardID(message.GetShard()),
		From:  raft.ReplicaID{VM: core.VMID(message.GetFrom()), Incarnation: core.Incarnation(message.GetFromIncarnation())},
		To:    raft.ReplicaID{VM: core.VMID(message.GetTo()), Incarnation: core.Incarnation(message.GetToIncarnation())},
		Type:  raft.MessageType(message.GetType()), Term: raft.Term(message.GetTerm()),
		LogIndex: raft.Index(message.GetLogIndex()), LogTerm: raft.Term(message.GetLogTerm()),
		Commit: raft.Index(message.GetCommit()), Reject: message.GetReject(),
		Hint: raft.Index(message.GetHint()), Context: message.GetContext(),
	}
	for _, entry := range message.GetEntries() {
		converted.Entries = append(converted.Entries, raft.Entry{
			Index: raft.Index(entry.GetIndex()), Term: raft.Term(entry.GetTerm()),
			Type: raft.EntryType(entry.GetType()), Data: entry.GetData(),
		})
	}
	return converted
}

// snapshotSource identifies the shard and the sender of a snapshot.
type snapshotSource struct {
	shard core.ShardID
	from  raft.ReplicaID
}

// partialSnapshot is a snapshot that has been received in part.
type partialSnapshot struct {
	index raft.Index
	term  raft.Term
	data  []byte
	// parts holds the offsets of the received parts.
	parts   map[int]bool
	missing int
}

// snapshotAssembler reassembles snapshots. Parts may arrive in any order and from
// several transmissions. The zero value is ready for use.
type snapshotAssembler struct {
	lock     sync.Mutex // leaf lock: no other lock is taken while it is held
	partials map[snapshotSource]*partialSnapshot
}

// fromWire returns the messages of a request. A snapshot is returned once its last
// part has arrived.
func (assembler *snapshotAssembler) fromWire(request *wire.Replicate) ([]raft.Message, error) {
	messages := make([]raft.Message, 0, len(request.GetMessages()))
	for _, part := range request.GetMessages() {
		message := messageFromWire(part)
		if message.Type != raft.InstallSnapshot {
			messages = append(messages, message)
			continue
		}
		complete, err := assembler.addPart(&message, part.GetSnapshot())
		if err != nil {
			return nil, err
		}
		if complete {
			messages = append(messages, message)
		}
	}
	return messages, nil
}

// addPart stores a part. If no part is missing, it sets message.Snapshot and returns
// true.
func (assembler *snapshotAssembler) addPart(message *raft.Message, part *wire.Snapshot) (bool, error) {
	offset, length := int(message.Hint), int(message.Context)
	data := part.GetData()
	if part == nil || length < 0 || length > maxSnapshotBytes || offset < 0 || offset%chunkBytes != 0 || len(data) != min(chunkBytes, length-offset) {
		return false, errors.Errorf("snapshot from %s has a part that does not fit", message.From)
	}
	members, err := raft.DecodeMembership(part.GetMembership())
	if err != nil {
		return false, err
	}
	message.Hint, message.Context = 0, 0
	assembler.lock.Lock()
	defer assembler.lock.Unlock()
	from := snapshotSource{message.Shard, message.From}
	collected := assembler.partialFor(from, part, length)
	if !collected.parts[offset] {
		collected.parts[offset] = true
		collected.missing -= len(data)
		copy(collected.data[offset:], data)
	}
	if collected.missing > 0 {
		return false, nil
	}
	delete(assembler.partials, from)
	message.Snapshot = &raft.Snapshot{
		Index: raft.Index(part.GetIndex()), Term: raft.Term(part.GetTerm()), Membership: members, Data: collected.data,
	}
	return true, nil
}

// partialFor returns the received parts of a snapshot. A newer snapshot of the same
// sender replaces the previous one.
func (assembler *snapshotAssembler) partialFor(from snapshotSource, part *wire.Snapshot, length int) *partialSnapshot {
	if assembler.partials == nil {
		assembler.partials = make(map[snapshotSource]*partialSnapshot)
	}
	index, term := raft.Index(part.GetIndex()), raft.Term(part.GetTerm())
	collected := assembler.partials[from]
	if collected == nil || collected.index != index || collected.term != term || len(collected.data) != length {
		collected = &partialSnapshot{index: index, term: term, data: make([]byte, length), parts: make(map[int]bool), missing: length}
		assembler.partials[from] = collected
	}
	return collected
}
