// Package oddvalue makes values for tests that a faulty writer may leave in place of
// a JSON row or message: undecodable ones, and decodable ones with impossible numbers,
// missing fields or other types.
package oddvalue

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
)

// Value is a named odd value.
type Value struct {
	Name string
	Text []byte
}

// nested returns an array of the given depth.
func nested(depth int) []byte {
	return []byte(strings.Repeat("[", depth) + strings.Repeat("]", depth))
}

// Whole returns values that replace a whole row or message.
func Whole() []Value {
	return []Value{
		{"no bytes", nil},
		{"not JSON", []byte{0xff, 0xfe, 0, '{'}},
		{"null", []byte("null")},
		{"a number", []byte("17")},
		{"an empty object", []byte("{}")},
		{"an empty list", []byte("[]")},
		{"deep nesting", nested(20000)},
		{"nesting that decodes", nested(9000)},
		{"a number beyond any type", []byte("1e400")},
		{"cut short", []byte(`{"a":`)},
	}
}

// leaves replace a part of a value.
var leaves = []json.RawMessage{
	json.RawMessage("null"), json.RawMessage("-1"), json.RawMessage("0"), json.RawMessage("0.5"), json.RawMessage("99999"),
	json.RawMessage("1e300"), json.RawMessage("1e400"), json.RawMessage("9223372036854775807"), json.RawMessage("-9223372036854775808"),
	json.RawMessage("18446744073709551615"), json.RawMessage("18446744073709551616"), json.RawMessage(`""`), json.RawMessage(`"\n"`),
	json.RawMessage(`"127.0.0.1:99999"`), json.RawMessage("true"), json.RawMessage("[]"), json.RawMessage("{}"),
	json.RawMessage(`"` + strings.Repeat("x", 5000) + `"`), json.RawMessage(nested(9000)),
}

// Mutate returns a copy of a JSON value in which one part is replaced, removed or
// repeated. A value that isn't JSON is returned as it is.
func Mutate(rng *rand.Rand, value []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var root any
	if d.Decode(&root) != nil {
		return value
	}
	text, err := json.Marshal(mutate(rng, root))
	if err != nil {
		// Some leaves are not valid by themselves.
		return value
	}
	return text
}

func mutate(rng *rand.Rand, v any) any {
	const stopHere = 4
	switch x := v.(type) {
	case map[string]any:
		if len(x) == 0 || rng.IntN(stopHere) == 0 {
			break
		}
		keys := make([]string, 0, len(x))
		for k := range x {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		k := keys[rng.IntN(len(keys))]
		if rng.IntN(stopHere) == 0 {
			delete(x, k)
		} else {
			x[k] = mutate(rng, x[k])
		}
		return x
	case []any:
		if len(x) == 0 || rng.IntN(stopHere) == 0 {
			break
		}
		i := rng.IntN(len(x))
		switch rng.IntN(stopHere) {
		case 0:
			return slices.Delete(x, i, i+1)
		case 1:
			return append(x, x[i])
		default:
			x[i] = mutate(rng, x[i])
		}
		return x
	}
	return leaves[rng.IntN(len(leaves))]
}
