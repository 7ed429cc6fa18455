package host

import (
	"context"
	"hash/fnv"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// configShard holds the lists, the owners and the convictions.
const configShard core.ShardID = 0

// ShardOf returns the shard of a key: one of 1 to claimShards. It must be the same
// on all VMs and in all versions.
func ShardOf(customer core.CustomerID, key core.IdempotencyKey, claimShards core.ShardID) core.ShardID {
	hash := fnv.New64a()
	hash.Write([]byte(customer))
	hash.Write([]byte{0}) // keeps "ab"+"c" apart from "a"+"bc"
	hash.Write([]byte(key))
	return 1 + core.ShardID(hash.Sum64()%uint64(claimShards))
}

// Claim reserves a key for an attempt. After any error the call must not leave.
// After ErrUncertain the attempt may hold the key: record NotRun to give it back.
func (client *Client) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	shard := ShardOf(claim.Customer, claim.Key, client.claimShards)
	result, err := client.Propose(ctx, shard, ledger.Command{Claim: &claim})
	return unwrap(result.Claim, result, err, "claim")
}

// Record states the outcome of a claimed call. It is not an error if another
// outcome stands.
func (client *Client) Record(ctx context.Context, record ledger.Record) error {
	shard := ShardOf(record.Customer, record.Key, client.claimShards)
	result, err := client.Propose(ctx, shard, ledger.Command{Record: &record})
	_, err = unwrap(result.Record, result, err, "record outcome")
	return err
}

// PutList replaces one of the lists.
func (client *Client) PutList(ctx context.Context, put ledger.PutList) (ledger.PutListResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{PutList: &put})
	return unwrap(result.PutList, result, err, "put list")
}

// Crash reports the loss of an upstream with the requests that it ran.
func (client *Client) Crash(ctx context.Context, report ledger.CrashReport) (ledger.CrashResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{Crash: &report})
	return unwrap(result.Crash, result, err, "report crash")
}

// Assign gives a group to a VM. The result names the ownership in force; after a
// resend it may be that of this command although Changed is false.
func (client *Client) Assign(ctx context.Context, assign ledger.Assign) (ledger.AssignResult, error) {
	result, err := client.Propose(ctx, configShard, ledger.Command{Assign: &assign})
	return unwrap(result.Assign, result, err, "assign group")
}

// unwrap returns the part of a result that the command asked for.
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
