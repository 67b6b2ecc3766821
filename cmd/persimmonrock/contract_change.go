package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/structs"
)

// hashDigits is the number of digits of a key's hash that a difference shows.
const hashDigits = 12

// change is one line of the difference between two contracts.
type change struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// compareContracts lists the keys in which the contracts differ.
func compareContracts(old, wanted structs.Contract) []change {
	before, after := contractKeys(old), contractKeys(wanted)
	out := []change{}
	for i, c := range after {
		if old.Customer == "" {
			out = append(out, change{c.Key, "", c.New})
		} else if before[i].New != c.New {
			out = append(out, change{c.Key, before[i].New, c.New})
		}
	}
	return out
}

func contractKeys(c structs.Contract) []change {
	return []change{
		{Key: "latency_target", New: c.LatencyTarget.Std().String()},
		{Key: "batch_queue", New: fmt.Sprint(c.BatchQueue)},
		{Key: "share", New: fmt.Sprint(c.Share)},
		{Key: "key_hashes", New: hashText(c.KeyHashes)},
	}
}

func hashText(hashes []string) string {
	if len(hashes) == 0 {
		return "none"
	}
	var short []string
	for _, h := range hashes {
		short = append(short, h[:min(hashDigits, len(h))]+"…")
	}
	return strings.Join(short, ", ")
}

func (s *session) showChanges(result applied) {
	if s.json || len(result.Changes) == 0 {
		return
	}
	fmt.Fprintf(s.stdout, "%s:\n", result.Customer)
	for _, c := range result.Changes {
		if c.Old == "" {
			fmt.Fprintf(s.stdout, "  %s: %s\n", c.Key, c.New)
			continue
		}
		fmt.Fprintf(s.stdout, "  %s: %s -> %s\n", c.Key, c.Old, c.New)
	}
}

// inForce counts the processes that have a revision.
type inForce struct {
	Revision  structs.Revision `json:"revision"`
	Processes int              `json:"processes"`
	Have      int              `json:"have"`
	// Lacking names the processes that don't have the revision or didn't
	// answer.
	Lacking []string `json:"lacking,omitempty"`
}

// maxNamedLacking is the maximum number of lacking processes on one line.
const maxNamedLacking = 4

// String implements fmt.Stringer.
func (f *inForce) String() string {
	text := fmt.Sprintf("revision %d is in force in %d of %d processes", f.Revision, f.Have, f.Processes)
	if len(f.Lacking) == 0 {
		return text
	}
	named := f.Lacking[:min(maxNamedLacking, len(f.Lacking))]
	text += "; not yet in " + strings.Join(named, ", ")
	if more := len(f.Lacking) - len(named); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func countInForce(r structs.Revision, c client.Config) *inForce {
	f := &inForce{Revision: r, Processes: len(c.Processes)}
	for _, p := range c.Processes {
		if !p.Unknown && p.Revision >= r {
			f.Have++
		} else {
			f.Lacking = append(f.Lacking, p.Process)
		}
	}
	return f
}

func (s *session) readInForce(ctx context.Context, r structs.Revision) (*inForce, error) {
	config, err := s.client.Config(ctx)
	if err != nil {
		return nil, err
	}
	return countInForce(r, config), nil
}

// waitInForce returns when every known process has revision r.
func (s *session) waitInForce(ctx context.Context, r structs.Revision) (*inForce, error) {
	var f *inForce
	err := s.waitFor(ctx, func() (bool, string, error) {
		seen, err := s.readInForce(ctx, r)
		if err != nil {
			return false, "", err
		}
		f = seen
		return f.Have == f.Processes, f.String(), nil
	})
	return f, err
}

func contractStatus(ctx context.Context, s *session, _ []string) error {
	config, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(config)
	}
	var rows [][]string
	for _, p := range config.Processes {
		revision := fmt.Sprint(p.Revision)
		if p.Unknown {
			revision = "no answer"
		}
		rows = append(rows, []string{p.Kind, p.Process, p.Address, revision, p.Age.Std().Round(time.Millisecond).String()})
	}
	printTable(s.stdout, []string{"KIND", "PROCESS", "ADDRESS", "REVISION", "AGE"}, rows)
	fmt.Fprintln(s.stdout, countInForce(config.Revision, config))
	return nil
}
