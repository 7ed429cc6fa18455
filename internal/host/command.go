package host

import (
	"context"
	"hash/fnv"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// configShard holds the plans and grants, the owners and the convictions.
const configShard core.ShardID = 0

// ShardOf returns the shard of a key, from 1 to claimShards. The result must be the
// same on all VMs and in all versions.
func ShardOf(customer core.CustomerID, key core.IdempotencyKey, claimShards core.ShardID) core.ShardID {
	hash := fnv.New64a()
	hash.Write([]byte(customer))
	hash.Write([]byte{0}) // distinguishes "ab"+"c" from "a"+"bc"
	hash.Write([]byte(key))
	return 1 + core.ShardID(hash.Sum64()%uint64(claimShards))
}

// Claim reserves a key for an attempt. After any error the attempt must not be sent to
// an upstream. After ErrUncertain the attempt may hold the key: record the outcome
// NotRun to release it.
func (client *Client) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	shard := ShardOf(claim.Customer, claim.Key, client.claimShards)
	result, err := client.Propose(ctx, shard, ledger.Command{Claim: &claim})
	return unwrap(result.Claim, result, err, "claim")
}

// Record stores the outcome of a claimed call. It returns no error if another outcome
// was stored before.
func (client *Client) Record(ctx context.Context, record ledger.Record) error {
	shard := ShardOf(record.Customer, record.Key, client.claimShards)
	result, err := client.Propose(ctx, shard, ledger.Command{Record: &record})
	_, err = unwrap(result.Record, result, err, "record outcome")
	return err
}

// PutList replaces the plans or the grants.
func (client *Client) PutList(ctx context.Context, put ledger.PutList) (ledger.PutListResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{PutList: &put})
	return unwrap(result.PutList, result, err, "put list")
}

// Crash reports the crash of an upstream together with the requests that it was
// running.
func (client *Client) Crash(ctx context.Context, report ledger.CrashReport) (ledger.CrashResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{Crash: &report})
	return unwrap(result.Crash, result, err, "report crash")
}

// Assign gives a group to a VM. The result holds the ownership that is in effect.
// After a retry that may be the one of this command although Changed is false.
func (client *Client) Assign(ctx context.Context, assign ledger.Assign) (ledger.AssignResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{Assign: &assign})
	return unwrap(result.Assign, result, err, "assign group")
}

// unwrap returns the part of a result that belongs to the command, or ErrNotCommitted
// if the state rejected the command.
func unwrap[Part any](part *Part, result ledger.Result, err error, action string) (Part, error) {
	var none Part
	if err != nil {
		return none, errors.Wrap(err, action)
	}
	if part == nil {
		return none, errors.Wrapf(ErrNotCommitted, "%s: %s", action, result.Fault)
	}
	return *part, nil
}
