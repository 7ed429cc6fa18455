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

func (recorded *recordedAnswer) head(head core.Head) {
	recorded.status, recorded.headers = head.Status, head.Headers
}

func (recorded *recordedAnswer) data(data []byte) {
	if recorded.hash == nil {
		recorded.hash = sha256.New()
	}
	recorded.hash.Write(data)
	recorded.length += core.Bytes(len(data))
	if recorded.length <= ledger.MaxAnswer {
		recorded.body = append(recorded.body, data...)
	} else {
		recorded.body = nil
	}
}

// restart drops what was collected.
func (recorded *recordedAnswer) restart() {
	*recorded = recordedAnswer{}
}

func (recorded *recordedAnswer) answer() *ledger.Answer {
	recorded.data(nil)
	return &ledger.Answer{
		Status:    recorded.status,
		Headers:   recorded.headers,
		Body:      recorded.body,
		Truncated: recorded.length > ledger.MaxAnswer,
		BodyHash:  hex.EncodeToString(recorded.hash.Sum(nil)),
		Length:    recorded.length,
	}
}
