package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/structs"
)

var instanceCommands = []spec{
	{
		name: "list", summary: "list all instances and what runs on them",
		example: `persimmonrock instance list`,
		define:  func(*flag.FlagSet) action { return listInstances },
	},
	{
		name: "stop", summary: "begin the planned stop of an instance", arguments: []string{"INSTANCE"},
		example: `
persimmonrock instance stop -wait instance-7

It gets no new work. Urgent calls in progress finish; batch tasks are checkpointed
and go on elsewhere. With -wait the command returns when nothing runs there and the
machine can be taken away. "instance resume" takes it back into use.`,
		define: defineStop,
	},
	{
		name: "resume", summary: "take a stopped instance back into use", arguments: []string{"INSTANCE"},
		example: `persimmonrock instance resume instance-7`,
		define:  func(*flag.FlagSet) action { return resumeInstance },
	},
}

func listInstances(ctx context.Context, s *session, _ []string) error {
	list, err := s.client.Instances(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(list)
	}
	var rows [][]string
	for _, i := range list {
		rows = append(rows, []string{
			string(i.Instance), string(i.Zone), i.Address, stateOf(i),
			fmt.Sprintf("%d/%d", i.Free.Slots, i.Total.Slots),
			fmt.Sprint(i.Urgent), fmt.Sprint(i.Batch), fmt.Sprint(i.Revision),
			i.Age.Std().Round(time.Millisecond).String(),
		})
	}
	printTable(s.stdout, []string{
		"INSTANCE", "DATA CENTRE", "ADDRESS", "STATE", "FREE SLOTS", "URGENT", "BATCH", "REVISION", "AGE",
	}, rows)
	return nil
}

func stateOf(i client.Instance) string {
	switch {
	case i.Suspect:
		return "silent"
	case i.Draining && idle(i):
		return "stopped"
	case i.Draining:
		return "stopping"
	}
	return "in use"
}

func idle(i client.Instance) bool { return i.Urgent == 0 && i.Batch == 0 }

func defineStop(flags *flag.FlagSet) action {
	wait := flags.Bool("wait", false, "return when nothing runs on the instance any more")
	return func(ctx context.Context, s *session, args []string) error {
		id := structs.InstanceID(args[0])
		got, err := s.client.Stop(ctx, id)
		if err != nil {
			return err
		}
		if *wait {
			got, err = s.waitIdle(ctx, id, got)
			if err != nil {
				return err
			}
		}
		return s.showInstance(got)
	}
}

// waitIdle returns when the stopping instance is idle. It repeats the request
// to stop instead of reading the list: the answer then comes from the agent
// itself, and an agent that has replaced the former one is stopped, too.
func (s *session) waitIdle(ctx context.Context, id structs.InstanceID, got client.Instance) (client.Instance, error) {
	err := s.waitFor(ctx, func() (bool, string, error) {
		if idle(got) {
			return true, fmt.Sprintf("%s: nothing runs any more", id), nil
		}
		status := fmt.Sprintf("%s: %d urgent calls and %d batch tasks still run", id, got.Urgent, got.Batch)
		next, err := s.client.Stop(ctx, id)
		if err == nil {
			got = next
		}
		return false, status, err
	})
	return got, err
}

func resumeInstance(ctx context.Context, s *session, args []string) error {
	got, err := s.client.Resume(ctx, structs.InstanceID(args[0]))
	if err != nil {
		return err
	}
	return s.showInstance(got)
}

func (s *session) showInstance(i client.Instance) error {
	if s.json {
		return s.printJSON(i)
	}
	fmt.Fprintf(s.stdout, "%s is %s; %d urgent calls and %d batch tasks run there\n", i.Instance, stateOf(i), i.Urgent, i.Batch)
	return nil
}
