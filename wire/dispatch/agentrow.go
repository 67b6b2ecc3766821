package dispatch

import (
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// AgentsTable holds one row an agent. The version of the row that a process
// writes when it starts is its fencing token: higher than that of every
// earlier process.
const AgentsTable = "agents"

// agentParts spreads the agents' rows. After a power loss all agents write
// theirs at once, and none takes orders before its row is written: in one part
// the last of 240 waits for two seconds.
const agentParts = 32

// agentPart names a part of the agents' rows. The letter keeps it apart from
// the parts of other tables, whose transactions it would wait for.
func agentPart(n int) string { return "a" + strconv.Itoa(n) }

// AgentParts lists the parts of AgentsTable.
func AgentParts() []string {
	parts := make([]string, agentParts)
	for n := range parts {
		parts[n] = agentPart(n)
	}
	return parts
}

// AgentKey addresses the row of an agent.
func AgentKey(node string) rowstore.Key {
	return rowstore.Key{Table: AgentsTable, Part: agentPart(rowstore.Spread(node, agentParts)), Key: node}
}

// AgentRow is where an agent can be called.
type AgentRow struct {
	Address string `json:"a"`
	// Worker is the life of the worker that it found last. The next process
	// of the agent looks for it at once instead of waiting for its report.
	Worker workload.Worker `json:"w,omitzero"`
}

// Encode gives the value of the row.
func (a AgentRow) Encode() ([]byte, error) {
	text, err := json.Marshal(a)
	return text, eris.Wrap(err, "agent row")
}

// DecodeAgentRow reads the value of a row.
func DecodeAgentRow(r rowstore.Row) (AgentRow, error) {
	var a AgentRow
	if r.Version == 0 {
		return a, nil
	}
	err := json.Unmarshal(r.Value, &a)
	return a, eris.Wrapf(err, "agent row %s", r.Key.Key)
}
