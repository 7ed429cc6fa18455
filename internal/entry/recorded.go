package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// recordedAnswer collects the answer of a call that may not be repeated. The zero
// value is ready to use.
type recordedAnswer struct {
	status  int
	headers []core.Header
	body    []byte
	length  core.Bytes
	hash    hash.Hash
}

// setHead stores the status and the headers of the answer.
func (recorded *recordedAnswer) setHead(head core.Head) {
	recorded.status, recorded.headers = head.Status, head.Headers
}

// append adds data to the body, its length and its hash. A body over ledger.MaxAnswerBytes
// is discarded, while the length and the hash cover all of it.
func (recorded *recordedAnswer) append(data []byte) {
	if recorded.hash == nil {
		recorded.hash = sha256.New()
	}
	recorded.hash.Write(data)
	recorded.length += core.Bytes(len(data))
	if recorded.length <= ledger.MaxAnswerBytes {
		recorded.body = append(recorded.body, data...)
	} else {
		recorded.body = nil
	}
}

// reset discards what was collected.
func (recorded *recordedAnswer) reset() {
	*recorded = recordedAnswer{}
}

// answer returns the collected answer. It is marked as truncated if the body was over
// ledger.MaxAnswerBytes.
func (recorded *recordedAnswer) answer() *ledger.Answer {
	recorded.append(nil)
	return &ledger.Answer{
		Status:    recorded.status,
		Headers:   recorded.headers,
		Body:      recorded.body,
		Truncated: recorded.length > ledger.MaxAnswerBytes,
		BodyHash:  hex.EncodeToString(recorded.hash.Sum(nil)),
		Length:    recorded.length,
	}
}
