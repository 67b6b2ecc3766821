package dispatch

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// AgentsTable holds one row an agent. The version of the row that a process
// writes when it starts is its fencing token: higher than that of every
// earlier process.
const AgentsTable = "agents"

// AgentsPart is the part of all agents' rows.
const AgentsPart = "a"

// AgentKey addresses the row of an agent.
func AgentKey(node string) rowstore.Key {
	return rowstore.Key{Table: AgentsTable, Part: AgentsPart, Key: node}
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
