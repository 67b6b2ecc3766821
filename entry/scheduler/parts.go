package scheduler

import (
	"hash/maphash"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
)

// A row of the store has a limit, and so must a job's progress. It is one row while
// it takes up no more than half of a row. Beyond that, the row keeps the job's state
// and the numbers of its live occurrences, and the tasks are spread over parts, rows
// of partsTable, by their place in the job: a change of a task changes one part.
//
// Every part fits whatever happens to its tasks. One task takes up at most
//
//	  95 bytes  numbers: its index, run, failures, crashes, worker, working time
//	1030 bytes  a checkpoint of maxCheckpointBytes
//	  80 bytes  its share of an occurrence and a step
//	 420 bytes  the names of its agent and its worker, of 200 bytes each
//
// and tasksPerPart leaves taskBytes for each, which covers names and checkpoints of
// the usual length; a part that longer ones fill beyond a row is halved until it
// fits. The row of the job itself holds at most 200 bytes and liveBytes for each of
// maxLive occurrences, half of a row.
//
// All rows of one change of a job are in one transaction, unless they exceed one. The
// order in which they are stored then keeps each prefix harmless:
//   - The job's row is first: occurrences that it does not name are ignored in parts,
//     and those that have no part have nothing on record. Parts follow in the order
//     of steps, so the record of a placed task never precedes that of the earlier
//     tasks for which it has waited.
//   - A new division into parts is stored before the row that refers to it. Parts of
//     another division are ignored.
//   - Placements are sent, and ends acknowledged, after the last of these transactions.
const (
	// taskBytes is the room of a task in a part, in bytes.
	taskBytes = 400
	// partHeadBytes is the room of a part for the rest, in bytes: up to 200 steps.
	partHeadBytes = 1 << 10
	// liveBytes bounds the number of a live occurrence in the job's row, in bytes.
	liveBytes = 8
	// maxCheckpointBytes bounds a checkpoint as JSON, in bytes.
	maxCheckpointBytes = 1 << 10
)

// partKey names a part among the rows of a job: its number in the division into
// parts of span tasks.
type partKey struct{ span, number int }

func (k partKey) row(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: partsTable, Part: schedulerPart, Key: string(id) + "." + strconv.Itoa(k.span) + "." + strconv.Itoa(k.number)}
}

// splitPartKey returns the job and the part that a row's key names.
func splitPartKey(key string) (workload.JobID, partKey, bool) {
	fields := strings.Split(key, ".")
	if len(fields) != 3 {
		return "", partKey{}, false
	}
	span, err1 := strconv.Atoi(fields[1])
	number, err2 := strconv.Atoi(fields[2])
	return workload.JobID(fields[0]), partKey{span, number}, err1 == nil && err2 == nil
}

// tasksPerPart is the number of tasks in a part of rowBytes bytes.
func tasksPerPart(rowBytes int) int {
	return max(1, (rowBytes-partHeadBytes)/taskBytes)
}

// maxLive bounds the occurrences of a job that have begun and are not complete: they
// have at most as many tasks as the largest job, and their numbers fit into half of
// the job's row.
func maxLive(spec *workload.Job, rowBytes int) int {
	return max(1, min(workload.MaxTasks/max(1, spec.Tasks()), rowBytes/(2*liveBytes)))
}

var hashSeed = maphash.MakeSeed()

// rowHash is a hash of a row's value; never 0, which stands for an unknown value.
func rowHash(value []byte) uint64 { return max(1, maphash.Bytes(hashSeed, value)) }

// rowChange lists the writes of a job's rows in the order in which they are stored.
type rowChange struct {
	puts    []rowstore.Put
	deletes []rowstore.Key
}

func (c *rowChange) size() int {
	n := 0
	for _, p := range c.puts {
		n += len(p.Value)
	}
	return n
}

// changedRows returns the writes that bring the stored rows of the job up to date.
// The caller stores all of them.
func (j *job) changedRows(rowBytes int) rowChange {
	before := j.span
	if j.state.Final() && !j.hasPlaced() {
		j.span = 0
	}
	if j.span == 0 {
		value := encode(j.row())
		if len(value) <= rowBytes/2 {
			j.head = rowHash(value)
			return rowChange{puts: []rowstore.Put{{Key: ProgressKey(j.spec.ID), Value: value}}, deletes: j.dropParts(nil)}
		}
		j.span = tasksPerPart(rowBytes)
	}
	parts := j.encodeParts(rowBytes)
	var c rowChange
	for _, k := range slices.SortedFunc(maps.Keys(parts), func(a, b partKey) int { return a.number - b.number }) {
		if hash := rowHash(parts[k]); j.parts[k] != hash {
			j.parts[k] = hash
			c.puts = append(c.puts, rowstore.Put{Key: k.row(j.spec.ID), Value: parts[k]})
		}
	}
	head := encode(j.headRow())
	if hash := rowHash(head); j.head != hash {
		j.head = hash
		put := rowstore.Put{Key: ProgressKey(j.spec.ID), Value: head}
		if j.span != before {
			c.puts = append(c.puts, put)
		} else {
			c.puts = append([]rowstore.Put{put}, c.puts...)
		}
	}
	c.deletes = j.dropParts(parts)
	return c
}

// dropParts forgets the stored parts except for those in kept, and returns their keys.
func (j *job) dropParts(kept map[partKey][]byte) []rowstore.Key {
	var keys []rowstore.Key
	for k := range j.parts {
		if kept[k] == nil {
			keys = append(keys, k.row(j.spec.ID))
			delete(j.parts, k)
		}
	}
	return keys
}

// onRecord reports whether the rows of the job have anything of an occurrence.
func (j *job) onRecord(o *occurrence) bool { return !j.state.Final() || o.hasPlaced() }

// headRow is the job's row while its tasks are in parts.
func (j *job) headRow() progressRow {
	r := progressRow{State: j.state, Seen: j.seenStored.Milliseconds(), Retire: j.retire, Next: j.next, NoRunSince: j.noRunSince, Span: j.span}
	for _, o := range j.occurrences {
		if !j.onRecord(o) {
			continue
		}
		for len(r.Live) <= o.slot {
			r.Live = append(r.Live, 0)
		}
		r.Live[o.slot] = o.number + 1
	}
	return r
}

// assignSlots gives each occurrence the lowest place among the live ones that is free.
func (j *job) assignSlots() {
	taken := map[int]bool{}
	for _, o := range j.occurrences {
		taken[o.slot] = true
	}
	next := 0
	for _, o := range j.occurrences {
		if o.slot >= 0 {
			continue
		}
		for taken[next] {
			next++
		}
		o.slot = next
		taken[next] = true
	}
}

// partOf returns the part of a task, and the number of tasks from it on that are in
// the same part. place counts the tasks of the occurrence before it.
func (j *job) partOf(o *occurrence, place int) (number, rest int) {
	tasks := j.spec.Tasks()
	if tasks <= j.span {
		return o.slot / (j.span / tasks), tasks - place
	}
	width := (tasks + j.span - 1) / j.span
	return o.slot*width + place/j.span, j.span - place%j.span
}

// part is a part that is being filled.
type part struct {
	row  progressRow
	refs map[workerRef]int
}

// step returns the row of a step.
func (p *part) step(number, si int) *stepRow {
	n := len(p.row.Occurrences)
	if n == 0 || p.row.Occurrences[n-1].Number != number {
		p.row.Occurrences = append(p.row.Occurrences, occurrenceRow{Number: number})
		n++
	}
	o := &p.row.Occurrences[n-1]
	for len(o.Steps) <= si {
		o.Steps = append(o.Steps, stepRow{})
	}
	return &o.Steps[si]
}

// encodeParts encodes the parts that have something on record. It halves the parts
// until each fits into a row.
func (j *job) encodeParts(rowBytes int) map[partKey][]byte {
	j.assignSlots()
	for {
		values, fit := map[partKey][]byte{}, true
		for number, p := range j.fillParts() {
			value := encode(p.row)
			values[partKey{j.span, number}] = value
			fit = fit && len(value) <= rowBytes
		}
		if fit || j.span == 1 {
			return values
		}
		j.span /= 2
	}
}

func (j *job) fillParts() map[int]*part {
	parts := map[int]*part{}
	for _, o := range j.occurrences {
		if !j.onRecord(o) {
			continue
		}
		place := 0
		for si, s := range o.steps {
			for from := 0; from < len(s.tasks); {
				number, rest := j.partOf(o, place)
				to := min(len(s.tasks), from+rest)
				p := parts[number]
				if p == nil {
					p = &part{refs: map[workerRef]int{}}
				}
				if sr := j.stepRow(s, from, to, p.refs, &p.row); !sr.empty() {
					*p.step(o.number, si) = sr
					parts[number] = p
				}
				place += to - from
				from = to
			}
		}
	}
	return parts
}

// restoreParts restores the tasks of a job whose row refers to parts. Parts that the
// row does not refer to are overwritten or deleted later.
func (j *job) restoreParts(head progressRow, rows []rowstore.Row, now time.Time) error {
	j.span = head.Span
	for slot, n := range head.Live {
		if n > 0 {
			o := j.newOccurrence(n - 1)
			o.slot = slot
			j.occurrences = append(j.occurrences, o)
		}
	}
	slices.SortFunc(j.occurrences, func(a, b *occurrence) int { return a.number - b.number })
	for _, row := range rows {
		_, k, _ := splitPartKey(row.Key.Key)
		if k.span != j.span {
			continue
		}
		var p progressRow
		if err := decode(row, &p); err != nil {
			return err
		}
		if err := p.check(&j.spec); err != nil {
			return eris.Wrapf(err, "row %s/%s", row.Key.Table, row.Key.Key)
		}
		j.begun = j.begun || p.begun()
		for _, or := range p.Occurrences {
			j.restoreOccurrence(or, p.Workers, now)
		}
		j.parts[k] = rowHash(row.Value)
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.completeGang()
		}
	}
	j.dropComplete()
	return nil
}

// restoreOccurrence restores a part of a live occurrence.
func (j *job) restoreOccurrence(r occurrenceRow, workers []workerRef, now time.Time) {
	n := slices.IndexFunc(j.occurrences, func(o *occurrence) bool { return o.number == r.Number })
	if n < 0 {
		return
	}
	steps := j.occurrences[n].steps
	for i, sr := range r.Steps {
		if i < len(steps) {
			steps[i].restore(sr, workers, j.spec.Accepted, now)
		}
	}
}

// completeGang marks all members of a gang as done if one is: the store may have the
// end of some members only.
func (s *step) completeGang() {
	if !s.spec.Gang || s.done == 0 || s.complete() {
		return
	}
	for i := range s.tasks {
		s.tasks[i] = task{state: taskDone, run: s.tasks[i].run, storedRun: s.tasks[i].storedRun}
	}
	s.done, s.waiting = len(s.tasks), 0
}

// groupParts groups rows of partsTable by job.
func groupParts(rows []rowstore.Row) map[workload.JobID][]rowstore.Row {
	grouped := map[workload.JobID][]rowstore.Row{}
	for _, row := range rows {
		if id, _, ok := splitPartKey(row.Key.Key); ok {
			grouped[id] = append(grouped[id], row)
		}
	}
	return grouped
}

// keepCheckpoint returns the checkpoint that a task keeps after it has reported one.
// One too long for the store is not kept: the task's next run begins from an earlier
// one, or anew.
func (t *Term) keepCheckpoint(run workload.RunID, kept, reported string) string {
	if reported == "" {
		return kept
	}
	if !checkpointFits(reported) {
		t.fleetLog.Add(logs.Kind{Level: zerolog.WarnLevel, Message: "checkpoints not kept: they are too long"}, run.String()+" of "+strconv.Itoa(len(reported))+" bytes", 1)
		return kept
	}
	return reported
}

// maxEscape is the longest form of a byte of a text in JSON, in bytes.
const maxEscape = 6

// checkpointFits reports whether a checkpoint is kept.
func checkpointFits(checkpoint string) bool {
	return len(checkpoint)*maxEscape <= maxCheckpointBytes ||
		len(checkpoint) <= maxCheckpointBytes && len(encode(checkpoint)) <= maxCheckpointBytes+len(`""`)
}
