package settings

import (
	"fmt"
	"time"

	"persimmonrock.example/structs"
)

// EntryPlatform locates the platform's services for an entry.
type EntryPlatform struct {
	// Table is the base URL of the transactional table service.
	Table string `json:"table"`
	// Objects is the base URL of the object store.
	Objects string `json:"objects"`
	// Timeout is the maximum wait for one response of the platform.
	Timeout structs.Duration `json:"timeout"`
}

// minCallRetention exceeds the longest call (1 h) plus the longest time to
// write its end (40 min), so that no record is deleted while its call may still
// run.
const minCallRetention = 2 * time.Hour

// Entry holds the settings of one entry process.
type Entry struct {
	// ID is the name of this entry, unique among all entries.
	ID structs.EntryID `json:"id"`
	// DataCentre is the data centre (zone) in which the entry runs.
	DataCentre structs.DataCentre `json:"data_centre"`
	// HTTP is the address at which callers and operators reach the entry.
	HTTP HTTP `json:"http"`
	// RPC is the address at which agents and other entries reach the entry.
	RPC RPC `json:"rpc"`
	// Peers is the authentication between the system's processes.
	Peers Peers `json:"peers"`
	// Entries is the list of rpc addresses of other entries, which are queried
	// while the table service can't be read.
	Entries []string `json:"entries,omitempty"`
	// Platform is the location of the platform's services.
	Platform EntryPlatform `json:"platform"`
	// OperatorKeyHashes is the list of hex SHA-256 hashes of the operators'
	// keys that are valid; two at once allow a rotation without a gap.
	OperatorKeyHashes []string `json:"operator_key_hashes"`
	// TLS encrypts the connections of callers and operators. Without it, the
	// entry serves plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
	// Limits is the set of limits on HTTP clients.
	Limits Limits `json:"limits"`
	// Heartbeat is the minimum time between two reports of one agent; an entry
	// increases it with the number of agents.
	Heartbeat structs.Duration `json:"heartbeat"`
	// ShardLease is the duration of the lease on a queue shard.
	ShardLease structs.Duration `json:"shard_lease"`
	// AgentScan is the time between two reads of the agents' lease rows, up to
	// 200 of them; with more rows it grows in proportion, up to six times. A
	// lost instance is detected up to two of these times after its lease
	// expires.
	AgentScan structs.Duration `json:"agent_scan"`
	// JobRetention is the minimum time for which final jobs, their results and
	// checkpoints are kept; until then a repeated submission finds its job.
	JobRetention structs.Duration `json:"job_retention"`
	// ConfigPoll is the time between two reads of the configuration's revision.
	ConfigPoll structs.Duration `json:"config_poll"`
	// CallRetention is the minimum time for which the record of a call with an
	// Idempotency-Key is kept after its last change. Until then a repeat of the
	// key is answered from that record; later it runs as a new call.
	CallRetention structs.Duration `json:"call_retention"`
	// Shutdown is the maximum time for requests in progress at a planned stop.
	Shutdown structs.Duration `json:"shutdown"`
	// Events is the number of events of the time line that are kept.
	Events int `json:"events"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
}

// DefaultEntry returns the settings that apply unless the file sets them.
func DefaultEntry() Entry {
	return Entry{
		Platform:      EntryPlatform{Timeout: seconds(2)},
		Limits:        DefaultLimits(),
		Heartbeat:     seconds(2),
		ShardLease:    seconds(10),
		AgentScan:     seconds(10),
		JobRetention:  structs.Duration(72 * time.Hour),
		ConfigPoll:    seconds(2),
		CallRetention: structs.Duration(24 * time.Hour),
		Shutdown:      seconds(60),
		Events:        16384,
		LogLevel:      "info",
	}
}

// Check returns a problem for each setting that is missing or out of range.
func (e *Entry) Check() []Problem {
	out := required("id", string(e.ID), "a name for this entry")
	out = append(out, required("data_centre", string(e.DataCentre), "the name of the data centre")...)
	out = append(out, checkAddress("http.listen", e.HTTP.Listen)...)
	out = append(out, checkRPC(e.RPC)...)
	out = append(out, e.Peers.check("peers")...)
	out = append(out, checkEntries(e.Entries)...)
	out = append(out, checkURL("platform.table", e.Platform.Table)...)
	out = append(out, checkURL("platform.objects", e.Platform.Objects)...)
	out = append(out, positiveDuration("platform.timeout", e.Platform.Timeout)...)
	out = append(out, checkHashes("operator_key_hashes", e.OperatorKeyHashes)...)
	out = append(out, e.TLS.check("tls")...)
	out = append(out, e.Limits.check("limits")...)
	out = append(out, positiveDuration("heartbeat", e.Heartbeat)...)
	out = append(out, positiveDuration("agent_scan", e.AgentScan)...)
	out = append(out, positiveDuration("job_retention", e.JobRetention)...)
	out = append(out, positiveDuration("config_poll", e.ConfigPoll)...)
	out = append(out, positiveDuration("shutdown", e.Shutdown)...)
	out = append(out, positive("events", int64(e.Events))...)
	out = append(out, checkLevel(e.LogLevel)...)
	if e.CallRetention < structs.Duration(minCallRetention) {
		out = append(out, Problem{"call_retention", "want at least 2h"})
	}
	if e.ShardLease < structs.Duration(time.Second) {
		out = append(out, Problem{"shard_lease", "want at least 1s"})
	}
	return out
}

func checkRPC(r RPC) []Problem {
	out := checkAddress("rpc.listen", r.Listen)
	if r.Advertise != "" {
		return append(out, checkReachable("rpc.advertise", r.Advertise)...)
	}
	if len(out) == 0 {
		out = checkReachable("rpc.listen", r.Listen)
	}
	return out
}

func checkEntries(addresses []string) []Problem {
	var out []Problem
	for i, address := range addresses {
		out = append(out, checkReachable(fmt.Sprintf("entries[%d]", i), address)...)
	}
	return out
}

func checkHashes(key string, hashes []string) []Problem {
	if len(hashes) == 0 {
		return []Problem{{key, "missing; want the hash of an operator's key (persimmonrock contract key makes one)"}}
	}
	for _, h := range hashes {
		c := structs.Contract{Customer: "check", LatencyTarget: 1, Share: 1, KeyHashes: []string{h}}
		if c.Validate() != nil {
			return []Problem{{key, "want 64 lower-case hex digits each"}}
		}
	}
	return nil
}

func checkLevel(level string) []Problem {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return []Problem{{"log_level", `want "debug", "info", "warn" or "error"`}}
}
