package auditor

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// batchRequest returns the request that contains a batch.
func batchRequest(batch []*pendingRecord, secondCopy bool) *wire.Request {
	entries := make([]*wire.AuditEntry, 0, len(batch))
	for _, item := range batch {
		entries = append(entries, &wire.AuditEntry{
			Vm: string(item.record.VM), Incarnation: string(item.record.Incarnation),
			Sequence: item.record.Sequence, Record: item.payload,
		})
	}
	return &wire.Request{Body: &wire.Request_Audit{Audit: &wire.Audit{Entries: entries, SecondCopy: secondCopy}}}
}

// payloadsOf returns the payloads of a received batch. It returns an error for a payload
// that is not valid JSON, which no reader could decode later.
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

// pendingRecordOf returns a received entry as a record that is buffered in memory.
func pendingRecordOf(entry *wire.AuditEntry) *pendingRecord {
	return &pendingRecord{
		record:   audit.Record{VM: core.VMID(entry.GetVm()), Incarnation: core.Incarnation(entry.GetIncarnation()), Sequence: entry.GetSequence()},
		payload:  entry.GetRecord(),
		buffered: true,
	}
}

func resultMessage(durable bool, reason string) *wire.AuditResult {
	return &wire.AuditResult{Durable: durable, Reason: reason}
}
