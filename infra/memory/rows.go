package memory

import (
	"slices"
	"sort"
	"strings"

	"persimmonrock.example/infra"
)

// maxChunk bounds the number of rows that one insertion moves.
const maxChunk = 512

// rows is a set of rows in key order, kept as a list of short sorted chunks.
// No chunk is empty. The caller does the locking.
type rows struct {
	chunks [][]*infra.Row
	count  int
}

// locate returns the index of the chunk for key and the place of key in it.
func (r *rows) locate(key string) (chunk, place int, found bool) {
	chunk = sort.Search(len(r.chunks), func(i int) bool { return r.chunks[i][0].Key > key }) - 1
	if chunk < 0 {
		return 0, 0, false
	}
	place, found = slices.BinarySearchFunc(r.chunks[chunk], key, compareKey)
	return chunk, place, found
}

func compareKey(r *infra.Row, key string) int { return strings.Compare(r.Key, key) }

func (r *rows) get(key string) *infra.Row {
	chunk, place, found := r.locate(key)
	if !found {
		return nil
	}
	return r.chunks[chunk][place]
}

func (r *rows) put(row *infra.Row) {
	chunk, place, found := r.locate(row.Key)
	if found {
		r.chunks[chunk][place] = row
		return
	}
	r.count++
	if len(r.chunks) == 0 {
		r.chunks = append(r.chunks, []*infra.Row{row})
		return
	}
	c := slices.Insert(r.chunks[chunk], place, row)
	r.chunks[chunk] = c
	if len(c) <= maxChunk {
		return
	}
	upper := slices.Clone(c[maxChunk/2:])
	clear(c[maxChunk/2:])
	r.chunks[chunk] = c[:maxChunk/2]
	r.chunks = slices.Insert(r.chunks, chunk+1, upper)
}

func (r *rows) remove(key string) {
	chunk, place, found := r.locate(key)
	if !found {
		return
	}
	r.count--
	c := slices.Delete(r.chunks[chunk], place, place+1)
	if len(c) == 0 {
		r.chunks = slices.Delete(r.chunks, chunk, chunk+1)
		return
	}
	r.chunks[chunk] = c
}

// scan calls visit for each row whose key starts with prefix and is above
// after, in key order, until visit returns false.
func (r *rows) scan(prefix, after string, visit func(*infra.Row) bool) {
	chunk, place, found := r.locate(max(prefix, after))
	if found && after >= prefix {
		place++
	}
	for ; chunk < len(r.chunks); chunk, place = chunk+1, 0 {
		for _, row := range r.chunks[chunk][place:] {
			if !strings.HasPrefix(row.Key, prefix) || !visit(row) {
				return
			}
		}
	}
}
