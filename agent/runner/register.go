package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	registerRetryPause = 150 * time.Millisecond
	// recordTimeout bounds the attempts to record a found worker. Without the
	// record the next process waits up to a second for the worker's report.
	recordTimeout = 5 * time.Second
	// checkRowAfter is the time without a scheduler's call after which an agent reads
	// its row. Takeovers and most outages of the store are shorter. The time doubles
	// up to maxCheckRow while the row is sound, and up to a quarter is added, so that
	// the agents of a fleet read apart.
	checkRowAfter = 10 * time.Second
	maxCheckRow   = 2 * time.Minute
)

// Registration writes an agent's row in the store.
type Registration struct {
	Store   rowstore.Store
	Node    string
	Address string
	// CheckAddress returns an error for an address that no process can have; nil
	// accepts all but the empty one.
	CheckAddress func(string) error
	Log          zerolog.Logger
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

// Maintain reads the agent's row whenever no scheduler has called r for long, and
// writes it again if no scheduler can use it, until ctx ends.
//
// Guards against another writer's value in place of the row: the next scheduler would
// never call this agent, and its worker would stand idle until the agent restarts.
func (g Registration) Maintain(ctx context.Context, r *Runner) {
	pause := checkRowAfter
	for ctx.Err() == nil {
		wait.For(ctx, pause+rand.N(pause/4))
		if r.uncalledFor() < checkRowAfter {
			pause = checkRowAfter
			continue
		}
		rewritten, err := g.restoreRow(ctx, r.knownWorker())
		switch {
		case err != nil:
			g.Log.Info().Err(err).Msg("agent's row could not be checked")
		case rewritten:
			g.Log.Warn().Str("row", g.Node).Msg("agent's row was unusable; it is written again")
		}
		pause = min(2*pause, maxCheckRow)
	}
}

// restoreRow writes the row if no scheduler can use it. A usable row with another
// address may be that of a newer process.
func (g Registration) restoreRow(ctx context.Context, w workload.Worker) (rewritten bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	row, err := rowstore.Get(ctx, g.Store, dispatch.AgentKey(g.Node))
	if err != nil {
		return false, eris.Wrap(err, "read the agent's row")
	}
	stored, err := dispatch.DecodeAgentRow(row)
	usable := err == nil && row.Version != 0 && (g.CheckAddress == nil || g.CheckAddress(stored.Address) == nil)
	switch {
	case usable && stored.Address == g.Address:
		return false, nil
	case usable:
		return false, eris.Errorf("agent's row holds the address %s", stored.Address)
	}
	value, err := dispatch.AgentRow{Address: g.Address, Worker: w}.Encode()
	if err != nil {
		return false, err
	}
	_, err = g.Store.Apply(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: dispatch.AgentKey(g.Node), Version: row.Version}},
		Puts:  []rowstore.Put{{Key: dispatch.AgentKey(g.Node), Value: value}},
	})
	return err == nil, eris.Wrap(err, "write the agent's row")
}
