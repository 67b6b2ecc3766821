package ledger

import (
	"testing"
	"time"

	"persimmonrock.example/structs"
)

// Guards against a panic of the agent when it counts the slots it owes. It
// comes about when a customer without a contract here calls again after a
// pause. If the admission looks up the account before it calls refresh, refresh
// deletes this account, and the customer is in uses without one.
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
