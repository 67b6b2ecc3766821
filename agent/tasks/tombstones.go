package tasks

import "persimmonrock.example/structs"

// maxTombstones bounds the recorded claims; at 450 starts a second over 1,000
// agents, about one task ends at an agent every two seconds.
const maxTombstones = 65536

// tombstones records claims that must not start: those that ran and those that
// were refused.
type tombstones struct {
	claims map[Key]*structs.Refusal
	order  []Key
}

func newTombstones() tombstones { return tombstones{claims: make(map[Key]*structs.Refusal)} }

func (t *tombstones) recordEnd(k Key) { t.refuse(k, nil) }

// refuse records why k was refused; nil says that it ran.
func (t *tombstones) refuse(k Key, why *structs.Refusal) {
	if _, ok := t.claims[k]; !ok {
		if len(t.order) >= maxTombstones {
			delete(t.claims, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, k)
	}
	t.claims[k] = why
}

func (t *tombstones) hasEnded(k Key) bool {
	why, ok := t.claims[k]
	return ok && why == nil
}

func (t *tombstones) refusal(k Key) *structs.Refusal { return t.claims[k] }
