package node

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/entry"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/serve"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

// Entry is a running entry process.
type Entry struct {
	common
	entry *entry.Entry
}

// StartEntry starts an entry with the given settings.
func StartEntry(s settings.Entry, p Platform, log zerolog.Logger) (*Entry, error) {
	c, err := newCommon(string(s.ID), s.Peers, s.HTTP, s.RPC, s.Events, s.Shutdown.Std(), log)
	if err != nil {
		return nil, err
	}
	n := &Entry{common: c}
	n.entry = entry.New(entry.Config{
		ID: s.ID, Zone: s.DataCentre, Address: advertised(s.RPC.Advertise, n.sockets.rpc), Seeds: s.Entries,
		OperatorKeyHashes: s.OperatorKeyHashes, MaxBody: s.Limits.BodyBytes,
		ConfigPoll: s.ConfigPoll.Std(), Heartbeat: s.Heartbeat.Std(), ShardLease: s.ShardLease.Std(), AgentScan: s.AgentScan.Std(),
		CallRetention: s.CallRetention.Std(), JobRetention: s.JobRetention.Std(),
	}, entry.Deps{Table: p.Table, Objects: p.Objects, Peers: n.client, Events: n.ring, Log: log})
	if err := n.rpc.ServeEntry(n.entry.RPC()); err != nil {
		n.sockets.close()
		return nil, eris.Wrap(err, "register the entry's rpc")
	}
	vars := serve.NewVars()
	vars.Func("entry", n.entry.Vars)
	vars.Func("peers", n.peerVars)
	n.http, err = serve.New(serve.Options{
		Mux: n.entry.Mux(), Limits: s.Limits, TLS: s.TLS, Ready: n.entry.Ready, Vars: vars, Events: n.ring,
		Guard: operatorOnly(s.OperatorKeyHashes), Log: log,
	})
	if err != nil {
		n.sockets.close()
		return nil, err
	}
	n.start(n.entry.Run)
	log.Info().Str("http", n.HTTPAddress()).Str("rpc", n.RPCAddress()).Msg("entry started")
	return n, nil
}

// operatorOnly returns a guard that refuses requests without an operator's key,
// so that customers can't read counters and events.
func operatorOnly(hashes []string) func(*http.Request) *structs.Refusal {
	return func(r *http.Request) *structs.Refusal {
		if keys.Match(hashes, keys.Bearer(r)) {
			return nil
		}
		return &structs.Refusal{Type: structs.RefusedUnauthorised, Status: http.StatusUnauthorized, Outcome: structs.NotRun,
			Detail: "want an operator's key", Step: "http.guard"}
	}
}

// Stop carries out a planned stop.
func (n *Entry) Stop(ctx context.Context) error { return n.stop(ctx, n.entry.Drain) }

// Kill ends the entry at once.
func (n *Entry) Kill() { n.kill() }
