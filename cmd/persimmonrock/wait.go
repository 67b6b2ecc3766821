package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"persimmonrock.example/structs"
)

// pollInterval is the time between two polls of a waiting command. Tests
// shorten it.
var pollInterval = 500 * time.Millisecond

// progress shows on one line the state that a waiting command observed. On a
// terminal the line is overwritten; elsewhere each change is printed as a line.
type progress struct {
	w        io.Writer
	terminal bool
	last     string
}

func newProgress(w io.Writer) *progress {
	p := &progress{w: w}
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		p.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return p
}

func (p *progress) show(text string) {
	if text == p.last {
		return
	}
	p.last = text
	if p.terminal {
		fmt.Fprintf(p.w, "\r\x1b[K%s", truncate(text, lineWidth))
		return
	}
	fmt.Fprintln(p.w, text)
}

// endLine ends the line, so that the next output begins a new one.
func (p *progress) endLine() {
	if p.terminal && p.last != "" {
		fmt.Fprintln(p.w)
	}
}

// waitFor calls poll until poll returns done; status describes the observed
// state. A failed poll ends the wait only if its error is permanent: an entry
// may be replaced at any time, and another one answers the next poll.
func (s *session) waitFor(ctx context.Context, poll func() (done bool, status string, err error)) error {
	p := newProgress(s.stderr)
	defer p.endLine()
	for {
		done, status, err := poll()
		if ctx.Err() != nil {
			return fmt.Errorf("gave up waiting (%w); last seen: %s", ctx.Err(), p.last)
		}
		switch {
		case err != nil && permanent(err):
			return err
		case err != nil:
			p.show(fmt.Sprintf("no answer, asking again: %v", err))
		default:
			p.show(status)
		}
		if done && err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gave up waiting (%w); last seen: %s", ctx.Err(), p.last)
		case <-time.After(pollInterval):
		}
	}
}

// permanent reports whether err is a refusal that a repeat can't change.
func permanent(err error) bool {
	var refused *structs.Refusal
	return errors.As(err, &refused) && refused.Status >= 400 && refused.Status < 500 && refused.RetryAfter == 0
}
