package node

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/ops/certs"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

const (
	oldSecret      = "the secret of last year"
	newSecret      = "the secret of this year"
	connectTimeout = 10 * time.Second
)

// connectedAgents starts one entry and the given agents. It returns the agents
// that the entry knows and can call, once their number is want, or after
// connectTimeout.
func connectedAgents(t *testing.T, entry settings.Peers, agents map[structs.InstanceID]settings.Peers, want int) map[structs.InstanceID]bool {
	t.Helper()
	table, objects := memory.NewTable(), memory.NewObjects()
	s := settings.DefaultEntry()
	s.ID, s.DataCentre, s.HTTP.Listen, s.RPC.Listen, s.Peers = "entry-1", "dc-1", loopback, loopback, entry
	s.OperatorKeyHashes = []string{keys.Hash("operator")}
	e, err := StartEntry(s, Platform{Table: table, Objects: objects}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	byAddress := make(map[string]structs.InstanceID)
	for name, peers := range agents {
		s := settings.DefaultAgent()
		s.Instance, s.DataCentre, s.HTTP.Listen, s.RPC.Listen, s.Peers = name, "dc-1", loopback, loopback, peers
		s.Entries, s.Total = []string{e.RPCAddress()}, settings.Total{Slots: 1}
		worker := memory.NewWorker(memory.WorkerOptions{Instance: name, Log: zerolog.Nop()})
		a, err := StartAgent(s, Platform{Table: table, Objects: objects, Worker: worker}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Kill)
		byAddress[a.RPCAddress()] = name
	}
	connected := make(map[structs.InstanceID]bool)
	for end := time.Now().Add(connectTimeout); time.Now().Before(end) && len(connected) < want; time.Sleep(20 * time.Millisecond) {
		for address, name := range byAddress {
			hello, err := e.client.Agent(address).Load(t.Context())
			if err == nil && hello.Instance == name && agentKnown(e, name) {
				connected[name] = true
			}
		}
	}
	return connected
}

func agentKnown(e *Entry, name structs.InstanceID) bool {
	for _, event := range e.ring.Select("", "", 0) {
		if event.Peer == string(name) && event.Step == "agent-known" {
			return true
		}
	}
	return false
}

// Guards against failed calls while the secret is changed in one process after
// the other. At each step, processes with the old and the new secret must
// connect to each other. A process that knows neither secret must never
// connect.
func TestSecretRotationKeepsConnections(t *testing.T) {
	dir := t.TempDir()
	with := func(own, also string) settings.Peers {
		p := settings.Peers{Secret: own}
		if also != "" {
			p.AlsoAcceptFile = filepath.Join(dir, also)
			os.WriteFile(p.AlsoAcceptFile, []byte(also), 0o600)
		}
		return p
	}
	for name, c := range map[string]struct{ entry, agent settings.Peers }{
		"agents accept the new one":  {with(oldSecret, ""), with(oldSecret, newSecret)},
		"entries use the new one":    {with(newSecret, oldSecret), with(oldSecret, newSecret)},
		"agents use the new one":     {with(newSecret, oldSecret), with(newSecret, oldSecret)},
		"entries drop the old one":   {with(newSecret, ""), with(newSecret, oldSecret)},
		"all have the old one alone": {with(oldSecret, ""), with(oldSecret, "")},
	} {
		connected := connectedAgents(t, c.entry, map[structs.InstanceID]settings.Peers{"a": c.agent, "stranger": with("a guess of the secret", "")}, 1)
		if !connected["a"] || connected["stranger"] {
			t.Errorf("%s: connected %v, want a alone", name, connected)
		}
	}
}

// All processes know the secret, but one agent has no certificate and another's
// is signed by a foreign authority. Neither may connect, since messages between
// processes must not cross the network in the clear.
func TestPeersRequireTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	peers := func(a *certs.Authority, name string) settings.Peers {
		files, err := a.Issue(t.TempDir(), name, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return settings.Peers{Secret: oldSecret, TLS: &files}
	}
	connected := connectedAgents(t, peers(ours, "entry"), map[structs.InstanceID]settings.Peers{
		"a": peers(ours, "a"), "plain": {Secret: oldSecret}, "foreign": peers(theirs, "foreign"),
	}, 1)
	if len(connected) != 1 || !connected["a"] {
		t.Errorf("connected %v, want a alone", connected)
	}
}

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// BenchmarkLoad measures requests for an agent's load over one connection, with
// and without TLS.
func BenchmarkLoad(b *testing.B) {
	authority, err := certs.NewAuthority("test", time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	files, err := authority.Issue(b.TempDir(), "a", time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	for name, peers := range map[string]settings.Peers{"plain": {Secret: oldSecret}, "tls": {Secret: oldSecret, TLS: &files}} {
		b.Run(name, func(b *testing.B) {
			s := settings.DefaultAgent()
			s.Instance, s.DataCentre, s.HTTP.Listen, s.RPC.Listen, s.Peers = "a", "dc-1", loopback, loopback, peers
			s.Entries, s.Total = []string{"127.0.0.1:1"}, settings.Total{Slots: 1}
			worker := memory.NewWorker(memory.WorkerOptions{Instance: "a", Log: zerolog.Nop()})
			a, err := StartAgent(s, Platform{Table: memory.NewTable(), Objects: memory.NewObjects(), Worker: worker}, zerolog.Nop())
			if err != nil {
				b.Fatal(err)
			}
			defer a.Kill()
			peer := a.client.Agent(a.RPCAddress())
			for b.Loop() {
				if _, err := peer.Load(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
