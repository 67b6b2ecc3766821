package decide

import (
	"sort"

	"persimmonrock.example/structs"
)

// Quota returns the number of slots guaranteed to the customer on the instance.
// The fractional part of share*slots is rounded by a hash of customer and
// instance, so that a share below one slot per instance still has whole slots on
// some instances, and the mean over instances is share*slots. If the whole fleet
// is known, QuotaIn makes the sum exact.
func Quota(c structs.Contract, instance structs.InstanceID, total structs.Resources) int {
	if !validShare(c.Share) || total.Slots <= 0 {
		return 0
	}
	exact := c.Share * float64(total.Slots)
	whole := int(exact)
	if unit(hashStrings(string(c.Customer), string(instance))) < exact-float64(whole) {
		whole++
	}
	return min(whole, total.Slots)
}

func validShare(s float64) bool { return s > 0 && s <= 1 }

// InstanceSlots is one instance of a fleet and its slots.
type InstanceSlots struct {
	Instance structs.InstanceID
	Slots    int
}

// QuotaIn returns the customer's quota on each instance of fleet, in the order
// of fleet. It visits the instances in an order that depends on the customer and
// assigns to each the whole slots by which the running sum of share*slots grows.
// The sum of the quotas is therefore share*total, rounded down.
func QuotaIn(c structs.Contract, fleet []InstanceSlots) []int {
	quotas := make([]int, len(fleet))
	if !validShare(c.Share) {
		return quotas
	}
	order := make([]int, len(fleet))
	keys := make([]uint64, len(fleet))
	for i, f := range fleet {
		order[i] = i
		keys[i] = hashStrings(string(c.Customer), string(f.Instance))
	}
	sort.Slice(order, func(a, b int) bool { return keys[order[a]] < keys[order[b]] })
	sum, assigned := 0, 0
	for _, i := range order {
		sum += max(fleet[i].Slots, 0)
		cumulative := int(c.Share*float64(sum) + 1e-9)
		quotas[i] = cumulative - assigned
		assigned = cumulative
	}
	return quotas
}

// SlotUse is the use of slots by one customer on an instance.
//
// One element of a list may have no customer. Its Urgent and Expected are those of
// all urgent calls of the instance. Customers' peaks seldom coincide, so this common
// peak is a far better bound of the slots to keep free than the sum of the peaks.
type SlotUse struct {
	Customer structs.Customer
	// Urgent and Batch are slots in use.
	Urgent, Batch int
	// Quota is the number of slots guaranteed to the customer on this instance.
	Quota int
	// Recent is the mean number of slots that the customer's urgent calls held
	// over the last seconds (see Demand.Recent). It distinguishes a short burst
	// from a flood, which lasts. 0 means unknown; calls beyond the quota then
	// leave free all slots reserved for others.
	Recent float64
	// Expected is the number of slots that the customer's urgent calls are
	// expected to need at once (see Demand.Expected). Other customers may borrow
	// the rest of the quota.
	Expected int
}

func (u *SlotUse) held() int { return u.Urgent + u.Batch }

// reserved returns the number of slots that must stay free for u's urgent calls: the
// smaller of Expected and Quota, minus Urgent. Slots held by u's batch tasks are not
// subtracted, since these tasks must yield to calls (see Relieve).
func (u *SlotUse) reserved() int {
	return max(0, min(u.Expected, u.Quota)-u.Urgent)
}

// reservedForOthers returns the number of slots that must stay free for customers
// other than c, the number of further slots that all urgent calls together are
// expected to need, and c's element of uses, or nil.
func reservedForOthers(uses []SlotUse, c structs.Customer) (reserved, common int, own *SlotUse) {
	common = 1 << 30
	for i := range uses {
		switch u := &uses[i]; u.Customer {
		case c:
			own = u
		case "":
			common = max(0, u.Expected-u.Urgent)
		default:
			reserved += u.reserved()
		}
	}
	return min(reserved, common), common, own
}

// AdmitUrgent decides at the agent whether one more urgent call of c starts.
// quota is the customer's Quota on the instance. While the customer holds fewer
// slots than quota, batch tasks included, a free slot is enough. Beyond quota the
// customer borrows. In a short burst it gets any free slot. Once its calls have
// used most of its share for seconds, it must leave slots free for others (see
// slotsKeptFree).
//
// The agent calls AdmitUrgent for the slots of the instance. policy.Predictive also
// calls it for the slots of the service, with uses and free of the service alone.
func AdmitUrgent(uses []SlotUse, c structs.Contract, quota int, free structs.Resources) (ok bool, hold Hold) {
	if !validShare(c.Share) {
		return false, holdNoContract(c.Customer)
	}
	if free.Slots < 1 {
		return false, Hold{Reason: ReasonAdmissionFull, Refusal: structs.RefusedNoCapacity, RetryAfter: minRetryAfter}
	}
	reserved, _, own := reservedForOthers(uses, c.Customer)
	held := 0
	if own != nil {
		held = own.held()
	}
	if held < quota || free.Slots > slotsKeptFree(uses, c, free.Slots, reserved) {
		return true, Hold{}
	}
	h := holdShare(c.Customer)
	h.RetryAfter = minRetryAfter
	return false, h
}

const (
	// A customer borrows any free slot while its recent mean is at most burstLimit
	// times its share. From floodStart times its share on, it must leave free all
	// slots reserved for others. Quotas on one instance are small numbers: a customer
	// may exceed its quota here and be within its contract over all instances.
	burstLimit = 0.5
	floodStart = 0.9
	// floodReservePart is the part of all slots that a flood of calls must leave
	// free in addition to the reserved ones. Without it the flood starves others'
	// batch tasks: calls take a freed slot before the queue's owner can place a task.
	floodReservePart = 0.5
)

// slotsKeptFree returns the number of slots that must stay free when customer c
// requests one more slot for an urgent call beyond its quota.
func slotsKeptFree(uses []SlotUse, c structs.Contract, free, reserved int) int {
	total, recent := free, 0.0
	for i := range uses {
		u := &uses[i]
		if u.Customer == "" {
			continue
		}
		total += u.held()
		if u.Customer == c.Customer {
			recent = u.Recent
		}
	}
	if recent == 0 {
		return reserved
	}
	quota := c.Share * float64(total)
	beyond := (recent/max(quota, 1) - burstLimit) / (floodStart - burstLimit)
	switch {
	case beyond <= 0:
		return 0
	case beyond < 1:
		return int(beyond * float64(reserved))
	default:
		return reserved + int(floodReservePart*float64(total))
	}
}

// AdmitBatch decides at the agent whether a claimed task of c starts. The task must
// fit and leave free the slots that all urgent calls, those of c included, are
// expected to need. Beyond quota it is also refused if floodsWithCalls holds.
func AdmitBatch(uses []SlotUse, c structs.Contract, quota int, need, free structs.Resources) (ok bool, hold Hold) {
	if !validShare(c.Share) {
		return false, holdNoContract(c.Customer)
	}
	if !fits(need, free) {
		return false, Hold{Reason: ReasonAdmissionFull, Refusal: structs.RefusedNoCapacity, RetryAfter: minRetryAfter}
	}
	reserved, common, own := reservedForOthers(uses, c.Customer)
	held := 0
	if own != nil {
		reserved = min(common, reserved+max(0, own.Expected-own.Urgent))
		held = own.held()
		if held+need.Slots > quota && floodsWithCalls(own, quota) {
			h := holdShare(c.Customer)
			h.RetryAfter = minRetryAfter
			return false, h
		}
	}
	if free.Slots-need.Slots >= reserved {
		return true, Hold{}
	}
	if held+need.Slots > quota {
		h := holdShare(c.Customer)
		h.RetryAfter = minRetryAfter
		return false, h
	}
	return false, Hold{Reason: ReasonReserved, Refusal: structs.RefusedNoCapacity, RetryAfter: minRetryAfter}
}

const (
	// maxCallsPart is the part of a customer's quota up to which the recent mean of
	// its calls may rise while its tasks still borrow slots.
	maxCallsPart = 0.4
	// minFloodQuota replaces a smaller quota: one call at a time is no flood.
	minFloodQuota = 2
)

// floodsWithCalls reports whether a customer's calls use so much of its quota
// that its tasks must not borrow slots in addition.
//
// Guards against: the p99 of other customers' calls rises by a fifth, because they
// find no free slot and retry later. It comes about when one customer sends floods
// of calls and of jobs: its calls stay within its quota while its tasks hold
// borrowed slots. Tasks therefore borrow only while the calls of their customer
// leave most of its quota unused, as is normal.
func floodsWithCalls(u *SlotUse, quota int) bool {
	return u.Recent > maxCallsPart*float64(max(quota, minFloodQuota))
}

// fits reports whether need is within free and has no negative amount.
func fits(need, free structs.Resources) bool {
	return need.Slots <= free.Slots && need.MilliCores <= free.MilliCores &&
		need.MemoryBytes <= free.MemoryBytes && need.Accelerators <= free.Accelerators &&
		need.Connections <= free.Connections && nonNegative(need)
}

func nonNegative(r structs.Resources) bool {
	return r.Slots >= 0 && r.MilliCores >= 0 && r.MemoryBytes >= 0 && r.Accelerators >= 0 && r.Connections >= 0
}
