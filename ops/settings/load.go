// Package settings declares the settings of entries and agents and reads them
// from JSON with comments. Reading is strict: invalid or unknown content is
// refused with its position in the file, so that a typing error can't silently
// leave a default in force.
package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an invalid setting. Key is the dotted path of the key, Want the
// value that was expected.
type Problem struct {
	Key  string
	Want string
}

// Fault is one error in a settings file. Line and Column count from 1.
type Fault struct {
	Line   int
	Column int
	Key    string
	Want   string
}

// Error lists the faults for which a settings file was refused. A command that
// gets an Error exits with status 2.
type Error struct {
	File   string
	Faults []Fault
}

// Error implements error, one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		position := fmt.Sprintf("%s:%d:%d", e.File, f.Line, f.Column)
		if f.Key != "" {
			position += ": " + f.Key
		}
		lines = append(lines, position+": "+f.Want)
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings file at path over the defaults in into, then runs
// check, which may be nil. It returns an *Error if the file is refused.
func Load[T any](path string, into *T, check func(*T) []Problem) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Faults: []Fault{{Line: 1, Column: 1, Want: err.Error()}}}
	}
	return Parse(path, text, into, check)
}

// Parse is Load for a text that was read already; path is used only in errors.
func Parse[T any](path string, text []byte, into *T, check func(*T) []Problem) error {
	root, err := hujson.Parse(text)
	if err != nil {
		return &Error{File: path, Faults: []Fault{syntaxFault(err)}}
	}
	d := newDecoder(text)
	d.decode("", &root, into)
	if check != nil {
		d.check(check(into))
	}
	if len(d.faults) > 0 {
		return &Error{File: path, Faults: d.faults}
	}
	return nil
}

// syntaxFault extracts line and column from a hujson error.
func syntaxFault(err error) Fault {
	f := Fault{Line: 1, Column: 1, Want: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		_, f.Want, _ = strings.Cut(err.Error(), ": line ")
		_, f.Want, _ = strings.Cut(f.Want, ": ")
	}
	return f
}
