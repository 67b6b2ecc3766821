package memory

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonrock.example/infra"
)

// TestMain fixes the seed of the randomised test; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against scans that skip or repeat rows once a table has grown past one
// chunk. A sorted map is the model; some keys are prefixes of others.
func TestTableMatchesSortedMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, model := NewTable(), make(map[string]string)
		key := rapid.Custom(func(t *rapid.T) string {
			dir := rapid.SampledFrom([]string{"", "a", "a/", "b/"}).Draw(t, "dir")
			return dir + fmt.Sprint(rapid.IntRange(0, 2000).Draw(t, "n"))
		})
		for i := range rapid.IntRange(1, 40).Draw(t, "transactions") {
			txn := infra.Txn{Op: fmt.Sprint(i)}
			keys := rapid.SliceOfNDistinct(key, 0, 200, rapid.ID[string]).Draw(t, "keys")
			removing := rapid.IntRange(0, 2).Draw(t, "removing") == 0
			for _, k := range keys {
				if removing {
					txn.Deletes = append(txn.Deletes, k)
					delete(model, k)
					continue
				}
				txn.Puts = append(txn.Puts, infra.Put{Key: k, Value: []byte(txn.Op)})
				model[k] = txn.Op
			}
			if _, err := tab.Commit(t.Context(), txn); err != nil {
				t.Fatal(err)
			}
		}
		prefix := rapid.SampledFrom([]string{"", "a", "a/", "a/1", "b/", "c"}).Draw(t, "prefix")
		limit := rapid.IntRange(1, 700).Draw(t, "limit")
		got, want := make(map[string]string), make(map[string]string)
		for after := ""; ; {
			page, err := tab.Scan(t.Context(), prefix, after, limit)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range page {
				if r.Key <= after {
					t.Fatalf("scan returned %q after %q", r.Key, after)
				}
				after = r.Key
				got[r.Key] = string(r.Value)
			}
			if len(page) < limit {
				break
			}
		}
		for _, k := range slices.Sorted(maps.Keys(model)) {
			if strings.HasPrefix(k, prefix) {
				want[k] = model[k]
			}
		}
		if diff := cmp.Diff(want, got); diff != "" || tab.Len() != len(model) {
			t.Fatalf("%d rows, want %d: %s", tab.Len(), len(model), diff)
		}
	})
}

// benchmarkRows is the number of running tasks expected in two years.
const benchmarkRows = 30800

func benchmarkTable(b *testing.B) *Table {
	tab := NewTable()
	for i := range benchmarkRows {
		put := infra.Put{Key: fmt.Sprintf("job/%02d/%06d", i%16, i), Value: make([]byte, 400)}
		if _, err := tab.Commit(b.Context(), infra.Txn{Op: "fill", Puts: []infra.Put{put}}); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 1000 {
		put := infra.Put{Key: fmt.Sprintf("agent/%04d", i), Value: make([]byte, 200)}
		if _, err := tab.Commit(b.Context(), infra.Txn{Op: "fill", Puts: []infra.Put{put}}); err != nil {
			b.Fatal(err)
		}
	}
	return tab
}

func BenchmarkTable(b *testing.B) {
	tab := benchmarkTable(b)
	for _, rows := range []int{1, 64, infra.MaxTxnRows} {
		b.Run(fmt.Sprintf("Commit%dRows", rows), func(b *testing.B) {
			txn := infra.Txn{Op: "op"}
			for i := range rows {
				txn.Puts = append(txn.Puts, infra.Put{Key: fmt.Sprintf("job/%02d/%06d", i%16, i*97%benchmarkRows), Value: make([]byte, 400)})
			}
			for b.Loop() {
				if _, err := tab.Commit(b.Context(), txn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("Get", func(b *testing.B) {
		for b.Loop() {
			if _, err := tab.Get(b.Context(), "job/05/020005"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("Scan1000Leases", func(b *testing.B) {
		for b.Loop() {
			if rows, err := tab.Scan(b.Context(), "agent/", "", 1000); err != nil || len(rows) != 1000 {
				b.Fatal(len(rows), err)
			}
		}
	})
}
