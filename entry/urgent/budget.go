package urgent

import (
	"sync"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
)

// budgetShards is the number of locks over which customers' budgets are spread.
const budgetShards = 16

// Budgets bounds retries per customer by decide.RetryBudget.
type Budgets struct {
	started time.Time
	shards  [budgetShards]budgetShard
}

type budgetShard struct {
	mu     sync.Mutex
	budget decide.RetryBudget
}

// NewBudgets returns full budgets for every customer.
func NewBudgets() *Budgets { return &Budgets{started: time.Now()} }

func (b *Budgets) shard(c structs.Customer) *budgetShard {
	return &b.shards[int(structs.ShardOf(c))%budgetShards]
}

// Call records a call of c, which adds a fraction of a retry to c's budget.
func (b *Budgets) Call(c structs.Customer) {
	s := b.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Call(time.Since(b.started), c)
}

// Retry spends one retry of c and reports whether one was available.
func (b *Budgets) Retry(c structs.Customer) bool {
	s := b.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry(time.Since(b.started), c)
}

// Hedge spends one retry of c on a second attempt parallel to the first, if
// decide.RetryBudget allows it.
func (b *Budgets) Hedge(c structs.Customer, idempotent bool, waited, p95, remaining time.Duration) bool {
	s := b.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Hedge(time.Since(b.started), c, idempotent, waited, p95, remaining)
}
