// Package machine runs both programs on the users' machines: it joins the
// adapter with the product.
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
	"persimmonrock.example/wire/dispatch"
)

// Exit statuses of a program.
const (
	exitOK       = 0
	exitError    = 1
	exitSettings = 2
)

const (
	// logLines is the number of lines that wait for a slow reader; more are
	// dropped and counted.
	logLines = 2000
	// logsPerSecond bounds the lines of a process.
	logsPerSecond = 1000
	// logPoll is how often waiting lines are written.
	logPoll = 20 * time.Millisecond
	// startDigits is the length of the name that each start of a process gives
	// itself in its lines.
	startDigits = 8
	// memoryShare is the part of the memory limit that the runtime's own
	// limit is set to; the rest is for stacks and what the kernel counts.
	memoryShare = 0.75
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 5 * time.Second
)

// Configured reports whether the machine hands its settings to the process.
func Configured() bool { return os.Getenv(boot.PathVariable) != "" }

// program is what both programs share.
type program struct {
	settings boot.Settings
	log      zerolog.Logger
	limit    *logs.Limit
	flush    func()
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
	log := zerolog.New(w).With().Timestamp().Str("process", settings.Node).Str("start_id", rand.Text()[:startDigits]).Logger().Hook(steadyTime{})
	limit.OnLeftOut = logs.LogLeftOut(log)
	log = log.Hook(limit)
	dropped = zerolog.New(os.Stderr).With().Timestamp().Str("process", settings.Node).Logger()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return &program{settings: settings, log: log, limit: limit, flush: func() { _ = w.Close() }}, nil
}

// peerAddress is where the process takes the calls of the other processes.
func (p *program) peerAddress() string {
	return net.JoinHostPort(p.settings.IP.String(), strconv.Itoa(p.settings.FirstPort))
}

// listen opens addresses; an empty one is left out.
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
		p.log.Error().Err(err).Msg("no more calls of other processes")
	}()
	return nil
}

// serveHTTP serves h at address until the returned server is shut down.
func (p *program) serveHTTP(address string, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			p.log.Error().Err(err).Str("address", address).Msg("no more calls")
		}
	}()
	return s, nil
}

// metricsPort is where each process shows its counters; the deploy file names
// it, too.
const metricsPort = 9464

// serveMetrics shows the figures of a process. They are of use even where the
// port can't be had, so that is only logged.
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
		p.log.Warn().Err(err).Str("address", address).Msg("no metrics")
	}
}

// stopSignal returns a context that ends with SIGTERM. SIGHUP tells that the
// settings file has changed.
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

// reload reads the settings file again. Addresses hold for the life of a
// process; a changed one is only told.
func (p *program) reload() {
	s, err := boot.Load()
	if err != nil {
		p.log.Error().Err(err).Msg("settings not read again; the former stay in force")
		return
	}
	p.log.Info().Bool("changed", s != p.settings).Msg("settings read again")
}

// steadyTime adds the steady clock to each line, in microseconds: the wall clock
// may jump, and lines of one process are put in order by this one.
type steadyTime struct{}

// Run implements zerolog.Hook.
func (steadyTime) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("steady_us", sinceBoot().Microseconds())
}

// sinceBoot is a clock that goes on while the machine is suspended, unlike
// the steady clock of package time.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock is part of every kernel that the program runs on.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
