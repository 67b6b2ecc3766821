package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"persimmonrock.example/ops/events"
	"persimmonrock.example/structs"
)

var timelineCommand = spec{
	summary: "print the events of all processes as one ordered story",
	example: `
persimmonrock timeline -job j-7f3a
persimmonrock timeline -request r-19c2
persimmonrock timeline -since 5m
persimmonrock timeline -since 81500

The order is that of the logical clock: what follows from a message stands after its
sending, whatever the machines' clocks say. Each process keeps only its newest events.`,
	define: defineTimeline,
}

func defineTimeline(flags *flag.FlagSet) action {
	job := flags.String("job", "", "only events of this `job`")
	request := flags.String("request", "", "only events of this `request`")
	since := flags.String("since", "", "only events after a logical `time` (81500), or of the last while (5m)")
	return func(ctx context.Context, s *session, _ []string) error {
		if *job == "" && *request == "" && *since == "" {
			return usageError("want -job, -request or -since")
		}
		after, last, err := parseSince(*since)
		if err != nil {
			return err
		}
		line, err := s.client.Events(ctx, structs.RequestID(*request), structs.JobID(*job), after)
		if err != nil {
			return err
		}
		line.Events = newest(line.Events, last)
		if len(line.Missing) > 0 {
			fmt.Fprintf(s.stderr, "without the events of %s, which did not answer\n", strings.Join(line.Missing, ", "))
		}
		if s.json {
			return s.printJSON(line)
		}
		return events.WriteText(s.stdout, line.Events)
	}
}

func parseSince(text string) (after uint64, last time.Duration, err error) {
	if text == "" {
		return 0, 0, nil
	}
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n, 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, 0, usageError("-since: want a logical time such as 81500 or a duration such as 5m, got %q", text)
	}
	return 0, d, nil
}

// newest returns the events older than the newest one by at most last, or all
// events if last is 0. The result is only as exact as the wall clocks.
func newest(list []structs.Event, last time.Duration) []structs.Event {
	if last == 0 || len(list) == 0 {
		return list
	}
	end := slices.MaxFunc(list, func(a, b structs.Event) int { return a.Wall.Compare(b.Wall) }).Wall
	return slices.DeleteFunc(list, func(e structs.Event) bool { return end.Sub(e.Wall) > last })
}
