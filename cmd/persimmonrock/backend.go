package main

import (
	"context"
	"flag"
	"fmt"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/structs"
)

var backendCommands = []spec{
	{
		name: "list", summary: "list the services that backend servers have announced",
		example: `persimmonrock backend list`,
		define:  func(*flag.FlagSet) action { return listBackends },
	},
	{
		name: "retire", summary: "take one service of an instance out of use", arguments: []string{"INSTANCE", "SERVICE"},
		example: `
persimmonrock backend retire -wait instance-7 assay-check

The backend server gets no new call of that service; those in progress finish. It
comes back into use when the backend server is started anew.`,
		define: defineRetire,
	},
}

func listBackends(ctx context.Context, s *session, _ []string) error {
	list, err := s.client.Backends(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(list)
	}
	var rows [][]string
	for _, b := range list {
		state, repeat := "in use", "no"
		if b.Leaving {
			state = "leaving"
		}
		if b.Idempotent {
			repeat = "yes"
		}
		rows = append(rows, []string{
			string(b.Service), string(b.Instance), string(b.Zone), state, repeat, fmt.Sprintf("%d/%d", b.InUse, b.Slots),
		})
	}
	printTable(s.stdout, []string{"SERVICE", "INSTANCE", "DATA CENTRE", "STATE", "IDEMPOTENT", "SLOTS IN USE"}, rows)
	return nil
}

func defineRetire(flags *flag.FlagSet) action {
	wait := flags.Bool("wait", false, "return when no call of the service is in progress there")
	return func(ctx context.Context, s *session, args []string) error {
		id, service := structs.InstanceID(args[0]), structs.Service(args[1])
		list, err := s.client.Backends(ctx)
		if err != nil {
			return err
		}
		if _, found := findBackend(list, id, service); !found {
			return fmt.Errorf("no backend server of %s offers %s", id, service)
		}
		if _, err := s.client.Retire(ctx, id, service); err != nil {
			return err
		}
		if *wait {
			return s.waitRetired(ctx, id, service)
		}
		if s.json {
			return s.printJSON(map[string]string{"instance": args[0], "service": args[1], "state": "leaving"})
		}
		fmt.Fprintf(s.stdout, "%s on %s gets no new calls\n", service, id)
		return nil
	}
}

func (s *session) waitRetired(ctx context.Context, id structs.InstanceID, service structs.Service) error {
	err := s.waitFor(ctx, func() (bool, string, error) {
		list, err := s.client.Backends(ctx)
		if err != nil {
			return false, "", err
		}
		b, found := findBackend(list, id, service)
		if !found || b.Leaving && b.InUse == 0 {
			return true, fmt.Sprintf("%s on %s: no call in progress", service, id), nil
		}
		return false, fmt.Sprintf("%s on %s: %d calls in progress", service, id, b.InUse), nil
	})
	if err != nil || !s.json {
		return err
	}
	return s.printJSON(map[string]string{"instance": string(id), "service": string(service), "state": "retired"})
}

func findBackend(list []client.Backend, id structs.InstanceID, service structs.Service) (client.Backend, bool) {
	for _, b := range list {
		if b.Instance == id && b.Service == service {
			return b, true
		}
	}
	return client.Backend{}, false
}
