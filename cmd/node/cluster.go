package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/backend"
	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

// Sizes of the sample deployment.
const (
	sampleEntries   = 2
	sampleInstances = 3
	sampleSlots     = 8
	loopback        = "127.0.0.1:0"
	// sampleAnnounce, the announcement interval, lets the sample serve soon
	// after its start.
	sampleAnnounce = 100 * time.Millisecond
)

// Sample is a whole deployment in one process, with sample services and
// in-memory stand-ins for the platform.
type Sample struct {
	Entries     []*Entry
	Agents      []*Agent
	OperatorKey string
	Submissions *sample.Submissions

	secret   string
	table    *memory.Table
	objects  *memory.Objects
	log      zerolog.Logger
	servers  []*http.Server
	backends []*backend.Server
	cancel   context.CancelFunc
}

// StartSample starts entries, agents and backend servers on loopback.
func StartSample(log zerolog.Logger) (*Sample, error) {
	s := &Sample{
		OperatorKey: keys.Generate(), Submissions: sample.NewSubmissions(),
		secret: rand.Text(), table: memory.NewTable(), objects: memory.NewObjects(), log: log,
	}
	for i := range sampleEntries {
		if err := s.startEntry(i); err != nil {
			return nil, errors.Join(err, s.Stop(context.Background()))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i := range sampleInstances {
		if err := s.startInstance(ctx, i); err != nil {
			return nil, errors.Join(err, s.Stop(context.Background()))
		}
	}
	return s, nil
}

func (s *Sample) startEntry(i int) error {
	c := settings.DefaultEntry()
	c.ID = structs.EntryID(fmt.Sprintf("entry-%d", i+1))
	c.DataCentre = "dc-1"
	c.HTTP.Listen, c.RPC.Listen = loopback, loopback
	c.Peers.Secret = s.secret
	c.OperatorKeyHashes = []string{keys.Hash(s.OperatorKey)}
	for _, other := range s.Entries {
		c.Entries = append(c.Entries, other.RPCAddress())
	}
	n, err := StartEntry(c, Platform{Table: s.table, Objects: s.objects}, s.log.With().Str("process", string(c.ID)).Logger())
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, n)
	return nil
}

func (s *Sample) startInstance(ctx context.Context, i int) error {
	c := settings.DefaultAgent()
	c.Instance = structs.InstanceID(fmt.Sprintf("instance-%d", i+1))
	c.DataCentre = "dc-1"
	c.HTTP.Listen, c.RPC.Listen = loopback, loopback
	c.Peers.Secret = s.secret
	c.Total = settings.Total{Slots: sampleSlots, MilliCores: 16000, MemoryBytes: 60 << 30, Connections: 60}
	for _, e := range s.Entries {
		c.Entries = append(c.Entries, e.RPCAddress())
	}
	log := s.log.With().Str("process", string(c.Instance)).Logger()
	worker := memory.NewWorker(memory.WorkerOptions{
		Instance: c.Instance, Kinds: map[structs.Kind]memory.Program{sample.GradeReport: sample.Report}, Log: log,
	})
	n, err := StartAgent(c, Platform{Table: s.table, Objects: s.objects, Worker: worker, AnnounceEvery: sampleAnnounce}, log)
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, n)
	services := []struct {
		name       structs.Service
		idempotent bool
		handler    http.Handler
	}{
		{sample.AssayCheck, true, http.HandlerFunc(sample.Assay)},
		{sample.ReceiptCheck, true, http.HandlerFunc(sample.Receipt)},
		{sample.SubmitClaim, false, s.Submissions},
	}
	for _, service := range services {
		b, err := StartBackend(ctx, "http://"+n.HTTPAddress(), service.name, service.idempotent, sampleSlots, service.handler)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, b.HTTP)
		s.backends = append(s.backends, b.Guard)
	}
	return nil
}

// Serving reports whether every instance admits calls to all of its backend
// servers.
func (s *Sample) Serving() bool {
	for _, a := range s.Agents {
		if a.Serving() < len(s.backends)/len(s.Agents) {
			return false
		}
	}
	return true
}

// Backend is a running sample backend server.
type Backend struct {
	// Address is the server's base URL.
	Address string
	HTTP    *http.Server
	Guard   *backend.Server
}

// StartBackend serves handler on loopback and announces it to the agent whose
// announce API is at the given base URL.
func StartBackend(ctx context.Context, agent string, service structs.Service, idempotent bool, slots int, handler http.Handler) (*Backend, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a backend server")
	}
	guard := backend.New(backend.Config{
		Agent: agent, Name: string(service), Service: service, Address: "http://" + l.Addr().String(),
		Idempotent: idempotent, Slots: slots,
	}, handler)
	server := &http.Server{Handler: guard, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	go func() { _ = guard.Run(ctx) }()
	return &Backend{Address: "http://" + l.Addr().String(), HTTP: server, Guard: guard}, nil
}

// Stop carries out a planned stop of the deployment. Agents stop first and hand
// over their batch tasks while the entries still serve.
func (s *Sample) Stop(ctx context.Context) error {
	var errs []error
	for _, a := range s.Agents {
		errs = append(errs, a.Stop(ctx))
	}
	for _, e := range s.Entries {
		errs = append(errs, e.Stop(ctx))
	}
	if s.cancel != nil {
		s.cancel()
	}
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}
