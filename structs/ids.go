package structs

// Customer names the party to one contract.
type Customer string

// Service names a latency-critical service that backend servers offer.
type Service string

// Kind names a class of batch tasks that behave alike.
type Kind string

// InstanceID names one instance: a worker with its backend server and agent.
type InstanceID string

// EntryID names one entry process.
type EntryID string

// DataCentre names the data centre in which a process or instance runs.
type DataCentre string

// RequestID names one urgent call, including all its attempts.
type RequestID string

// JobID names one batch job. It is chosen once, before the first write.
type JobID string

// Revision orders accepted configurations; a higher one is always newer.
type Revision uint64

// RetentionEpoch counts retention periods since the start of the deployment. A
// row subject to deletion carries the epoch in which it was written, or 0 if
// its writer did not know the epoch.
type RetentionEpoch uint64

// Epoch is a fencing token: the holder of a lower epoch may no longer write.
type Epoch uint64

// Incarnation numbers an instance's successive agents. An agent that acquires
// its lease again gets a new number. The number comes from the instance's lease
// row (batch) or its backend server (urgent calls), never from a clock.
type Incarnation uint64

// ShardCount is the number of queue shards. A deployment can't change it, since
// job rows are keyed by shard.
const ShardCount = 16

// ShardID is the number of one queue shard, 0 to ShardCount-1.
type ShardID uint16

// ShardOf maps a customer to the shard that holds all its jobs, so that one
// owner can enforce the customer's queue limit and share exactly. The shard is
// the customer's 32-bit FNV-1a hash modulo ShardCount.
func ShardOf(c Customer) ShardID {
	const offset, prime = 2166136261, 16777619
	h := uint32(offset)
	for i := 0; i < len(c); i++ {
		h ^= uint32(c[i])
		h *= prime
	}
	return ShardID(h % ShardCount)
}
