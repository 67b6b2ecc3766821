package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/structs/scheduling"
)

func TestSchedulingPoliciesAreOffByDefault(t *testing.T) {
	got, err := LoadScheduling("")
	if err != nil || got != (scheduling.Policies{}) {
		t.Errorf("policies %+v, error %v", got, err)
	}
	var read scheduling.Policies
	if err := Parse("scheduling.hujson", []byte("{}"), &read, CheckScheduling); err != nil || read != got {
		t.Errorf("empty file: policies %+v, error %v", read, err)
	}
}

// Guards against a policy that an operator believes to be in force: a key that
// is misspelt, or a policy without the one on which it depends.
func TestFaultySchedulingPoliciesAreRefused(t *testing.T) {
	cases := map[string]string{
		`{"forecast": {"enabled": true}, "admision": {}}`: "admision",
		`{"admission": {"enabled": true}}`:                "want forecast.enabled too",
		`{"aging": {"enabled": 1}}`:                       "aging.enabled",
		`{"diagnosis": {"enable": true}}`:                 "enable",
		`{"layout": {"enabled": "yes"}}`:                  "layout.enabled",
		`{"recovery": {"enable": true}}`:                  "enable",
	}
	for text, want := range cases {
		var p scheduling.Policies
		err := Parse("scheduling.hujson", []byte(text), &p, CheckScheduling)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", text, err, want)
		}
	}
	var p scheduling.Policies
	text := `{
		// The comments of operators are kept.
		"forecast": {"enabled": true},
	}`
	if err := Parse("scheduling.hujson", []byte(text), &p, CheckScheduling); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(scheduling.Policies{Forecast: scheduling.Forecast{Enabled: true}}, p); diff != "" {
		t.Error(diff)
	}
}
