package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// An operator asks several entries, of which one is down and one does not
// schedule. The command must print the drains that the scheduling entry
// reports.
func TestDrainsComeFromSchedulingEntry(t *testing.T) {
	serve := func(text string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
		t.Cleanup(s.Close)
		return s.URL
	}
	idle := serve(`{"scheduler":{"agents":0,"drains":[]}}`)
	cases := []struct {
		name      string
		addresses []string
		status    int
		want      string
	}{
		{"drained", []string{"127.0.0.1:1", idle, serve(`{"scheduler":{"agents":55,"drains":[{"data_centre":"north","workers":14,"lasting":3,"ending":7}]}}`)}, exitOK, "north"},
		{"none", []string{serve(`{"scheduler":{"agents":55,"drains":[]}}`)}, exitOK, "no data centre is drained"},
		{"nobody schedules", []string{idle}, exitError, ""},
		{"not metrics", []string{serve("<html>")}, exitError, ""},
		{"no address", nil, exitUsage, ""},
	}
	for _, c := range cases {
		var out, errs strings.Builder
		status := dispatch(context.Background(), "persimmonrock", commands(), append([]string{"drains"}, c.addresses...), &out, &errs)
		if status != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: status %d, want %d: %s%s", c.name, status, c.status, out.String(), errs.String())
		}
	}
}
