package structs

// LeaseState is the state of a lease row.
type LeaseState string

// The states of an agent's lease. LeaseFenced and LeaseReleased both prove that
// no task of the lease's incarnation runs any more.
const (
	LeaseActive   LeaseState = "active"
	LeaseReleased LeaseState = "released"
	LeaseFenced   LeaseState = "fenced"
)

// AgentLease is the row under AgentLeaseKey: one row covers every batch task of
// the instance. The holder increments Counter at each renewal. An observer
// never compares clocks: it measures the time since it last saw Counter change.
type AgentLease struct {
	Instance    InstanceID  `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
	Counter     uint64      `json:"counter"`
	State       LeaseState  `json:"state"`
	// Length is how long after sending its last renewal the holder may still
	// run tasks. Observers wait for Length and a margin.
	Length  Duration   `json:"length"`
	Address string     `json:"address"`
	Zone    DataCentre `json:"data_centre"`
}

// ShardLease is the row under ShardKey. Each write to the shard is conditional
// on this row's version. So a replaced holder can't write, even if it believes
// that it still holds the lease.
type ShardLease struct {
	Shard   ShardID  `json:"shard"`
	Owner   EntryID  `json:"owner"`
	Epoch   Epoch    `json:"epoch"`
	Address string   `json:"address"`
	Counter uint64   `json:"counter"`
	Length  Duration `json:"length"`
}
