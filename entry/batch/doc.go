// Package batch is the part of an entry that owns queue shards and moves batch
// jobs from submission to one final state.
//
// Each of the structs.ShardCount queue shards has one owner, named by its row
// in the table service. A tenure is one period of ownership: it holds the
// shard's jobs in memory and one serialised writer. Every change of a job goes
// through that writer, which gathers changes for a few tens of milliseconds and
// commits them in one transaction that is conditional on the shard row's
// version. So the store refuses the transactions of a replaced owner, which
// then ends its tenure.
//
// The reasons and figures are in docs/notes/queue-shards.md and
// docs/notes/recovery.md.
package batch
