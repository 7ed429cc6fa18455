package settings

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// HashToken returns the lower-case hexadecimal SHA-256 of a bearer key or an operator
// token, the form in which the list of plans and OperatorTokenHashes contain it.
func HashToken(token string) core.KeyHash {
	sum := sha256.Sum256([]byte(token))
	return core.KeyHash(hex.EncodeToString(sum[:]))
}
