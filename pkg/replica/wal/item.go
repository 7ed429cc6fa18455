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
	// itemReset discards all entries; the log continues after an installed snapshot.
	itemReset
)

var errTruncatedPayload = errors.New("the payload is truncated")

// batch is the content of one frame.
type batch struct {
	hardState *raft.HardState
	reset     *position
	entries   []raft.Entry
}

// position is the index and term of an entry.
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
		payload = appendUvarints(payload, uint64(batch.reset.index), uint64(batch.reset.term))
	}
	if batch.hardState != nil {
		payload = append(payload, byte(itemHardState))
		payload = appendUvarints(payload, uint64(batch.hardState.Term), uint64(batch.hardState.Commit))
		payload = appendBytes(payload, []byte(batch.hardState.Vote.VM))
		payload = appendBytes(payload, []byte(batch.hardState.Vote.Incarnation))
	}
	for _, entry := range batch.entries {
		payload = append(payload, byte(itemEntry))
		payload = appendUvarints(payload, uint64(entry.Index), uint64(entry.Term), uint64(entry.Type))
		payload = appendBytes(payload, entry.Data)
	}
	return payload
}

func appendUvarints(payload []byte, values ...uint64) []byte {
	for _, value := range values {
		payload = binary.AppendUvarint(payload, value)
	}
	return payload
}

func appendBytes(payload, data []byte) []byte {
	return append(binary.AppendUvarint(payload, uint64(len(data))), data...)
}

// decodeBatch decodes a payload that encode returned. The data of the entries shares
// memory with payload. It returns an error for a truncated payload or an unknown item
// type.
func decodeBatch(payload []byte) (batch, error) {
	var decoded batch
	reader := payloadReader{remaining: payload}
	for len(reader.remaining) > 0 && reader.err == nil {
		kind := itemType(reader.remaining[0])
		reader.remaining = reader.remaining[1:]
		switch kind {
		case itemReset:
			decoded.reset = &position{raft.Index(reader.uvarint()), raft.Term(reader.uvarint())}
		case itemHardState:
			decoded.hardState = reader.hardState()
		case itemEntry:
			decoded.entries = append(decoded.entries, reader.entry())
		default:
			return batch{}, errors.Errorf("unknown item type %d", kind)
		}
	}
	if reader.err != nil {
		return batch{}, reader.err
	}
	return decoded, nil
}

// payloadReader decodes the fields of items. After the first error its methods return
// zero values.
type payloadReader struct {
	remaining []byte
	err       error
}

func (reader *payloadReader) hardState() *raft.HardState {
	state := &raft.HardState{Term: raft.Term(reader.uvarint()), Commit: raft.Index(reader.uvarint())}
	state.Vote.VM = core.VMID(reader.bytes())
	state.Vote.Incarnation = core.Incarnation(reader.bytes())
	return state
}

func (reader *payloadReader) entry() raft.Entry {
	return raft.Entry{
		Index: raft.Index(reader.uvarint()), Term: raft.Term(reader.uvarint()),
		Type: raft.EntryType(reader.uvarint()), Data: reader.bytes(),
	}
}

func (reader *payloadReader) uvarint() uint64 {
	value, size := binary.Uvarint(reader.remaining)
	if size <= 0 || reader.err != nil {
		reader.err = errTruncatedPayload
		return 0
	}
	reader.remaining = reader.remaining[size:]
	return value
}

func (reader *payloadReader) bytes() []byte {
	length := reader.uvarint()
	if reader.err != nil || length > uint64(len(reader.remaining)) {
		reader.err = errTruncatedPayload
		return nil
	}
	data := reader.remaining[:length:length]
	reader.remaining = reader.remaining[length:]
	return data
}
