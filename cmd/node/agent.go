package node

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/agent"
	"persimmonrock.example/ops/serve"
	"persimmonrock.example/ops/settings"
)

// Agent is a running agent process.
type Agent struct {
	common
	agent *agent.Agent
}

// StartAgent starts an agent with the given settings.
func StartAgent(s settings.Agent, p Platform, log zerolog.Logger) (*Agent, error) {
	c, err := newCommon(string(s.Instance), s.Peers, s.HTTP, s.RPC, s.Events, s.Shutdown.Std(), log)
	if err != nil {
		return nil, err
	}
	n := &Agent{common: c}
	n.agent, err = agent.New(agent.Config{
		Instance: s.Instance, Zone: s.DataCentre, Address: advertised(s.RPC.Advertise, n.sockets.rpc), Seeds: s.Entries,
		Total: s.Total.Resources(), Lease: s.Lease.Std(), WorkerLease: s.WorkerLease.Std(), MaxBody: s.Limits.BodyBytes,
		AnnounceEvery: p.AnnounceEvery,
	}, agent.Deps{
		Table: p.Table, Objects: p.Objects, Worker: p.Worker, Peers: n.client, Events: n.ring, Log: log, HTTP: &http.Client{Transport: backendTransport(s.Total.Slots)},
	})
	if err != nil {
		n.sockets.close()
		return nil, err
	}
	if err := n.rpc.ServeAgent(n.agent.RPC()); err != nil {
		n.sockets.close()
		return nil, eris.Wrap(err, "register the agent's rpc")
	}
	vars := serve.NewVars()
	vars.Func("agent", n.agent.Vars)
	vars.Func("peers", n.peerVars)
	mux := http.NewServeMux()
	mux.Handle("/v1/backends/", n.agent.Handler())
	n.http, err = serve.New(serve.Options{Mux: mux, Limits: s.Limits, Ready: n.agent.Ready, Vars: vars, Events: n.ring, Log: log})
	if err != nil {
		n.sockets.close()
		return nil, err
	}
	n.start(n.agent.Run)
	log.Info().Str("http", n.HTTPAddress()).Str("rpc", n.RPCAddress()).Msg("agent started")
	return n, nil
}

// Serving returns the number of backend servers that calls are admitted to now.
func (a *Agent) Serving() int { return a.agent.Serving() }

// backendTransport keeps up to one idle connection per slot, so that a call
// does not wait for a new connection.
func backendTransport(slots int) *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = max(slots, 1)
	t.DisableCompression = true
	return t
}

// Stop carries out a planned stop.
func (n *Agent) Stop(ctx context.Context) error { return n.stop(ctx, n.agent.Drain) }

// Kill ends the agent at once.
func (n *Agent) Kill() { n.kill() }
