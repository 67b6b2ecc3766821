package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/infra/rowstore"
)

// What was learnt grows with the images and queues of the deployment, and each of its
// rows has to fit into a row of the store. What has least evidence is left out: it is
// learnt anew soonest.

// encodeMost encodes build(n) for the greatest n up to most whose result has at most
// limit bytes, and returns n. The size of the result must not fall with n.
func encodeMost(limit, most int, build func(n int) any) ([]byte, int) {
	if value := encode(build(most)); len(value) <= limit {
		return value, most
	}
	n := sort.Search(most, func(n int) bool { return len(encode(build(n+1))) > limit })
	return encode(build(n)), n
}

// boundedPut returns the write of a row of what was learnt, see encodeMost.
func (t *Term) boundedPut(key rowstore.Key, most int, build func(n int) any) rowstore.Put {
	value, n := encodeMost(t.cfg.rowBytes(), most, build)
	if n < most && !t.learntCut[key] {
		if t.learntCut == nil {
			t.learntCut = map[rowstore.Key]bool{}
		}
		t.learntCut[key] = true
		t.deps.Log.Warn().Str("row", key.Key).Int("kept", n).Int("of", most).Int("bytes", len(value)).Msg("what has least evidence is not stored: the row would be too long")
	}
	return rowstore.Put{Key: key, Value: value}
}

// most returns the row with at most n pairs, those with most evidence, and the tails of
// at most n images, those of these pairs first.
func (r *learntRow) most(n int) learntRow {
	kept := learntRow{Base: map[string]float64{}, Pairs: r.Pairs[:min(n, len(r.Pairs))]}
	keep := func(image string) {
		if tail, ok := r.Base[image]; ok && len(kept.Base) < n {
			kept.Base[image] = tail
		}
	}
	for _, p := range kept.Pairs {
		keep(p.Serving)
	}
	for _, image := range slices.Sorted(maps.Keys(r.Base)) {
		keep(image)
	}
	return kept
}

// most returns the row with at most n entries of each kind, those with most evidence.
func (r *runtimesRow) most(n int) runtimesRow {
	kept := runtimesRow{Runtimes: r.Runtimes, Errors: r.Errors}
	ratio := func(x *forecast.Ratio) float64 { return x.Weight }
	kept.Runtimes.Queues = heaviest(r.Runtimes.Queues, n, func(x *forecast.Fit) float64 { return x.Weight })
	kept.Runtimes.Images = heaviest(r.Runtimes.Images, n, ratio)
	kept.Runtimes.Paces = heaviest(r.Runtimes.Paces, n, ratio)
	kept.Rooms = heaviest(r.Rooms, n, func(x storedRoom) float64 { return x.Filling + x.Reserved })
	return kept
}

// heaviest returns the n entries of m with the greatest weight.
func heaviest[V any](m map[string]V, n int, weight func(V) float64) map[string]V {
	if len(m) <= n {
		return m
	}
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(m[b]), weight(m[a])), cmp.Compare(a, b))
	})
	kept := map[string]V{}
	for _, name := range names[:n] {
		kept[name] = m[name]
	}
	return kept
}
