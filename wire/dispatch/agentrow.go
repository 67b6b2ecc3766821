package dispatch

import (
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// AgentsTable holds one row per agent. Each agent process writes the row at its
// start. The row's version is the process's fencing token, higher than those of
// earlier processes.
const AgentsTable = "agents"

// agentParts is the number of partitions that hold the agents' rows. After a
// power loss all agents write their rows at once, and none accepts orders
// before its row is written. With one partition the last of 240 waits for 2 s.
const agentParts = 32

// agentPart names a partition of the agents' rows. The letter keeps it apart
// from other tables' partitions, whose transactions would cause delays.
func agentPart(n int) string { return "a" + strconv.Itoa(n) }

// AgentParts returns the partitions of AgentsTable.
func AgentParts() []string {
	parts := make([]string, agentParts)
	for n := range parts {
		parts[n] = agentPart(n)
	}
	return parts
}

// AgentKey returns the key of an agent's row.
func AgentKey(node string) rowstore.Key {
	return rowstore.Key{Table: AgentsTable, Part: agentPart(rowstore.Spread(node, agentParts)), Key: node}
}

// AgentRow holds the address of an agent.
type AgentRow struct {
	Address string `json:"a"`
	// Worker is the incarnation of the worker that the agent last found. The
	// agent's next process contacts this worker without waiting for its report.
	Worker workload.Worker `json:"w,omitzero"`
}

// Encode returns the value of the row.
func (a AgentRow) Encode() ([]byte, error) {
	text, err := json.Marshal(a)
	return text, eris.Wrap(err, "encode agent row")
}

// DecodeAgentRow decodes the value of a row.
func DecodeAgentRow(r rowstore.Row) (AgentRow, error) {
	var a AgentRow
	if r.Version == 0 {
		return a, nil
	}
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return AgentRow{}, eris.Wrapf(err, "decode agent row %s", r.Key.Key)
	}
	if a.Address == "" {
		return AgentRow{}, eris.Errorf("agent row %s has no address", r.Key.Key)
	}
	return a, nil
}
