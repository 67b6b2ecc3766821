package entry

import (
	"context"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// rpcServer is the entry's service for agents and other entries.
type rpcServer struct{ *Entry }

// RPC returns the entry's net/rpc service.
func (e *Entry) RPC() wire.EntryAPI { return rpcServer{e} }

// Hello implements wire.EntryAPI.
func (s rpcServer) Hello(r wire.HelloRequest, reply *wire.HelloReply) error {
	whole, ok := s.directory.Restore(r)
	if !ok {
		return nil
	}
	reply.Kept = true
	reply.Next = s.directory.Hello(whole)
	s.learnt.Hello(time.Since(s.started), &whole)
	reply.Entries = s.directory.EntriesIfChanged(r.Entries)
	reply.Config, reply.Change = s.newerConfig(r.Revision, r.Want)
	return nil
}

// newerConfig returns the configuration in force, in the requested form, if it
// is newer than r. If r is newer, r is recorded and a confirmation starts.
func (e *Entry) newerConfig(r structs.Revision, want wire.ConfigWant) (*structs.Config, *structs.ConfigChange) {
	if e.contracts.RecordRevision(r) {
		e.contracts.ConfirmSoon()
		return nil, nil
	}
	config := e.contracts.Config()
	if config.Revision <= r {
		return nil, nil
	}
	if want != wire.WantWhole {
		change := e.contracts.Since(r)
		if change != nil || want == wire.WantOnlyChange {
			return nil, change
		}
	}
	return &config, nil
}

// Report implements wire.EntryAPI.
func (s rpcServer) Report(r wire.ReportRequest, reply *wire.ReportReply) error {
	return s.batch.ServeReport(r, reply)
}

// Submit implements wire.EntryAPI.
func (s rpcServer) Submit(r wire.SubmitRequest, reply *wire.SubmitReply) error {
	return s.batch.ServeSubmit(r, reply)
}

// CancelJobs implements wire.EntryAPI.
func (s rpcServer) CancelJobs(r wire.CancelJobsRequest, reply *wire.CancelJobsReply) error {
	return s.batch.ServeCancel(r, reply)
}

// Config implements wire.EntryAPI.
func (s rpcServer) Config(r wire.ConfigRequest, reply *wire.ConfigReply) error {
	reply.Config, reply.Change = s.newerConfig(r.Revision, r.Want)
	reply.Revision = s.contracts.Config().Revision
	return nil
}

// Events implements wire.EntryAPI.
func (s rpcServer) Events(r wire.EventsRequest, reply *wire.EventsReply) error {
	reply.Events = s.deps.Events.Select(r.Request, r.Job, r.After)
	return nil
}

// announceTimeout bounds the notification of other entries of a change.
const announceTimeout = time.Second

// announce notifies the other entries without delaying the operator's request.
func (e *Entry) announce(r structs.Revision) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		e.directory.Announce(ctx, r)
	}()
}
