package logs

import (
	"slices"
	"strings"
	"testing"
)

func TestEachObject(t *testing.T) {
	const text = "  7.1 edge {\"a\":1}\nnot structured\n\n{\"b\":{\"c\":2}}\n{broken\n{\"last\":3}"
	var got []string
	if err := EachObject(strings.NewReader(text), func(o []byte) { got = append(got, string(o)) }); err != nil {
		t.Fatal(err)
	}
	if want := []string{`{"a":1}`, `{"b":{"c":2}}`, "{broken", `{"last":3}`}; !slices.Equal(got, want) {
		t.Errorf("objects %q, want %q", got, want)
	}
	if err := EachObject(strings.NewReader("{"+strings.Repeat("x", longestLine)), func([]byte) {}); err == nil {
		t.Error("a line that is too long gave no error")
	}
}
