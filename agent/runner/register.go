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
	// registerRetry is the pause before a registration is repeated.
	registerRetry = 150 * time.Millisecond
	// recordFor bounds the writing of a worker that was found. It only saves
	// the next process a second.
	recordFor = 5 * time.Second
)

// Registration is an agent's row in the store.
type Registration struct {
	Store   rowstore.Store
	Node    string
	Address string
	Log     zerolog.Logger
}

// Register writes the row and returns the process's token and the worker that
// the process before it had found, if any.
func (g Registration) Register(ctx context.Context) (token uint64, before workload.Worker, err error) {
	for {
		token, before, err = g.once(ctx)
		if err == nil || ctx.Err() != nil {
			return token, before, err
		}
		g.Log.Warn().Err(err).Msg("not registered yet")
		time.Sleep(registerRetry)
	}
}

func (g Registration) once(ctx context.Context) (uint64, workload.Worker, error) {
	row, err := rowstore.Get(ctx, g.Store, dispatch.AgentKey(g.Node))
	if err != nil {
		return 0, workload.Worker{}, eris.Wrap(err, "read the agent's row")
	}
	before, err := dispatch.DecodeAgentRow(row)
	if err != nil {
		g.Log.Error().Err(err).Msg("the agent's row can't be read; it is written anew")
	}
	token, err := g.write(ctx, before.Worker)
	return token, before.Worker, err
}

func (g Registration) write(ctx context.Context, w workload.Worker) (uint64, error) {
	value, err := dispatch.AgentRow{Address: g.Address, Worker: w}.Encode()
	if err != nil {
		return 0, err
	}
	stamp, err := g.Store.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: dispatch.AgentKey(g.Node), Value: value}}})
	return stamp.Version, eris.Wrap(err, "write the agent's row")
}

// Record notes the worker that was found, for the next process.
func (g Registration) Record(ctx context.Context, w workload.Worker) {
	ctx, cancel := context.WithTimeout(ctx, recordFor)
	defer cancel()
	for ctx.Err() == nil {
		_, err := g.write(ctx, w)
		if err == nil {
			return
		}
		g.Log.Info().Err(err).Msg("found worker not recorded yet")
		time.Sleep(registerRetry)
	}
}
