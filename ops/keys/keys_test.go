package keys

import (
	"net/http"
	"strings"
	"testing"
)

func TestMatch(t *testing.T) {
	first, second := Generate(), Generate()
	hashes := []string{Hash(first), Hash(second)}
	for key, want := range map[string]bool{
		first: true, second: true, "": false, first + " ": false, hashes[0]: false, first[:len(first)-1]: false, Generate(): false,
	} {
		if Match(hashes, key) != want {
			t.Errorf("key %q: want %v", key, want)
		}
	}
	if Match(nil, first) || Match([]string{Hash("")}, "") || Match([]string{strings.ToUpper(hashes[0])}, first) {
		t.Error("matched without a valid hash")
	}
}

func TestBearer(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer k": "k", "bearer  k ": "k", "Basic k": "", "": "", "k": "", "Bearer": "",
	} {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		if got := Bearer(r); got != want {
			t.Errorf("%q: got %q", header, got)
		}
	}
}
