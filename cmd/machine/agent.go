package machine

import (
	"context"
	"fmt"
	"io"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/agent/runner"
	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/platform/store"
	"persimmonrock.example/platform/worker"
)

// registerRetry is the pause before an agent's registration is repeated.
const registerRetry = 150 * time.Millisecond

// RunAgent runs an agent with the settings of the machine until it is told to
// stop, and returns the exit status.
func RunAgent(ctx context.Context, stderr io.Writer) int {
	p, err := newProgram()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	defer p.flush()
	if err := p.runAgent(ctx); err != nil {
		p.log.Error().Err(err).Msg("agent ends")
		return exitError
	}
	return exitOK
}

// reports passes a worker's reports on to the runner.
type reports struct{ *runner.Runner }

func (r reports) Reported(report worker.Report) {
	r.Runner.Reported(report.Worker, report.Sequence)
}

func (p *program) runAgent(ctx context.Context) error {
	ctx, cancel := p.stopSignal(ctx)
	defer cancel()
	token, err := p.register(ctx, store.New(p.settings.StoreAddress))
	if err != nil {
		return err
	}
	r := runner.New(runner.Config{Token: token, MaxLease: p.settings.Bounds.MaxLease},
		runner.Deps{Control: worker.NewControl(p.settings.WorkerAddress), Log: p.log, Now: sinceBoot})
	if _, err := p.serveHTTP(p.settings.WorkerListen, worker.ReportHandler(reports{r})); err != nil {
		return err
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", runner.NewRPC(ctx, r)); err != nil {
		return err
	}
	if err := p.servePeers(server); err != nil {
		return err
	}
	p.log.Info().Uint64("token", token).Str("peers", p.peerAddress()).Str("worker", p.settings.WorkerAddress).Msg("agent started")
	r.Run(ctx)
	p.log.Info().Msg("agent stops")
	return nil
}

// register writes the agent's row. The version that the store gives the row
// is the agent's token: higher than that of every earlier process.
func (p *program) register(ctx context.Context, rows rowstore.Store) (uint64, error) {
	value := scheduler.EncodeAgent(scheduler.AgentRow{Address: p.peerAddress(), DataCentre: p.settings.DataCentre})
	for {
		stamp, err := rows.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: scheduler.AgentKey(p.settings.Node), Value: value}}})
		if err == nil {
			return stamp.Version, nil
		}
		if ctx.Err() != nil {
			return 0, eris.Wrap(err, "register")
		}
		p.log.Warn().Err(err).Msg("not registered yet")
		time.Sleep(registerRetry)
	}
}
