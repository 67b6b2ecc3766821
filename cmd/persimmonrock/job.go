package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/structs"
)

var jobCommands = []spec{
	{
		name: "submit", summary: "hand in a batch job",
		example: `
persimmonrock job submit -kind grade-report -payload samples.json -runtime 2h -wait

It takes a customer's key. A repeat with the same -idempotency-key gives the same
job, never a second one.`,
		define: defineSubmit,
	},
	{
		name: "list", summary: "list the jobs of the key's customer",
		example: `persimmonrock job list -state parked`,
		define:  defineJobList,
	},
	{
		name: "get", summary: "show one job", arguments: []string{"JOB"},
		example: `persimmonrock job get j-7f3a`,
		define: func(*flag.FlagSet) action {
			return func(ctx context.Context, s *session, args []string) error {
				job, err := s.client.Job(ctx, structs.JobID(args[0]))
				return s.showJob(job, err)
			}
		},
	},
	{
		name: "wait", summary: "wait until a job has ended", arguments: []string{"JOB"},
		example: `
persimmonrock job wait j-7f3a && persimmonrock job result j-7f3a

The exit status is 0 only if the job is done.`,
		define: func(*flag.FlagSet) action {
			return func(ctx context.Context, s *session, args []string) error {
				return s.waitJob(ctx, structs.JobID(args[0]))
			}
		},
	},
	{
		name: "cancel", summary: "end a job before it is done", arguments: []string{"JOB"},
		example: `persimmonrock job cancel j-7f3a`,
		define: func(*flag.FlagSet) action {
			return func(ctx context.Context, s *session, args []string) error {
				job, err := s.client.Cancel(ctx, structs.JobID(args[0]))
				return s.showJob(job, err)
			}
		},
	},
	{
		name: "result", summary: "print the result of a done job", arguments: []string{"JOB"},
		example: `persimmonrock job result j-7f3a -o report.json`,
		define:  defineResult,
	},
	{
		name: "release", summary: "put a parked job back into the queue", arguments: []string{"JOB"},
		example: `
persimmonrock job release -customer granite-notch j-7f3a

It takes an operator's key. "job get" says why the job was parked; mend that first.`,
		define: defineRelease,
	},
}

func defineSubmit(flags *flag.FlagSet) action {
	var r client.JobRequest
	flags.StringVar((*string)(&r.Kind), "kind", "", "`name` of the kind of job")
	flags.IntVar(&r.Declared.Slots, "slots", 1, "slots that it needs")
	flags.IntVar(&r.Declared.MilliCores, "milli-cores", 0, "processor time that it needs, in thousandths of a core")
	flags.Int64Var(&r.Declared.MemoryBytes, "memory-bytes", 0, "memory that it needs, in bytes")
	flags.IntVar(&r.Declared.Accelerators, "accelerators", 0, "accelerators that it needs")
	runtime := flags.Duration("runtime", 0, "estimate of its run time")
	payload := flags.String("payload", "", "`file` with the JSON that the task gets; - is standard input")
	key := flags.String("idempotency-key", "", "`name` of the intent; a repeat with it gives the same job")
	wait := flags.Bool("wait", false, "return when the job has ended")
	return func(ctx context.Context, s *session, _ []string) error {
		if r.Kind == "" {
			return usageError("want -kind")
		}
		r.Runtime = structs.Duration(*runtime)
		var err error
		if r.Payload, err = readPayload(*payload); err != nil {
			return err
		}
		if *key == "" {
			*key = rand.Text()
		}
		job, err := s.client.Submit(ctx, r, *key)
		if err != nil || !*wait {
			return s.showJob(job, err)
		}
		return s.waitJob(ctx, job.ID)
	}
}

func readPayload(path string) (json.RawMessage, error) {
	var text []byte
	var err error
	switch path {
	case "":
		return nil, nil
	case "-":
		text, err = io.ReadAll(os.Stdin)
	default:
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, usageError("-payload: %v", err)
	}
	if !json.Valid(text) {
		return nil, usageError("-payload: want JSON in %s", path)
	}
	return text, nil
}

func defineJobList(flags *flag.FlagSet) action {
	state := flags.String("state", "", `only jobs in this state: "queued", "running", "done", "failed", "cancelled" or "parked"`)
	return func(ctx context.Context, s *session, _ []string) error {
		all, err := s.client.Jobs(ctx)
		if err != nil {
			return err
		}
		list := []client.Job{}
		for _, j := range all {
			if *state == "" || j.State == structs.JobState(*state) {
				list = append(list, j)
			}
		}
		if s.json {
			return s.printJSON(list)
		}
		printJobs(s.stdout, list)
		return nil
	}
}

func printJobs(w io.Writer, list []client.Job) {
	var rows [][]string
	for _, j := range list {
		rows = append(rows, []string{
			string(j.ID), string(j.Kind), string(j.State), string(j.Instance),
			fmt.Sprint(j.Evictions), fmt.Sprint(j.Failures), j.Reason,
		})
	}
	printTable(w, []string{"JOB", "KIND", "STATE", "INSTANCE", "EVICTIONS", "FAILURES", "REASON"}, rows)
}

func (s *session) showJob(j client.Job, err error) error {
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(j)
	}
	fmt.Fprintln(s.stdout, jobLine(j))
	return nil
}

func jobLine(j client.Job) string {
	text := fmt.Sprintf("%s (%s) is %s", j.ID, j.Kind, j.State)
	if j.State == structs.JobRunning {
		text += " on " + string(j.Instance)
	}
	if j.Reason != "" {
		text += ": " + j.Reason
	}
	return text
}

// waitJob returns when the job has ended, with an error unless it is done.
func (s *session) waitJob(ctx context.Context, id structs.JobID) error {
	var job client.Job
	err := s.waitFor(ctx, func() (bool, string, error) {
		seen, err := s.client.Job(ctx, id)
		if err != nil {
			return false, "", err
		}
		job = seen
		return job.State.Final(), jobLine(job), nil
	})
	if err := s.showJob(job, err); err != nil {
		return err
	}
	if job.State != structs.JobDone {
		return fmt.Errorf("the job ended as %s", job.State)
	}
	return nil
}

func defineResult(flags *flag.FlagSet) action {
	path := flags.String("o", "", "`file` to write the result to")
	return func(ctx context.Context, s *session, args []string) error {
		body, err := s.client.Result(ctx, structs.JobID(args[0]))
		if err != nil {
			return err
		}
		if *path != "" {
			return os.WriteFile(*path, body, 0o600)
		}
		_, err = s.stdout.Write(body)
		return err
	}
}

func defineRelease(flags *flag.FlagSet) action {
	customer := flags.String("customer", "", "`name` of the customer that the job belongs to")
	return func(ctx context.Context, s *session, args []string) error {
		if *customer == "" {
			return usageError("want -customer")
		}
		job, err := s.client.Release(ctx, structs.Customer(*customer), structs.JobID(args[0]))
		return s.showJob(job, err)
	}
}
