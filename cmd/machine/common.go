// Package machine runs the entry and the agent on the users' machines and
// connects both to the users' platform.
package machine

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sys/unix"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/ops/serve"
	"persimmonrock.example/platform/boot"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/wire/dispatch"
)

// Exit statuses of a program.
const (
	exitOK       = 0
	exitError    = 1
	exitSettings = 2
)

const (
	// logLines is the number of log lines that are buffered for a slow reader;
	// further lines are dropped and counted.
	logLines = 2000
	// logsPerSecond bounds the log lines of a process.
	logsPerSecond = 1000
	// logPoll is the interval at which buffered lines are written.
	logPoll = 20 * time.Millisecond
	// startDigits is the length of the random ID that identifies one start of a
	// process in its log lines.
	startDigits = 8
	// memoryShare is the Go runtime's memory limit as a fraction of the
	// process's limit; the rest is for stacks and for memory that the kernel
	// counts.
	memoryShare = 0.75
)

// Configured reports whether the machine passes settings to the process.
func Configured() bool { return os.Getenv(boot.PathVariable) != "" }

// program holds the state that the entry and the agent share.
type program struct {
	settings boot.Settings
	log      zerolog.Logger
	limit    *logs.Limit
	flush    func()
	policies scheduling.Policies
}

func newProgram() (*program, error) {
	settings, err := boot.Load()
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	var dropped zerolog.Logger
	w := diode.NewWriter(os.Stdout, logLines, logPoll, func(missed int) {
		dropped.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	limit := &logs.Limit{PerSecond: logsPerSecond}
	log := zerolog.New(w).With().Timestamp().Str("process", settings.Node).Str("start_id", rand.Text()[:startDigits]).Logger().Hook(bootTimeHook{})
	limit.OnLeftOut = logs.LogLeftOut(log)
	log = log.Hook(limit)
	dropped = zerolog.New(os.Stderr).With().Timestamp().Str("process", settings.Node).Logger()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return &program{settings: settings, log: log, limit: limit, flush: func() { _ = w.Close() }}, nil
}

// peerAddress returns the address at which the process accepts calls of the
// other processes.
func (p *program) peerAddress() string {
	return net.JoinHostPort(p.settings.IP.String(), strconv.Itoa(p.settings.FirstPort))
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// servePeers serves net/rpc to the other processes.
func (p *program) servePeers(server *rpc.Server) error {
	l, err := listen(p.peerAddress())
	if err != nil {
		return err
	}
	go func() {
		err := dispatch.Serve(l, server)
		p.log.Error().Err(err).Msg("stopped serving calls of other processes")
	}()
	return nil
}

// serveHTTP serves h at address until the returned server is shut down. It is for
// callers of the platform, which are few.
func (p *program) serveHTTP(address string, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: defaultLimits.ReadHeader.Std(), MaxHeaderBytes: defaultLimits.HeaderBytes,
		ReadTimeout: defaultLimits.ReadHeader.Std() + defaultLimits.ReadBody.Std(), IdleTimeout: defaultLimits.Idle.Std(),
	}
	p.serve(s, l)
	return s, nil
}

// serve serves s at l until s is shut down.
func (p *program) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			p.log.Error().Err(err).Stringer("address", l.Addr()).Msg("http server failed")
		}
	}()
}

// metricsPort is the port at which each process serves its counters; the deploy
// file names it, too.
const metricsPort = 9464

// serveMetrics serves the counters of a process. The process works without
// them, so a failure to open the port is only logged.
func (p *program) serveMetrics(figures map[string]func() any) {
	vars := serve.NewVars()
	vars.Func("log_lines_skipped", func() any { return p.limit.Skipped() })
	for name, f := range figures {
		vars.Func(name, f)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", vars)
	address := net.JoinHostPort(p.settings.IP.String(), strconv.Itoa(metricsPort))
	if _, err := p.serveHTTP(address, mux); err != nil {
		p.log.Warn().Err(err).Str("address", address).Msg("metrics are not served")
	}
}

// stopSignal returns a context that is cancelled by SIGTERM or SIGINT. SIGHUP
// signals that the settings file has changed.
func (p *program) stopSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			p.reload()
		}
	}()
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// reload reads the settings file again. Addresses are fixed while a process
// runs, so a change is only logged.
func (p *program) reload() {
	s, err := boot.Load()
	if err != nil {
		p.log.Error().Err(err).Msg("could not read settings file again; settings are unchanged")
		return
	}
	p.log.Info().Bool("changed", s != p.settings).Msg("settings file read again; changes need a restart")
}

// bootTimeHook adds the boot-time clock to each line, in microseconds. This
// value orders the lines of one process, since the wall clock may jump.
type bootTimeHook struct{}

// Run implements zerolog.Hook.
func (bootTimeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("steady_us", sinceBoot().Microseconds())
}

// sinceBoot returns the time since the machine's start. Unlike the monotonic
// clock of package time, it also advances while the machine is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that the program runs on has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
