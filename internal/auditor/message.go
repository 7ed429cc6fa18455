package auditor

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// message returns the request that carries a batch.
func message(batch []*item, second bool) *wire.Request {
	entries := make([]*wire.AuditEntry, 0, len(batch))
	for _, item := range batch {
		entries = append(entries, &wire.AuditEntry{
			Vm: string(item.record.VM), Incarnation: string(item.record.Incarnation),
			Sequence: item.record.Sequence, Record: item.payload,
		})
	}
	return &wire.Request{Body: &wire.Request_Audit{Audit: &wire.Audit{Entries: entries, SecondCopy: second}}}
}

// payloadsOf returns the payloads of a received batch. It refuses what no reader
// could decode later.
func payloadsOf(message *wire.Audit) ([]audit.Payload, error) {
	payloads := make([]audit.Payload, 0, len(message.GetEntries()))
	for i, entry := range message.GetEntries() {
		if !json.Valid(entry.GetRecord()) {
			return nil, errors.Errorf("entry %d is not JSON", i)
		}
		payloads = append(payloads, entry.GetRecord())
	}
	return payloads, nil
}

// itemOf returns the item that holds a received entry in memory.
func itemOf(entry *wire.AuditEntry) *item {
	return &item{
		record:  audit.Record{VM: core.VMID(entry.GetVm()), Incarnation: core.Incarnation(entry.GetIncarnation()), Sequence: entry.GetSequence()},
		payload: entry.GetRecord(),
		held:    true,
	}
}

func resultMessage(durable bool, reason string) *wire.AuditResult {
	return &wire.AuditResult{Durable: durable, Reason: reason}
}
