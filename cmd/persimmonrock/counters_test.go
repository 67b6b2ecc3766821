package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"persimmonrock.example/cmd/node"
)

// An operator looks a counter up in docs/OPERATIONS.md, so the page must name
// every counter that an entry or agent shows.
func TestEveryCounterIsInOperations(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := node.StartSample(zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop(t.Context())
	defer http.DefaultClient.CloseIdleConnections()
	for _, address := range []string{s.Entries[0].HTTPAddress(), s.Agents[0].HTTPAddress()} {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/debug/vars", nil)
		r.Header.Set("Authorization", "Bearer "+s.OperatorKey)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		var vars map[string]any
		err = json.NewDecoder(answer.Body).Decode(&vars)
		answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		delete(vars, "memstats")
		delete(vars, "cmdline")
		for _, name := range counterNames("", vars) {
			if word := name[strings.LastIndexByte(name, '.')+1:]; !strings.Contains(string(page), word) {
				t.Errorf("%s is not explained", name)
			}
		}
	}
}

// counterNames lists the dotted names below v. The load that agents report to
// entries and the rows of the shards count as one name each.
func counterNames(prefix string, v any) []string {
	inner, ok := v.(map[string]any)
	if !ok || strings.HasSuffix(prefix, ".load") || strings.HasSuffix(prefix, ".shards") {
		return []string{prefix}
	}
	var out []string
	for key, value := range inner {
		name := key
		if prefix != "" {
			name = prefix + "." + key
		}
		out = append(out, counterNames(name, value)...)
	}
	return out
}
