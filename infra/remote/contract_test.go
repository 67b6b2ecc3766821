package remote_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/structs"
)

const testTimeout = 10 * time.Second

type services struct {
	table   infra.Table
	objects infra.Objects
	worker  func(memory.WorkerOptions) infra.Worker
}

// forEachImplementation runs the behaviour against the in-memory services,
// against wrappers that inject no faults, and over HTTP: callers must not see a
// difference.
func forEachImplementation(t *testing.T, behaviour func(*testing.T, context.Context, services)) {
	newWorker := func(t *testing.T, opts memory.WorkerOptions) *memory.Worker {
		w := memory.NewWorker(opts)
		t.Cleanup(w.Close)
		return w
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	t.Run("memory", func(t *testing.T) {
		behaviour(t, ctx, services{
			table:   memory.NewTable(),
			objects: memory.NewObjects(),
			worker:  func(o memory.WorkerOptions) infra.Worker { return newWorker(t, o) },
		})
	})
	t.Run("fault", func(t *testing.T) {
		noFaults := fault.NewControl(1)
		behaviour(t, ctx, services{
			table:   fault.NewTable(memory.NewTable(), noFaults),
			objects: fault.NewObjects(memory.NewObjects(), noFaults),
			worker: func(o memory.WorkerOptions) infra.Worker {
				return fault.NewWorker(newWorker(t, o), noFaults)
			},
		})
	})
	t.Run("remote", func(t *testing.T) {
		server := httptest.NewServer(remote.Handler(memory.NewTable(), memory.NewObjects()))
		t.Cleanup(server.Close)
		behaviour(t, ctx, services{
			table:   remote.NewTable(server.URL, server.Client()),
			objects: remote.NewObjects(server.URL+"/", nil),
			worker: func(o memory.WorkerOptions) infra.Worker {
				server := httptest.NewServer(remote.WorkerHandler(newWorker(t, o)))
				t.Cleanup(server.Close)
				return remote.NewWorker(server.URL, server.Client())
			},
		})
	})
}

func mustCommit(t *testing.T, tab infra.Table, txn infra.Txn) []uint64 {
	t.Helper()
	versions, err := tab.Commit(t.Context(), txn)
	if err != nil {
		t.Fatalf("commit %s: %v", txn.Op, err)
	}
	return versions
}

func put(key, value string) infra.Put { return infra.Put{Key: key, Value: []byte(value)} }

func wantError(t *testing.T, got, want error, label string) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: got error %v, want %v", label, got, want)
	}
}

func TestTableContract(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		_, err := s.table.Get(ctx, "a")
		wantError(t, err, infra.ErrNotFound, "absent row")

		v := mustCommit(t, s.table, infra.Txn{
			Op:    "op1",
			Conds: []infra.Cond{{Key: "job/a"}},
			Puts:  []infra.Put{put("job/b", "B"), put("job/a", "A"), {Key: "job/c", Value: []byte{}}, put("x", "X")},
		})
		got, err := s.table.Get(ctx, "job/a")
		if diff := cmp.Diff(infra.Row{Key: "job/a", Value: []byte("A"), Version: v[1], Op: "op1"}, got); diff != "" || err != nil {
			t.Errorf("row after its put (%v): %s", err, diff)
		}

		// All or nothing: the second condition fails, so that neither row changes.
		_, err = s.table.Commit(ctx, infra.Txn{
			Op:      "op2",
			Conds:   []infra.Cond{{Key: "job/a", Version: v[1]}, {Key: "job/b", Version: v[0] + 100}},
			Puts:    []infra.Put{put("job/a", "A2")},
			Deletes: []string{"job/b"},
		})
		var conflict *infra.ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("broken condition: got %v", err)
		}
		if diff := cmp.Diff(infra.Row{Key: "job/b", Value: []byte("B"), Version: v[0], Op: "op1"}, conflict.Current); diff != "" {
			t.Errorf("row in the conflict: %s", diff)
		}
		checkKeys(t, ctx, s.table, "job/", "", 10, "job/a", "job/b", "job/c")
		checkKeys(t, ctx, s.table, "job/", "job/a", 1, "job/b")
		checkKeys(t, ctx, s.table, "job/", "job/c", 10)
		checkKeys(t, ctx, s.table, "", "job/b", 10, "job/c", "x")

		// A row that is written anew has a version that it never had before.
		mustCommit(t, s.table, infra.Txn{Op: "op3", Conds: []infra.Cond{{Key: "job/a", Version: v[1]}}, Deletes: []string{"job/a"}})
		again := mustCommit(t, s.table, infra.Txn{Op: "op4", Conds: []infra.Cond{{Key: "job/a"}}, Puts: []infra.Put{put("job/a", "A4")}})
		if again[0] <= v[1] {
			t.Errorf("version %d after %d", again[0], v[1])
		}
		for name, txn := range invalidTransactions() {
			_, err := s.table.Commit(ctx, txn)
			wantError(t, err, infra.ErrInvalid, name)
		}
		_, err = s.table.Scan(ctx, "", "", 0)
		wantError(t, err, infra.ErrInvalid, "scan without limit")
		mustCommit(t, s.table, infra.Txn{Op: "op5", Puts: []infra.Put{put("call/\ufffd", "another request")}})
		_, err = s.table.Get(ctx, "call/\xff")
		wantError(t, err, infra.ErrInvalid, "get of a key that JSON would change")
		_, err = s.table.Scan(ctx, "call/\xff", "", 1)
		wantError(t, err, infra.ErrInvalid, "scan of a prefix that JSON would change")
	})
}

func invalidTransactions() map[string]infra.Txn {
	var wide infra.Txn
	for i := range infra.MaxTxnRows + 1 {
		wide.Puts = append(wide.Puts, put(fmt.Sprint(i), ""))
	}
	return map[string]infra.Txn{
		"too many rows":   wide,
		"two conditions":  {Conds: []infra.Cond{{Key: "a"}, {Key: "a"}}},
		"key not UTF-8":   {Puts: []infra.Put{put("call/a\xff", "")}},
		"op not UTF-8":    {Op: "\xff"},
		"put and deleted": {Puts: []infra.Put{put("a", "")}, Deletes: []string{"a"}},
	}
}

func checkKeys(t *testing.T, ctx context.Context, tab infra.Table, prefix, after string, limit int, want ...string) {
	t.Helper()
	found, err := tab.Scan(ctx, prefix, after, limit)
	if err != nil {
		t.Fatal(err)
	}
	keys := []string{}
	for _, r := range found {
		keys = append(keys, r.Key)
	}
	if diff := cmp.Diff(append([]string{}, want...), keys); diff != "" {
		t.Errorf("scan %q after %q: %s", prefix, after, diff)
	}
}

func TestObjectsContract(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		const key = "result/a b/../1?x=%2F"
		_, err := s.objects.Get(ctx, key)
		wantError(t, err, infra.ErrNotFound, "absent object")
		for range 2 {
			wantError(t, s.objects.Put(ctx, key, []byte{0, 255}), nil, "put and its repeat")
		}
		wantError(t, s.objects.Put(ctx, key, []byte("other")), infra.ErrInvalid, "another body")
		wantError(t, s.objects.Put(ctx, "empty", nil), nil, "empty body")
		body, err := s.objects.Get(ctx, key)
		if diff := cmp.Diff([]byte{0, 255}, body); diff != "" || err != nil {
			t.Errorf("body (%v): %s", err, diff)
		}
		if body, err := s.objects.Get(ctx, "empty"); err != nil || len(body) != 0 {
			t.Errorf("empty object: %q, %v", body, err)
		}
		long := bytes.Repeat([]byte("long and alike"), 1000)
		wantError(t, s.objects.Put(ctx, "long", long), nil, "long body")
		if body, err := s.objects.Get(ctx, "long"); err != nil || !bytes.Equal(body, long) {
			t.Errorf("long object: %d bytes, %v", len(body), err)
		}
		wantError(t, s.objects.Delete(ctx, key), nil, "delete")
		wantError(t, s.objects.Delete(ctx, key), nil, "repeated delete")
		_, err = s.objects.Get(ctx, key)
		wantError(t, err, infra.ErrNotFound, "deleted object")
	})
}

// countTo counts up to the number in its payload and saves after each step.
func countTo(ctx context.Context, t memory.Task) ([]byte, error) {
	var from, to int
	if _, err := fmt.Sscan(string(t.Payload), &to); err != nil {
		return nil, err
	}
	if t.Checkpoint != nil {
		if _, err := fmt.Sscan(string(t.Checkpoint), &from); err != nil {
			return nil, err
		}
	}
	for i := from; i < to; i++ {
		if err := t.Step(ctx, time.Millisecond); err != nil {
			return nil, err
		}
		t.Save([]byte(fmt.Sprint(i+1)), float64(i+1)/float64(to))
	}
	return []byte(fmt.Sprintf("from %d to %d", from, to)), nil
}

func task(id structs.JobID, e structs.Epoch, payload string) infra.TaskStart {
	return infra.TaskStart{Job: id, Epoch: e, Kind: "count", Payload: []byte(payload), Holder: 3, Lease: time.Minute}
}

// await polls List until the job at the epoch is in the phase.
func await(t *testing.T, ctx context.Context, w infra.Worker, id structs.JobID, e structs.Epoch, phase infra.TaskPhase) infra.TaskStatus {
	t.Helper()
	for ctx.Err() == nil {
		list, err := w.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range list {
			if s.Job == id && s.Epoch == e && s.Phase == phase {
				return s
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("job %s epoch %d never became %s", id, e, phase)
	return infra.TaskStatus{}
}

func TestWorkerContract(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		registry := memory.NewRunRegistry(zerolog.Nop())
		w := s.worker(memory.WorkerOptions{
			Kinds:       map[structs.Kind]memory.Program{"count": countTo},
			StopDelay:   20 * time.Millisecond,
			UsageWindow: 5 * time.Millisecond,
			UsageLag:    time.Millisecond,
			Registry:    registry,
		})
		wantError(t, w.Fence(ctx, 3), nil, "fence")
		wantError(t, w.Fence(ctx, 2), infra.ErrFenced, "lower fence")
		old := task("old", 1, "1")
		old.Holder = 2
		wantError(t, w.Start(ctx, old), infra.ErrFenced, "start by a fenced holder")
		wantError(t, w.Renew(ctx, 2, time.Minute), infra.ErrFenced, "renewal by a fenced holder")

		for range 2 {
			wantError(t, w.Start(ctx, task("a", 1, "1000000")), nil, "start and its repeat")
		}
		wantError(t, w.Start(ctx, task("a", 2, "5")), infra.ErrUnavailable, "start while an older epoch runs")
		wantError(t, w.Forget(ctx, "a", 1), infra.ErrInvalid, "forget of a running task")
		wantError(t, w.Stop(ctx, "a", 1), nil, "stop")
		if running := registry.Running(); len(running) != 0 {
			t.Errorf("still running after stop: %v", running)
		}
		await(t, ctx, w, "a", 1, infra.TaskStopped)

		state, err := w.Checkpoint(ctx, "a", 1)
		wantError(t, err, nil, "checkpoint")
		resumed := task("a", 2, "1000000")
		resumed.Checkpoint = state
		resumed.Payload = append(append([]byte{}, state...), '0')
		if len(state) == 0 {
			resumed.Payload = []byte("3")
		}
		wantError(t, w.Start(ctx, resumed), nil, "resumed start")
		done := await(t, ctx, w, "a", 2, infra.TaskDone)
		want := fmt.Sprintf("from %s to %s", orZero(state), resumed.Payload)
		if string(done.Result) != want || done.Progress != 1 {
			t.Errorf("result %q at %v, want %q at 1", done.Result, done.Progress, want)
		}
		wantError(t, w.Forget(ctx, "a", 2), nil, "forget")
		wantError(t, w.Forget(ctx, "a", 2), nil, "repeated forget")
		_, err = w.Checkpoint(ctx, "a", 2)
		wantError(t, err, infra.ErrNotFound, "checkpoint of a forgotten task")

		wantError(t, w.Start(ctx, task("bad", 1, "no number")), nil, "start of a failing task")
		if s := await(t, ctx, w, "bad", 1, infra.TaskFailed); s.Error == "" {
			t.Error("a failed task has no error text")
		}
		strange := task("strange", 1, "")
		strange.Kind = "strange"
		wantError(t, w.Start(ctx, strange), nil, "start of an unknown kind")
		await(t, ctx, w, "strange", 1, infra.TaskFailed)

		wantError(t, w.Start(ctx, task("b", 1, "1000000")), nil, "start")
		wantError(t, w.Throttle(ctx, "b", 1, 0), nil, "throttle")
		wantError(t, w.Throttle(ctx, "none", 1, 0), infra.ErrNotFound, "throttle of an unknown task")
		wantError(t, w.Stop(ctx, "none", 1), nil, "stop of an unknown task")
		if _, err := w.Usage(ctx); err != nil {
			t.Error(err)
		}
		wantError(t, w.Fence(ctx, 4), nil, "fence that stops")
		if running := registry.Running(); len(running) != 0 || registry.Violations() != 0 {
			t.Errorf("after the fence: running %v, broken %d", running, registry.Violations())
		}
	})
}

func orZero(state []byte) string {
	if state == nil {
		return "0"
	}
	return string(state)
}
