package decide

import (
	"time"

	"persimmonrock.example/structs"
)

// Bounds of every Retry-After.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// RetryAfter returns the time after which a retry may succeed: the time in which
// the given slots serve queueLen queued calls of serviceTime each, plus a random time of
// at most the same length. Callers refused together thus do not retry together.
func RetryAfter(queueLen, slots int, serviceTime time.Duration, random uint64) time.Duration {
	wait := minRetryAfter
	if serviceTime > 0 && queueLen > 0 {
		rounds := float64(queueLen) / float64(max(slots, 1))
		wait = time.Duration(min(rounds*float64(serviceTime), float64(maxRetryAfter)))
	}
	wait = max(minRetryAfter, min(wait, maxRetryAfter/2))
	return wait + time.Duration(unit(mix(random))*float64(wait))
}

// Retry budget: each first attempt adds a twentieth of a token, up to retryBurst, so a
// customer with many calls makes about 1.05 attempts per call in a long outage. A
// slow refill over time lets customers with few calls retry, too.
const (
	retryPerCall = 0.05
	retryBurst   = 20.0
	retryRefill  = 0.1 // per second
	// hedgeReserve is the number of tokens that a hedge at p95 must leave. One call
	// in twenty reaches p95. Hedging all these calls would use all tokens earned,
	// although most of the calls end a moment later. Without a reserve, a call that
	// waits much longer, or whose attempt failed, finds no token.
	hedgeReserve = 15.0
	maxBudgets   = 4096
)

type budget struct {
	tokens  float64
	updated time.Duration
}

// RetryBudgetCounters counts calls, and the retries and hedges allowed and refused.
type RetryBudgetCounters struct {
	Calls, Retries, Refused, HedgesRefused uint64
}

// RetryBudget bounds second attempts and hedges per customer, so that retries
// do not multiply load in an outage. The zero value is ready for use.
type RetryBudget struct {
	budgets  map[structs.Customer]*budget
	counters RetryBudgetCounters
}

// Counters returns the counts so far.
func (b *RetryBudget) Counters() RetryBudgetCounters { return b.counters }

// Call records the first attempt of a call of c at time now.
func (b *RetryBudget) Call(now time.Duration, c structs.Customer) {
	b.counters.Calls++
	a := b.budgetFor(now, c)
	a.tokens = min(a.tokens+retryPerCall, retryBurst)
}

// Retry takes one token for a second attempt and reports whether the attempt may
// be made. If it may not, the caller gets its final answer at once.
func (b *RetryBudget) Retry(now time.Duration, c structs.Customer) bool {
	a := b.budgetFor(now, c)
	if a.tokens < 1 {
		b.counters.Refused++
		return false
	}
	a.tokens--
	b.counters.Retries++
	return true
}

// Hedge reports whether a second copy of a call may be sent while the first still
// runs, and takes a token if so. The call must be idempotent and have waited for at
// least p95, the 95th percentile of such calls. The budget must have one token more
// than a reserve, which shrinks with the time that the call has waited.
func (b *RetryBudget) Hedge(now time.Duration, c structs.Customer, idempotent bool, waited, p95, remaining time.Duration) bool {
	if !idempotent || p95 <= 0 || waited < p95 || remaining <= 0 {
		return false
	}
	reserve := hedgeReserve * float64(p95) / float64(waited)
	if b.budgetFor(now, c).tokens < reserve+1 {
		b.counters.HedgesRefused++
		return false
	}
	return b.Retry(now, c)
}

func (b *RetryBudget) budgetFor(now time.Duration, c structs.Customer) *budget {
	if b.budgets == nil {
		b.budgets = make(map[structs.Customer]*budget)
	}
	a := b.budgets[c]
	if a == nil {
		if len(b.budgets) >= maxBudgets {
			b.evictOldest()
		}
		a = &budget{tokens: 1, updated: now}
		b.budgets[c] = a
		return a
	}
	if now > a.updated {
		a.tokens = min(a.tokens+(now-a.updated).Seconds()*retryRefill, retryBurst)
		a.updated = now
	}
	return a
}

func (b *RetryBudget) evictOldest() {
	var oldest structs.Customer
	updated := time.Duration(1 << 62)
	for c, a := range b.budgets {
		if a.updated < updated || a.updated == updated && c < oldest {
			oldest, updated = c, a.updated
		}
	}
	delete(b.budgets, oldest)
}
