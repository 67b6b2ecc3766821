package node

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/remote"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/ops/settings"
)

// Exit statuses of a process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// RunEntry runs an entry from a settings file until SIGTERM or SIGINT, and
// returns the exit status.
func RunEntry(ctx context.Context, args []string, stderr io.Writer) int {
	s := settings.DefaultEntry()
	usage := "Run an entry process. Example:\n\n    persimmonrock entry -settings entry.json\n\nFlags:"
	if !load("entry", usage, args, stderr, &s, (*settings.Entry).Check) {
		return exitUsage
	}
	log := logs.New(stderr, string(s.ID), s.LogLevel)
	return run(ctx, log, func() (Process, error) {
		return StartEntry(s, platformAt(s.Platform.Table, s.Platform.Objects, s.Platform.Timeout.Std()), log)
	})
}

// RunAgent runs an agent, as RunEntry runs an entry.
func RunAgent(ctx context.Context, args []string, stderr io.Writer) int {
	s := settings.DefaultAgent()
	usage := "Run the agent of one instance. Example:\n\n    persimmonrock-agent -settings agent.json\n\nFlags:"
	if !load("persimmonrock-agent", usage, args, stderr, &s, (*settings.Agent).Check) {
		return exitUsage
	}
	log := logs.New(stderr, string(s.Instance), s.LogLevel)
	p := platformAt(s.Platform.Table, s.Platform.Objects, s.Platform.Timeout.Std())
	// The worker's Stop and Fence calls return only after the work has stopped,
	// so their client has no timeout.
	p.Worker = remote.NewWorker(s.Platform.Worker, &http.Client{})
	return run(ctx, log, func() (Process, error) { return StartAgent(s, p, log) })
}

// load reads the settings file that -settings names into s and reports whether
// the settings are valid. If they aren't, it prints the reason to stderr.
func load[T any](name, usage string, args []string, stderr io.Writer, s *T, check func(*T) []settings.Problem) bool {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, usage)
		flags.PrintDefaults()
	}
	path := flags.String("settings", "", "file with the settings (JSON with comments)")
	if err := flags.Parse(args); err != nil {
		return false
	}
	if *path == "" {
		flags.Usage()
		return false
	}
	if err := settings.Load(*path, s, check); err != nil {
		fmt.Fprintln(stderr, err)
		return false
	}
	return true
}

func platformAt(table, objects string, timeout time.Duration) Platform {
	client := &http.Client{Timeout: timeout}
	return Platform{Table: remote.NewTable(table, client), Objects: remote.NewObjects(objects, client)}
}

// run starts a process and stops it at SIGTERM or SIGINT.
func run(ctx context.Context, log zerolog.Logger, start func() (Process, error)) int {
	p, err := start()
	if err != nil {
		log.Error().Err(err).Msg("process could not start")
		return exitError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Wait(ctx, p); err != nil {
		log.Error().Err(err).Msg("ended")
		return exitError
	}
	return exitOK
}
