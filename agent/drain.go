package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"persimmonrock.example/structs"
)

// drainPollInterval is the time between a planned stop's checks for calls in
// progress.
const drainPollInterval = 5 * time.Millisecond

// forceFraction is the fraction of the time left for handing over tasks after
// which those that can't be checkpointed are stopped without a new checkpoint.
const forceFraction = 0.6

// Drain carries out a planned stop: it refuses new work at once, notifies every
// entry and waits up to Config.Notice for acknowledgements, waits for calls in
// progress, checkpoints and hands over batch tasks, and releases the lease. When
// it has returned, the process may close its sockets. ctx bounds all of it.
//
// Guards against a call that is cut off. It comes about when an entry that has
// not been notified of the stop sends a call to a socket that has just been
// closed. Therefore the sockets are closed only after every entry that answers
// in time has acknowledged; earlier calls are refused or finished.
func (a *Agent) Drain(ctx context.Context) error {
	select {
	case <-a.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	a.beginDrain()
	notice, cancel := context.WithTimeout(ctx, a.config.Notice)
	defer cancel()
	if missing := a.entries.notify(notice); len(missing) > 0 {
		a.deps.Log.Warn().Strs("entries", missing).Msg("entries did not acknowledge the planned stop")
	}
	callsErr := a.awaitCalls(ctx)
	handOverErr := a.handOverTasks(ctx)
	if callsErr != nil || handOverErr != nil {
		return eris.Wrapf(firstError(callsErr, handOverErr), "planned stop of %s", a.config.Instance)
	}
	a.stopLease()
	select {
	case <-a.leaseDone:
	case <-ctx.Done():
	}
	if err := a.release(ctx); err != nil {
		return err
	}
	a.deps.Events.Record(structs.Event{Step: StepDrained})
	return nil
}

// release retries for up to Config.Notice. A released row lets the owner of the
// queue proceed before the lease ends, but a stop doesn't wait longer for a
// store that is down.
func (a *Agent) release(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, a.config.Notice)
	defer cancel()
	for {
		err := a.lease.Release(limited)
		if err == nil {
			return nil
		}
		select {
		case <-limited.Done():
			return err
		case <-time.After(releasePause):
		}
	}
}

const releasePause = 50 * time.Millisecond

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) beginDrain() {
	if a.ledger.Draining() {
		return
	}
	a.ledger.Drain(true)
	a.deps.Events.Record(structs.Event{Step: StepDraining})
	a.deps.Log.Info().Msg("draining")
	a.entries.wakeAll()
}

func (a *Agent) awaitCalls(ctx context.Context) error {
	for a.ledger.Exchanging() > 0 || a.counters.serving.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// handOverTasks evicts all tasks. After forceFraction of the time left in ctx it
// waits for no more checkpoints, so that an object store that is down doesn't
// use all of the time.
func (a *Agent) handOverTasks(ctx context.Context) error {
	force := ctx
	if deadline, ok := ctx.Deadline(); ok {
		part := time.Duration(forceFraction * float64(time.Until(deadline)))
		var cancel context.CancelFunc
		force, cancel = context.WithTimeout(ctx, part)
		defer cancel()
	}
	return a.tasks.EvictAll(ctx, force)
}

// setPlannedStop begins an operator's planned stop of the instance, or cancels
// it. The process stays up and admits no work until the stop is cancelled.
func (a *Agent) setPlannedStop(cancelled bool) {
	a.plannedMu.Lock()
	defer a.plannedMu.Unlock()
	if a.runCtx == nil {
		return
	}
	if a.stopEviction != nil {
		a.stopEviction()
		a.stopEviction = nil
	}
	if cancelled {
		a.ledger.Drain(false)
		a.deps.Events.Record(structs.Event{Step: StepResumed})
		a.deps.Log.Info().Msg("planned stop cancelled; admitting work again")
		a.entries.wakeAll()
		return
	}
	a.beginDrain()
	ctx, stop := context.WithCancel(a.runCtx)
	a.stopEviction = stop
	go func() { _ = a.tasks.EvictAll(ctx, ctx) }()
}
