package ledger

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
)

// refreshInterval bounds the age of the expected needs of customers that
// request nothing.
const refreshInterval = 100 * time.Millisecond

// account is the ledger's record of one customer.
type account struct {
	contract structs.Contract
	right    int
	demand   decide.Demand
	// denied counts slots that were refused to the customer within right, its
	// quota of slots here; deniedCalls counts those refused to calls.
	denied, deniedCalls int
	// useIndex is the index of the customer in Ledger.uses, or -1 while the
	// customer holds nothing and is expected to need nothing.
	useIndex int
}

// SetConfig replaces the contracts. It ignores a revision that is not higher
// than the current one and returns false.
func (l *Ledger) SetConfig(c structs.Config) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Revision <= l.revision {
		return false
	}
	l.revision = c.Revision
	for name := range l.accounts {
		if _, ok := c.Contracts[name]; !ok {
			l.contract(name, structs.Contract{Customer: name})
		}
	}
	for name, contract := range c.Contracts {
		contract.Customer = name
		l.contract(name, contract)
	}
	return true
}

// Revision returns the revision of the ledger's configuration.
func (l *Ledger) Revision() structs.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

func (l *Ledger) contract(name structs.Customer, c structs.Contract) {
	a := l.account(name)
	a.contract = c
	a.right = decide.Quota(c, l.config.Instance, l.config.Total)
	if a.useIndex >= 0 {
		l.uses[a.useIndex].Quota = a.right
	}
}

func (l *Ledger) account(c structs.Customer) *account {
	a := l.accounts[c]
	if a == nil {
		a = &account{contract: structs.Contract{Customer: c}, useIndex: -1}
		l.accounts[c] = a
	}
	return a
}

// borrowOnlyShare is the share of a customer whose contract this agent may not
// have received yet: the customer gets only slots outside all others' quotas.
const borrowOnlyShare = 1e-9

// accountAndContract returns the customer's account and the contract that
// applies.
func (l *Ledger) accountAndContract(c structs.Customer, revision structs.Revision) (*account, structs.Contract) {
	a := l.account(c)
	contract := a.contract
	if contract.Share == 0 && (revision > l.revision || l.revision == 0) {
		contract.Share = borrowOnlyShare
	}
	return a, contract
}

// admitCall decides whether the customer may hold a slot for one more call.
func (l *Ledger) admitCall(c structs.Customer, revision structs.Revision, now time.Time) Reason {
	l.refresh(now)
	a, contract := l.accountAndContract(c, revision)
	u := l.useOf(c, a)
	a.demand.Observe(now.Sub(l.start), u.Urgent+1)
	u.Expected = max(u.Expected, u.Urgent+1)
	free := structs.Resources{Slots: l.freeSlots()}
	ok, hold := decide.AdmitUrgent(l.uses, contract, a.right, free)
	if !ok && u.Urgent+u.Batch < a.right {
		a.denied++
		a.deniedCalls++
	}
	return admissionReason(ok, hold)
}

// admitTask decides whether a batch task of the customer may start.
func (l *Ledger) admitTask(c structs.Customer, need structs.Resources, now time.Time) Reason {
	l.refresh(now)
	a, contract := l.accountAndContract(c, l.revision)
	u := l.useOf(c, a)
	free := l.freeCapacity()
	free.Connections = 0
	ok, hold := decide.AdmitBatch(l.uses, contract, a.right, need, free)
	if !ok && u.Urgent+u.Batch+need.Slots <= a.right {
		a.denied += need.Slots
	}
	return admissionReason(ok, hold)
}

func admissionReason(ok bool, hold decide.Hold) Reason {
	switch {
	case ok:
		return Admitted
	case hold.Refusal == structs.RefusedForbidden:
		return NoContract
	case hold.Refusal == structs.RefusedShare:
		return Share
	}
	return Full
}

func (l *Ledger) useOf(c structs.Customer, a *account) *decide.SlotUse {
	if a.useIndex < 0 {
		a.useIndex = len(l.uses)
		l.uses = append(l.uses, decide.SlotUse{Customer: c, Quota: a.right})
	}
	return &l.uses[a.useIndex]
}

// addUse adds slots to the customer's use; amounts may be negative.
func (l *Ledger) addUse(c structs.Customer, urgent, batch int) {
	u := l.useOf(c, l.account(c))
	u.Urgent += urgent
	u.Batch += batch
	if u.Urgent < 0 || u.Batch < 0 {
		l.invariantBroken("customer's account below zero")
	}
}

// refresh updates the expected needs, which fade with time. It removes
// customers that hold and need nothing, so that admissions don't examine them.
// It may delete accounts, so admissions call it before they look up an account.
func (l *Ledger) refresh(now time.Time) {
	if now.Sub(l.refreshed) < refreshInterval {
		return
	}
	l.refreshed = now
	kept := l.uses[:0]
	for _, u := range l.uses {
		a := l.accounts[u.Customer]
		u.Expected = a.demand.Expected(now.Sub(l.start))
		u.Recent = a.demand.Recent(now.Sub(l.start))
		if u.Urgent+u.Batch == 0 && u.Expected == 0 {
			a.useIndex = -1
			if a.contract.Share == 0 {
				delete(l.accounts, u.Customer)
			}
			continue
		}
		a.useIndex = len(kept)
		kept = append(kept, u)
	}
	l.uses = kept
}
