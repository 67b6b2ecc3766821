package structs

import "fmt"

// Prefixes of the table service's keys, and its fixed keys.
const (
	JobPrefix        = "job/"
	ShardPrefix      = "shard/"
	AgentLeasePrefix = "agent/"
	ContractPrefix   = "contract/"
	CallPrefix       = "call/"
	RevisionKey      = "config/revision"
	OperationsKey    = "config/operations"
	RetentionPrefix  = "retention/"
)

// JobKey is the table key of a job's row.
func JobKey(s ShardID, id JobID) string { return fmt.Sprintf("%s%02d/%s", JobPrefix, s, id) }

// JobShardPrefix is the prefix of all job rows of one shard.
func JobShardPrefix(s ShardID) string { return fmt.Sprintf("%s%02d/", JobPrefix, s) }

// ShardKey is the table key of a shard's lease row.
func ShardKey(s ShardID) string { return fmt.Sprintf("%s%02d", ShardPrefix, s) }

// AgentLeaseKey is the table key of an agent's lease row.
func AgentLeaseKey(i InstanceID) string { return AgentLeasePrefix + string(i) }

// ContractKey is the table key of a customer's contract.
func ContractKey(c Customer) string { return ContractPrefix + string(c) }

// CallKey is the table key of the record of one keyed non-idempotent call.
func CallKey(c Customer, idempotencyKey string) string {
	return CallPrefix + string(c) + "/" + idempotencyKey
}

// RetentionKey is the table key of the retention epoch for one sort of rows.
func RetentionKey(sort string) string { return RetentionPrefix + sort }

// ResultKey is the object key of a task's result. The key contains the epoch,
// so that a fenced holder can't overwrite its successor's result.
func ResultKey(id JobID, e Epoch) string { return fmt.Sprintf("result/%s/%d", id, e) }

// CheckpointKey is the object key of the n-th checkpoint of one claim.
func CheckpointKey(id JobID, e Epoch, n int) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d", id, e, n)
}
