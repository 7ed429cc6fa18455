package wal

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// itemType is the first byte of an item in the payload of a frame.
type itemType byte

const (
	itemHardState itemType = iota + 1
	itemEntry
	// itemReset starts the log anew behind an installed snapshot.
	itemReset
)

var errShortPayload = errors.New("the payload ends early")

// batch is the content of one frame.
type batch struct {
	hard    *raft.HardState
	reset   *position
	entries []raft.Entry
}

// position is an entry without its content.
type position struct {
	index raft.Index
	term  raft.Term
}

func (batch *batch) encode() []byte {
	size := 0
	for _, entry := range batch.entries {
		size += len(entry.Data) + 4*binary.MaxVarintLen64
	}
	payload := make([]byte, 0, size+256)
	if batch.reset != nil {
		payload = append(payload, byte(itemReset))
		payload = appendNumbers(payload, uint64(batch.reset.index), uint64(batch.reset.term))
	}
	if batch.hard != nil {
		payload = append(payload, byte(itemHardState))
		payload = appendNumbers(payload, uint64(batch.hard.Term), uint64(batch.hard.Commit))
		payload = appendBytes(payload, []byte(batch.hard.Vote.VM))
		payload = appendBytes(payload, []byte(batch.hard.Vote.Incarnation))
	}
	for _, entry := range batch.entries {
		payload = append(payload, byte(itemEntry))
		payload = appendNumbers(payload, uint64(entry.Index), uint64(entry.Term), uint64(entry.Type))
		payload = appendBytes(payload, entry.Data)
	}
	return payload
}

func appendNumbers(payload []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		payload = binary.AppendUvarint(payload, number)
	}
	return payload
}

func appendBytes(payload, data []byte) []byte {
	return append(binary.AppendUvarint(payload, uint64(len(data))), data...)
}

// decodeBatch is the inverse of encode. The entries share memory with payload.
func decodeBatch(payload []byte) (batch, error) {
	var decoded batch
	reader := payloadReader{rest: payload}
	for len(reader.rest) > 0 && reader.err == nil {
		kind := itemType(reader.rest[0])
		reader.rest = reader.rest[1:]
		switch kind {
		case itemReset:
			decoded.reset = &position{raft.Index(reader.number()), raft.Term(reader.number())}
		case itemHardState:
			decoded.hard = reader.hardState()
		case itemEntry:
			decoded.entries = append(decoded.entries, reader.entry())
		default:
			return batch{}, errors.Errorf("item has the unknown type %d", kind)
		}
	}
	if reader.err != nil {
		return batch{}, reader.err
	}
	return decoded, nil
}

// payloadReader reads the parts of items. After its first error it returns zeros.
type payloadReader struct {
	rest []byte
	err  error
}

func (reader *payloadReader) hardState() *raft.HardState {
	hard := &raft.HardState{Term: raft.Term(reader.number()), Commit: raft.Index(reader.number())}
	hard.Vote.VM = core.VMID(reader.bytes())
	hard.Vote.Incarnation = core.Incarnation(reader.bytes())
	return hard
}

func (reader *payloadReader) entry() raft.Entry {
	return raft.Entry{
		Index: raft.Index(reader.number()), Term: raft.Term(reader.number()),
		Type: raft.EntryType(reader.number()), Data: reader.bytes(),
	}
}

func (reader *payloadReader) number() uint64 {
	number, size := binary.Uvarint(reader.rest)
	if size <= 0 || reader.err != nil {
		reader.err = errShortPayload
		return 0
	}
	reader.rest = reader.rest[size:]
	return number
}

func (reader *payloadReader) bytes() []byte {
	length := reader.number()
	if reader.err != nil || length > uint64(len(reader.rest)) {
		reader.err = errShortPayload
		return nil
	}
	data := reader.rest[:length:length]
	reader.rest = reader.rest[length:]
	return data
}
