package machine

import (
	"cmp"
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/connlimit"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs/workload"
)

const (
	// clientMemoryShare is the part of the process's memory that clients'
	// connections and requests may hold. The garbage collector may need as much
	// again; the rest is the scheduler's state.
	clientMemoryShare = 0.25
	// clientDescriptorShare is the part of the process's descriptors that clients
	// may use. The scheduler needs one for each agent and two for each entry.
	clientDescriptorShare = 0.5
	// defaultDescriptors is the number of descriptors of a machine whose settings
	// don't say.
	defaultDescriptors = 4096
)

// defaultLimits hold for what the operator's configuration leaves out, and until
// it is known.
var defaultLimits = settings.DefaultLimits()

// newClients returns the pool of the clients' connections.
func (p *program) newClients(limits func() workload.Limits) *connlimit.Pool {
	return connlimit.New(p.clientShare(), func() connlimit.ClientLimits { return clientLimits(limits()) })
}

// clientShare returns what all clients may use together.
func (p *program) clientShare() connlimit.Limits {
	descriptors := float64(cmp.Or(p.settings.Descriptors, defaultDescriptors))
	return connlimit.Limits{
		Connections: max(1, int(clientDescriptorShare*descriptors)), Memory: int64(clientMemoryShare * float64(p.settings.MemoryBytes)),
	}
}

// clientLimits returns the limits on one client under a configuration.
func clientLimits(l workload.Limits) connlimit.ClientLimits {
	return connlimit.ClientLimits{
		HeaderBytes: cmp.Or(l.HeaderBytes, defaultLimits.HeaderBytes), Header: cmp.Or(l.Header, defaultLimits.ReadHeader.Std()),
		Idle: cmp.Or(l.Idle, defaultLimits.Idle.Std()), Body: defaultLimits.ReadBody.Std(), Send: defaultLimits.Write.Std(),
	}
}

// serveClients serves h to clients until the returned server is shut down.
func (p *program) serveClients(ctx context.Context, pool *connlimit.Pool, h http.Handler) (*http.Server, error) {
	config := net.ListenConfig{Control: connlimit.SetBuffers}
	l, err := config.Listen(ctx, "tcp", p.settings.ClientListen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s for clients", p.settings.ClientListen)
	}
	s := &http.Server{Handler: h}
	pool.Configure(s)
	p.serve(s, pool.Listen(l))
	go pool.Run(context.WithoutCancel(ctx), p.log)
	return s, nil
}
