// Package logs sets up the process's zerolog logger, limits its lines and reads
// logs.
package logs

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON to w, or readable lines if w is a
// terminal. process is a field of every line. An unknown level means info.
func New(w io.Writer, process, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	if terminal(w) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("process", process).Logger()
}

// terminal reports whether w is a character device.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
