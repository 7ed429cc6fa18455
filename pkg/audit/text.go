package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// MaxText is the largest length in bytes of a text in a record that a caller chooses.
	MaxText = 128
	// longPrefix is the length of the part of a longer text that a record keeps.
	longPrefix = 48
)

// BoundText returns the form in which a record holds a text that a caller chooses: the text itself
// if it has at most MaxText bytes, and otherwise its first 48 bytes, "...sha256-" and the SHA-256
// digest of the whole text in hexadecimal digits.
func BoundText[Text ~string](text Text) Text {
	if len(text) <= MaxText {
		return text
	}
	digest := sha256.Sum256([]byte(text))
	// The concatenation copies the prefix, so the record does not keep the whole text in memory.
	return text[:longPrefix] + "...sha256-" + Text(hex.EncodeToString(digest[:]))
}

// Bounded returns a copy of the record in which each text that a caller chooses is bounded as by
// BoundText. An attempt keeps its number behind the bounded request.
func (record Record) Bounded() Record {
	number, ok := strings.CutPrefix(string(record.Attempt), string(record.Request))
	record.Request = BoundText(record.Request)
	record.Attempt = BoundText(record.Attempt)
	if ok {
		record.Attempt = core.AttemptID(string(record.Request) + BoundText(number))
	}
	record.Adapter, record.Version = BoundText(record.Adapter), BoundText(record.Version)
	record.Call = BoundText(record.Call)
	return record
}
