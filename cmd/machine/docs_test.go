package machine

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"persimmonrock.example/agent/runner"
	"persimmonrock.example/entry/intake"
	"persimmonrock.example/entry/scheduler"
)

// operations is the path of the page that names the counters, from this folder.
const operations = "../../docs/OPERATIONS.md"

// keys returns the names of the JSON fields of v, with the prefix.
func keys(t *testing.T, prefix string, v any) []string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	var names []string
	for name := range fields {
		names = append(names, prefix+"."+name)
	}
	return names
}

// documented returns the counters that the page's tables name under the
// prefixes. Only the first name in a row is written with its prefix.
func documented(t *testing.T, prefixes ...string) []string {
	t.Helper()
	page, err := os.ReadFile(operations)
	if err != nil {
		t.Fatal(err)
	}
	quoted := regexp.MustCompile("`([A-Za-z_.]+)`")
	var names []string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		found := quoted.FindAllStringSubmatch(cells[1], -1)
		if len(found) == 0 {
			continue
		}
		prefix, _, ok := strings.Cut(found[0][1], ".")
		if !ok || !slices.Contains(prefixes, prefix) {
			continue
		}
		for _, f := range found {
			names = append(names, prefix+"."+strings.TrimPrefix(f[1], prefix+"."))
		}
	}
	return names
}

func follower() *intake.Follower {
	clock := intake.NewStoreClock(func() time.Duration { return 0 })
	return intake.NewFollower(nil, intake.ConfigSource{}, zerolog.Nop(), clock)
}

// Guards against a page that lacks a counter or names a removed one. The table
// of docs/OPERATIONS.md must name each counter that an entry or an agent shows,
// and no other.
func TestPageNamesEachCounter(t *testing.T) {
	var shown []string
	shown = append(shown, keys(t, "intake", (&intake.Counters{}).Figures())...)
	shown = append(shown, keys(t, "queue_config", follower().Figures())...)
	shown = append(shown, keys(t, "scheduler", (&scheduler.Counters{}).Figures())...)
	shown = append(shown, keys(t, "agent", runner.Counters{})...)
	named := documented(t, "intake", "queue_config", "scheduler", "agent")
	slices.Sort(shown)
	slices.Sort(named)
	if diff := cmp.Diff(shown, named); diff != "" {
		t.Errorf("counters shown (-) and named in %s (+):\n%s", operations, diff)
	}
}
