package machine

import (
	"context"
	"fmt"
	"io"
	"net/rpc"

	"persimmonrock.example/agent/runner"
	"persimmonrock.example/platform/store"
	"persimmonrock.example/platform/worker"
	"persimmonrock.example/wire/dispatch"
)

// RunAgent runs an agent with the settings of the machine until SIGTERM or
// SIGINT, and returns the exit status.
func RunAgent(ctx context.Context, stderr io.Writer) int {
	p, err := newProgram()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	defer p.flush()
	if err := p.runAgent(ctx); err != nil {
		p.log.Error().Err(err).Msg("agent failed")
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
	stop, cancel := p.stopSignal(ctx)
	defer cancel()
	ctx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	registration := runner.Registration{
		Store: store.New(p.settings.StoreAddress), Node: p.settings.Node, Address: p.peerAddress(),
		CheckAddress: dispatch.CheckAddress, Log: p.log,
	}
	r := runner.New(runner.Config{MaxLease: p.settings.Bounds.MaxLease, MaxReportAge: p.settings.Bounds.Contact}, runner.Deps{
		Control: worker.NewControl(p.settings.WorkerAddress), Log: p.log, Now: sinceBoot, Found: registration.Record,
	})
	if _, err := p.serveHTTP(p.settings.WorkerListen, worker.ReportHandler(reports{r})); err != nil {
		return err
	}
	token, former, err := registration.Register(stop)
	if err != nil {
		return err
	}
	r.Registered(token, former)
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", runner.NewRPC(ctx, r)); err != nil {
		return err
	}
	if err := p.servePeers(server); err != nil {
		return err
	}
	p.serveMetrics(map[string]func() any{"agent": func() any { return r.Counters() }})
	p.log.Info().Uint64("token", token).Str("peers", p.peerAddress()).Str("worker", p.settings.WorkerAddress).Msg("agent started")
	go registration.Maintain(stop, r)
	go func() {
		<-stop.Done()
		r.Stop(ctx, p.settings.Bounds.Grace-stopReserve)
		end()
	}()
	r.Run(ctx)
	p.log.Info().Msg("agent stopped")
	return nil
}
