package settings

import (
	"fmt"
	"net"

	"persimmonrock.example/structs"
)

// AgentPlatform locates the platform's services for an agent.
type AgentPlatform struct {
	// Table is the base URL of the transactional table service.
	Table string `json:"table"`
	// Objects is the base URL of the object store.
	Objects string `json:"objects"`
	// Worker is the base URL of this instance's worker.
	Worker string `json:"worker"`
	// Timeout is the maximum wait for one response of the platform.
	Timeout structs.Duration `json:"timeout"`
}

// Total holds the resources of the instance that the system can allocate.
type Total struct {
	// Slots is the number of slots for urgent calls and batch tasks together.
	Slots int `json:"slots"`
	// MilliCores is the processor time in thousandths of a core; 0 means
	// unlimited.
	MilliCores int `json:"milli_cores"`
	// MemoryBytes is the memory in bytes; 0 means unlimited.
	MemoryBytes int64 `json:"memory_bytes"`
	// Accelerators is the number of accelerators.
	Accelerators int `json:"accelerators"`
	// Connections is the number of connections to the backend server; 0 means
	// unlimited.
	Connections int `json:"connections"`
}

// Resources returns t as structs.Resources.
func (t Total) Resources() structs.Resources {
	return structs.Resources{
		Slots:        t.Slots,
		MilliCores:   t.MilliCores,
		MemoryBytes:  t.MemoryBytes,
		Accelerators: t.Accelerators,
		Connections:  t.Connections,
	}
}

// Agent holds the settings of one agent process.
type Agent struct {
	// Instance is the name of the instance that the agent runs on, unique among
	// all instances.
	Instance structs.InstanceID `json:"instance"`
	// DataCentre is the data centre (zone) in which the instance runs.
	DataCentre structs.DataCentre `json:"data_centre"`
	// HTTP is the loopback address at which the instance's backend servers
	// announce themselves.
	HTTP HTTP `json:"http"`
	// RPC is the address at which entries reach the agent.
	RPC RPC `json:"rpc"`
	// Peers is the authentication between the system's processes.
	Peers Peers `json:"peers"`
	// Entries is the list of rpc addresses of entries to contact first; the
	// agent discovers the others through them.
	Entries []string `json:"entries,omitempty"`
	// Platform is the location of the platform's services.
	Platform AgentPlatform `json:"platform"`
	// Total is the part of the instance's resources that the system can
	// allocate.
	Total Total `json:"total"`
	// Limits is the set of limits on HTTP clients.
	Limits Limits `json:"limits"`
	// Lease is the duration of the lease that covers all tasks of the instance.
	// A longer one survives longer outages of the table service; a shorter one
	// allows a sooner recovery from a lost instance.
	Lease structs.Duration `json:"lease"`
	// WorkerLease is the time for which the worker runs tasks without a renewal
	// by the agent.
	WorkerLease structs.Duration `json:"worker_lease"`
	// Shutdown is the maximum time for requests in progress and checkpoints at
	// a planned stop.
	Shutdown structs.Duration `json:"shutdown"`
	// Events is the number of events of the time line that are kept.
	Events int `json:"events"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
}

// DefaultAgent returns the settings that apply unless the file sets them.
func DefaultAgent() Agent {
	limits := DefaultLimits()
	limits.Connections = 256
	return Agent{
		Platform:    AgentPlatform{Timeout: seconds(2)},
		Limits:      limits,
		Lease:       seconds(600),
		WorkerLease: seconds(15),
		Shutdown:    seconds(60),
		Events:      16384,
		LogLevel:    "info",
	}
}

// Check returns a problem for each setting that is missing or out of range.
func (a *Agent) Check() []Problem {
	out := required("instance", string(a.Instance), "a name for this instance")
	out = append(out, required("data_centre", string(a.DataCentre), "the name of the data centre")...)
	out = append(out, checkLoopback("http.listen", a.HTTP.Listen)...)
	out = append(out, checkRPC(a.RPC)...)
	out = append(out, a.Peers.check("peers")...)
	if len(a.Entries) == 0 {
		out = append(out, Problem{"entries", "missing; want the rpc address of at least one entry"})
	}
	out = append(out, checkEntries(a.Entries)...)
	out = append(out, checkURL("platform.table", a.Platform.Table)...)
	out = append(out, checkURL("platform.objects", a.Platform.Objects)...)
	out = append(out, checkURL("platform.worker", a.Platform.Worker)...)
	out = append(out, positiveDuration("platform.timeout", a.Platform.Timeout)...)
	out = append(out, a.Total.check()...)
	out = append(out, a.Limits.check("limits")...)
	out = append(out, positiveDuration("worker_lease", a.WorkerLease)...)
	if a.Lease <= a.WorkerLease {
		out = append(out, Problem{"lease", fmt.Sprintf("want above worker_lease (%s)", a.WorkerLease.Std())})
	}
	out = append(out, positiveDuration("shutdown", a.Shutdown)...)
	out = append(out, positive("events", int64(a.Events))...)
	return append(out, checkLevel(a.LogLevel)...)
}

func (t Total) check() []Problem {
	out := positive("total.slots", int64(t.Slots))
	if t.MilliCores < 0 || t.MemoryBytes < 0 || t.Accelerators < 0 || t.Connections < 0 {
		out = append(out, Problem{"total", "want no amount below 0"})
	}
	return out
}

// checkLoopback refuses an address that other machines can reach: announcements
// require no key, since only the instance's own backend servers may send them.
func checkLoopback(key, address string) []Problem {
	if out := checkAddress(key, address); out != nil {
		return out
	}
	host, _, _ := net.SplitHostPort(address)
	if !net.ParseIP(host).IsLoopback() {
		return []Problem{{key, fmt.Sprintf(`want a loopback address such as "127.0.0.1:7410", got %q`, address)}}
	}
	return nil
}
