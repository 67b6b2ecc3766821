package ledger

import (
	"testing"
	"time"

	"persimmonrock.example/structs"
)

// A customer's first calls reach an agent that has not received its contract
// yet, with a pause between them; then the agent panics when it counts the
// slots it owes. Cause: after the pause the second admission's refresh deleted
// the account that the same admission had just looked up, so the customer was
// in uses without an account.
func TestAccountOfUnknownCustomerSurvivesRefresh(t *testing.T) {
	l := New(Config{Instance: "i1", Total: structs.Resources{Slots: 8}})
	now := time.Now()
	admit := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admitCall("newcomer", structs.Revision(1), now)
	}
	admit()
	now = now.Add(time.Minute)
	admit()
	if l.Owed(); l.accounts["newcomer"] == nil {
		t.Error("the customer has a use and no account")
	}
}
