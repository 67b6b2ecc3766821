package runner

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	registerRetryPause = 150 * time.Millisecond
	// recordTimeout bounds the attempts to record a found worker. Without the
	// record the next process waits up to a second for the worker's report.
	recordTimeout = 5 * time.Second
)

// Registration writes an agent's row in the store.
type Registration struct {
	Store   rowstore.Store
	Node    string
	Address string
	Log     zerolog.Logger
}

// Register writes the row and returns the process's token and the worker that
// the previous process had found, if any.
func (g Registration) Register(ctx context.Context) (token uint64, before workload.Worker, err error) {
	for {
		token, before, err = g.tryRegister(ctx)
		if err == nil || ctx.Err() != nil {
			return token, before, err
		}
		g.Log.Warn().Err(err).Msg("agent not registered yet; trying again")
		time.Sleep(registerRetryPause)
	}
}

func (g Registration) tryRegister(ctx context.Context) (uint64, workload.Worker, error) {
	row, err := rowstore.Get(ctx, g.Store, dispatch.AgentKey(g.Node))
	if err != nil {
		return 0, workload.Worker{}, eris.Wrap(err, "read the agent's row")
	}
	before, err := dispatch.DecodeAgentRow(row)
	if err != nil {
		g.Log.Error().Err(err).Msg("agent's row is unreadable; overwriting it")
	}
	token, err := g.writeRow(ctx, before.Worker)
	return token, before.Worker, err
}

func (g Registration) writeRow(ctx context.Context, w workload.Worker) (uint64, error) {
	value, err := dispatch.AgentRow{Address: g.Address, Worker: w}.Encode()
	if err != nil {
		return 0, err
	}
	stamp, err := g.Store.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: dispatch.AgentKey(g.Node), Value: value}}})
	return stamp.Version, eris.Wrap(err, "write the agent's row")
}

// Record writes the found worker into the agent's row, for the next process.
func (g Registration) Record(ctx context.Context, w workload.Worker) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := g.writeRow(ctx, w)
		if err == nil {
			return
		}
		g.Log.Info().Err(err).Msg("worker could not be written into the agent's row; trying again")
		time.Sleep(registerRetryPause)
	}
}
