package urgent

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// maxAttempts bounds the agents that one call is sent to.
const maxAttempts = 4

// lateAnswerTimeout bounds the wait for an attempt's answer after its call has
// ended. The directory counts the attempt during this wait, since the attempt
// occupies a slot.
const lateAnswerTimeout = 10 * time.Second

// unresponsiveTimeout bounds an idempotent call's wait for an unresponsive agent
// when no other slot or retry is available. Then the call is refused with
// Retry-After, still within the time in which urgent work has to start.
const unresponsiveTimeout = 5 * time.Second

// attempts is the state of one call and of its attempts. One goroutine owns it;
// exchanges and liveness checks send their results on the channels.
type attempts struct {
	request    Request
	idempotent bool
	deadline   time.Time
	// hedgeDelay is the service's 95th percentile (latencies.p95), 0 if unknown.
	hedgeDelay time.Duration
	tried      []structs.InstanceID
	count      int
	// mayHaveRun is set by the first attempt that may have started. See the
	// package comment.
	mayHaveRun   bool
	lastRefusal  *structs.Refusal
	inFlight     []*exchange
	results      chan result
	checkResults chan checkResult
}

// exchange is one attempt in flight.
type exchange struct {
	agent  directory.Agent
	sent   time.Time
	cancel context.CancelFunc
	// checking is set during a liveness check; unresponsive is its last result.
	checking, unresponsive bool
	// hedge marks a second attempt made because the first was slow.
	hedge bool
	// abandoned is set when the call has ended without this attempt's answer.
	abandoned atomic.Bool
}

type result struct {
	exchange *exchange
	reply    wire.CallReply
	err      error
}

type checkResult struct {
	exchange *exchange
	alive    bool
}

func newAttempts(r Request, idempotent bool, deadline time.Time) *attempts {
	return &attempts{
		request: r, idempotent: idempotent, deadline: deadline,
		results: make(chan result, maxAttempts), checkResults: make(chan checkResult, maxAttempts),
	}
}

// attempt sends the call to one agent after another, as far as that is safe,
// and returns the first complete answer. While an agent is slow or unresponsive,
// an idempotent call may be sent to another in parallel.
func (s *Server) attempt(ctx context.Context, a *attempts) (Answer, *structs.Refusal) {
	if refused := s.start(ctx, a); refused != nil {
		return Answer{}, s.final(a, refused)
	}
	watch := time.NewTicker(checkAfter)
	defer watch.Stop()
	var slow <-chan time.Time
	if t := s.hedgeTicker(a); t != nil {
		defer t.Stop()
		slow = t.C
	}
	done := ctx.Done()
	for {
		select {
		case r := <-a.results:
			answer, refused := s.handleResult(ctx, a, r)
			if refused == nil {
				s.acceptWinner(a, r.exchange)
				return answer, nil
			}
			if refused = s.retryOrWait(ctx, a, refused); refused != nil {
				return Answer{}, s.final(a, refused)
			}
		case c := <-a.checkResults:
			c.exchange.checking, c.exchange.unresponsive = false, !c.alive
			if refused := s.replaceUnresponsive(ctx, a); refused != nil {
				s.dropOthers(a)
				return Answer{}, s.final(a, refused)
			}
		case <-slow:
			s.hedge(ctx, a)
		case <-watch.C:
			s.checkPending(a)
		case <-done:
			// Each exchange ends now and reports whether its request was sent.
			done = nil
			a.cancelAll()
		}
	}
}

func (s *Server) handleResult(ctx context.Context, a *attempts, r result) (Answer, *structs.Refusal) {
	a.remove(r.exchange)
	if r.err != nil {
		return Answer{}, s.exchangeFailed(ctx, a, r.exchange, r.err)
	}
	return s.evaluate(a, r.exchange.agent, r.reply)
}

// retryOrWait starts another attempt after a refused one, if possible. It returns
// nil while any attempt is in flight, and the refusal otherwise.
func (s *Server) retryOrWait(ctx context.Context, a *attempts, refused *structs.Refusal) *structs.Refusal {
	a.lastRefusal = refused
	noRetry := ctx.Err() != nil || (a.mayHaveRun && !a.idempotent) || permanent(refused) || a.count >= maxAttempts
	if !noRetry && !a.hasResponsive() {
		refused = s.start(ctx, a)
	}
	if len(a.inFlight) > 0 {
		return nil
	}
	return refused
}

// replaceUnresponsive starts another attempt when the agents of all attempts in
// flight are unresponsive. If no attempt can be started, it returns a refusal
// after unresponsiveTimeout. Only an idempotent call is sent again: an
// unresponsive agent may have run it. Other calls wait for their own deadline,
// since the agent may yet resume and answer.
func (s *Server) replaceUnresponsive(ctx context.Context, a *attempts) *structs.Refusal {
	if !a.idempotent || a.hasResponsive() || len(a.inFlight) == 0 || ctx.Err() != nil {
		return nil
	}
	if a.count < maxAttempts && s.start(ctx, a) == nil {
		return nil
	}
	last := a.inFlight[len(a.inFlight)-1]
	if time.Since(last.sent) < unresponsiveTimeout {
		return nil
	}
	a.mayHaveRun = true
	return &structs.Refusal{Type: structs.RefusedAnswerLost, Status: 502, Outcome: structs.Unknown,
		Detail: "the agent has gone silent, and no other attempt was possible", Step: "call.wait", Peer: string(last.agent.Instance)}
}

// checkPending checks agents that have not answered within checkAfter and sent
// no other message in this time.
func (s *Server) checkPending(a *attempts) {
	for _, x := range a.inFlight {
		if x.checking || time.Since(x.sent) < checkAfter || s.liveness.recentContact(x.agent, checkAfter) {
			continue
		}
		x.checking = true
		c := s.liveness.check(x.agent)
		go func() {
			<-c.done
			a.checkResults <- checkResult{x, c.alive}
		}()
	}
}

// hasResponsive reports whether an attempt is in flight at an agent that is not
// known to be unresponsive.
func (a *attempts) hasResponsive() bool {
	for _, x := range a.inFlight {
		if !x.unresponsive {
			return true
		}
	}
	return false
}

// budgetExhausted returns the refusal of a call that has no retry left: that of
// its last attempt, or else RefusedRetryBudget.
func (a *attempts) budgetExhausted() *structs.Refusal {
	if a.lastRefusal != nil {
		return a.lastRefusal
	}
	return &structs.Refusal{Type: structs.RefusedRetryBudget, Status: 503, Detail: "no retry is left", Step: "call.retry"}
}

func (a *attempts) remove(x *exchange) {
	for i, y := range a.inFlight {
		if x == y {
			a.inFlight = append(a.inFlight[:i], a.inFlight[i+1:]...)
			return
		}
	}
}

func (a *attempts) cancelAll() {
	for _, x := range a.inFlight {
		x.cancel()
	}
}

// acceptWinner counts a hedge that answered first, and drops the other attempts.
func (s *Server) acceptWinner(a *attempts, x *exchange) {
	if x.hedge {
		s.Counters.HedgesWon.Add(1)
	}
	s.dropOthers(a)
}

// dropOthers cancels the remaining exchanges at their agents. Their answers are
// dropped and counted.
func (s *Server) dropOthers(a *attempts) {
	for _, x := range a.inFlight {
		x.abandoned.Store(true)
		time.AfterFunc(lateAnswerTimeout, x.cancel)
		s.cancel(a.request.ID, x.agent)
		s.liveness.checkAfterLoss(x.agent, time.Since(x.sent))
	}
}

// start chooses an agent and sends one attempt to it, or returns a refusal. Each
// attempt after the first spends a retry of the customer's budget.
func (s *Server) start(ctx context.Context, a *attempts) *structs.Refusal {
	return s.startIf(ctx, a, func(decide.Candidate) bool {
		return a.count == 0 || s.budget.Retry(a.request.Contract.Customer)
	})
}

// startIf is start with one more condition: allowed must accept the candidate.
func (s *Server) startIf(ctx context.Context, a *attempts, allowed func(decide.Candidate) bool) *structs.Refusal {
	candidates, _ := s.dir.Service(a.request.Service)
	if len(candidates) == 0 {
		return noAgents(a.request.Service)
	}
	choices := toCandidates(candidates, a.request.Service)
	index, hold := s.model.ChooseUrgent(s.query(a), choices)
	if index < 0 {
		return holdRefusal(hold)
	}
	if !allowed(choices[index]) {
		return a.budgetExhausted()
	}
	s.send(ctx, a, candidates[index])
	return nil
}

// send makes one attempt, whose result arrives on a.results. The exchange has
// its own context, which is cancelled at once when ctx ends. If the call ends
// earlier, the context is cancelled lateAnswerTimeout after that.
func (s *Server) send(ctx context.Context, a *attempts, agent directory.Agent) {
	a.count++
	a.tried = append(a.tried, agent.Instance)
	s.Counters.Attempts.Add(1)
	if a.count > 1 {
		s.Counters.Retries.Add(1)
	}
	s.events.Record(structs.Event{Step: StepSent, Request: a.request.ID, Peer: string(agent.Instance), Epoch: structs.Epoch(a.count)})
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	x := &exchange{agent: agent, sent: time.Now(), cancel: cancel}
	a.inFlight = append(a.inFlight, x)
	r := wire.CallRequest{
		Request: a.request.ID, Attempt: a.count, Customer: a.request.Contract.Customer, Service: a.request.Service,
		Headers: a.request.Headers, Body: a.request.Body, Budget: time.Until(a.deadline), Revision: a.request.Revision,
	}
	end := s.dir.Begin(agent.Instance)
	go func() {
		defer cancel()
		reply, err := s.peers.Agent(agent.Address).Call(own, r)
		end()
		if err == nil {
			s.dir.Update(reply.Load)
		}
		if err == nil && reply.Refused == nil {
			s.latencies.add(r.Service, time.Since(x.sent))
		}
		if x.abandoned.Load() && err == nil {
			s.Counters.Dropped.Add(1)
		}
		a.results <- result{x, reply, err}
	}()
}
