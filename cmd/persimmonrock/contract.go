package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"strings"

	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

var contractCommands = []spec{
	{
		name: "apply", summary: "create or change the contract in a file, and show the difference",
		arguments: []string{"FILE"},
		example: `
cat >granite.json <<END
{
  "customer": "granite-notch",
  "latency_target": "250ms",  // of its urgent calls
  "batch_queue": 1000,        // unfinished jobs
  "share": 0.5,               // of all slots
  "key_hashes": ["<from: persimmonrock contract key>"],
}
END
persimmonrock contract apply -wait granite.json

A file that came from "contract get" names its revision; it is refused if
somebody has changed the contract since.`,
		define: defineApply,
	},
	{
		name: "get", summary: "print a contract as a file for apply", arguments: []string{"CUSTOMER"},
		example: `persimmonrock contract get granite-notch >granite.json`,
		define:  func(*flag.FlagSet) action { return getContract },
	},
	{
		name: "list", summary: "list all contracts",
		example: `persimmonrock contract list`,
		define:  func(*flag.FlagSet) action { return listContracts },
	},
	{
		name: "delete", summary: "end a contract; its keys are refused from then on", arguments: []string{"CUSTOMER"},
		example: `persimmonrock contract delete -wait granite-notch`,
		define: func(flags *flag.FlagSet) action {
			wait := waitFlag(flags)
			return func(ctx context.Context, s *session, args []string) error {
				return deleteContract(ctx, s, structs.Customer(args[0]), *wait)
			}
		},
	},
	{
		name: "status", summary: "show which revision is in force in which process",
		example: `persimmonrock contract status`,
		define:  func(*flag.FlagSet) action { return contractStatus },
	},
	{
		name: "key", summary: "make a key and the hash that a contract stores of it", local: true,
		example: `
persimmonrock contract key

Give the key to the customer; it is not stored and can't be shown again. Put the
hash into the contract. For a rotation put both hashes there, and take the old
one out once the customer uses the new key.`,
		define: func(*flag.FlagSet) action { return makeKey },
	},
}

func waitFlag(flags *flag.FlagSet) *bool {
	return flags.Bool("wait", false, "return when every process has the new revision")
}

func defineApply(flags *flag.FlagSet) action {
	wait := waitFlag(flags)
	dryRun := flags.Bool("dry-run", false, "only show the difference")
	return func(ctx context.Context, s *session, args []string) error {
		wanted, err := readContract(args[0])
		if err != nil {
			return err
		}
		return applyContract(ctx, s, wanted, *wait, *dryRun)
	}
}

// readContract reads a contract file as strictly as a settings file.
func readContract(path string) (structs.Contract, error) {
	var c structs.Contract
	err := settings.Load(path, &c, func(c *structs.Contract) []settings.Problem {
		problem := c.Validate()
		if problem == nil {
			return nil
		}
		key, want, _ := strings.Cut(problem.Error(), ": ")
		return []settings.Problem{{Key: key, Want: want}}
	})
	return c, err
}

// applied is the output of "contract apply -json" and "delete -json".
type applied struct {
	Customer structs.Customer `json:"customer"`
	Changed  bool             `json:"changed"`
	Changes  []change         `json:"changes"`
	Revision structs.Revision `json:"revision"`
	InForce  *inForce         `json:"in_force,omitempty"`
}

func applyContract(ctx context.Context, s *session, wanted structs.Contract, wait, dryRun bool) error {
	current, match, err := s.client.Contract(ctx, wanted.Customer)
	if err != nil && !notFound(err) {
		return err
	}
	if wanted.Revision != 0 {
		match = fmt.Sprintf("%q", fmt.Sprint(uint64(wanted.Revision)))
	}
	result := applied{Customer: wanted.Customer, Changes: compareContracts(current, wanted), Revision: current.Revision}
	s.showChanges(result)
	if dryRun {
		return s.printResult(result)
	}
	if len(result.Changes) > 0 {
		result.Changed = true
		result.Revision, err = s.client.Apply(ctx, wanted, match, rand.Text())
		if err != nil {
			return err
		}
	}
	return s.reportResult(ctx, result, wait)
}

func deleteContract(ctx context.Context, s *session, customer structs.Customer, wait bool) error {
	_, match, err := s.client.Contract(ctx, customer)
	if err != nil {
		return err
	}
	result := applied{Customer: customer, Changed: true, Changes: []change{{Key: "contract", Old: "in force", New: "none"}}}
	result.Revision, err = s.client.Delete(ctx, customer, match, rand.Text())
	if err != nil {
		return err
	}
	s.showChanges(result)
	return s.reportResult(ctx, result, wait)
}

// reportResult prints the result and then the number of processes in which its
// revision is in force. With wait, it prints the number only once all have the
// revision.
func (s *session) reportResult(ctx context.Context, result applied, wait bool) error {
	if !s.json {
		word := "accepted at"
		if !result.Changed {
			word = "no difference; it stands since"
		}
		fmt.Fprintf(s.stdout, "%s: %s revision %d\n", result.Customer, word, result.Revision)
	}
	var err error
	if wait {
		result.InForce, err = s.waitInForce(ctx, result.Revision)
	} else {
		result.InForce, err = s.readInForce(ctx, result.Revision)
	}
	if err != nil {
		return err
	}
	if !s.json {
		fmt.Fprintln(s.stdout, result.InForce)
	}
	return s.printResult(result)
}

func (s *session) printResult(result applied) error {
	if !s.json {
		return nil
	}
	return s.printJSON(result)
}

func getContract(ctx context.Context, s *session, args []string) error {
	contract, _, err := s.client.Contract(ctx, structs.Customer(args[0]))
	if err != nil {
		return err
	}
	return s.printJSON(contract)
}

func listContracts(ctx context.Context, s *session, _ []string) error {
	list, err := s.client.Contracts(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(list)
	}
	var rows [][]string
	for _, c := range list.Contracts {
		rows = append(rows, []string{
			string(c.Customer), c.LatencyTarget.Std().String(), fmt.Sprint(c.BatchQueue),
			fmt.Sprint(c.Share), fmt.Sprint(len(c.KeyHashes)), fmt.Sprint(c.Revision),
		})
	}
	printTable(s.stdout, []string{"CUSTOMER", "LATENCY TARGET", "BATCH QUEUE", "SHARE", "KEYS", "REVISION"}, rows)
	fmt.Fprintf(s.stdout, "configuration revision %d\n", list.Revision)
	return nil
}

func makeKey(_ context.Context, s *session, _ []string) error {
	key := keys.Generate()
	if s.json {
		return s.printJSON(map[string]string{"key": key, "hash": keys.Hash(key)})
	}
	fmt.Fprintf(s.stdout, "key:  %s\nhash: %s\n", key, keys.Hash(key))
	return nil
}

func notFound(err error) bool {
	var refused *structs.Refusal
	return errors.As(err, &refused) && refused.Type == structs.RefusedNotFound
}
