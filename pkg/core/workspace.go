package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// WorkspaceID identifies a workspace: those callers who share keys and a quota.
type WorkspaceID string

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// KeyDigest is the SHA-256 of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in lower-case hexadecimal digits.
func (digest KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, digest[:]), nil
}

// UnmarshalText sets the digest from hexadecimal digits. It returns an error if their number is
// not that of a digest.
func (digest *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(digest)) {
		return fmt.Errorf("a key digest has %d digits instead of %d", len(text), hex.EncodedLen(len(digest)))
	}
	if _, err := hex.Decode(digest[:], text); err != nil {
		return fmt.Errorf("decode a key digest: %w", err)
	}
	return nil
}

// Quota limits what the requests of a workspace use on all entry VMs together.
type Quota struct {
	// Rate is the number of tokens a second, zero for no limit.
	Rate TokensPerSecond
	// Burst is the number of tokens beyond the rate that may be used at once.
	Burst Tokens
	// PlainTokens is the number of tokens of a request that states none.
	PlainTokens Tokens
	// PerRequest makes each request count as one token, whatever it states.
	PerRequest bool
}

// Cost returns the tokens that a request counts which states the given number, zero if it
// states none.
func (quota Quota) Cost(stated Tokens) Tokens {
	switch {
	case quota.PerRequest:
		return 1
	case stated > 0:
		return stated
	default:
		return quota.PlainTokens
	}
}

// Workspace is an entry of the route table: the keys of its callers and what they may use.
type Workspace struct {
	Workspace WorkspaceID
	Keys      []KeyDigest
	// Rank replaces Route.Rank for the requests of the workspace; nil leaves it.
	Rank  *int
	Quota Quota
}

// QuotaShare is an entry VM's share of all rates of tokens, in millionths.
type QuotaShare uint32

// WholeQuota is the sum of the shares of all entry VMs.
const WholeQuota QuotaShare = 1_000_000

// Fraction returns the share as a number from 0 to 1.
func (share QuotaShare) Fraction() float64 { return float64(share) / float64(WholeQuota) }

// QuotaGroup is the group whose owner grants the quotas of all workspaces.
var QuotaGroup = GroupID{Kind: EngineGroup, Name: "quotas"}
