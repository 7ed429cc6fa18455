package settings

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// HashToken returns the hash of a bearer key or an operator token, as the lists
// and OperatorTokenHashes hold it.
func HashToken(token string) core.KeyHash {
	sum := sha256.Sum256([]byte(token))
	return core.KeyHash(hex.EncodeToString(sum[:]))
}
