package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

// Environment variables that replace missing flags.
const (
	envServer = "PERSIMMONROCK_SERVER"
	envKey    = "PERSIMMONROCK_KEY"
)

// defaultTimeout bounds a whole command, waiting included.
const defaultTimeout = 10 * time.Minute

// spec declares an operators' command.
type spec struct {
	name    string
	summary string
	// arguments names the positional arguments. If the last name ends in "...",
	// it stands for one or more arguments.
	arguments []string
	example   string
	// local marks a command that connects to no entry.
	local bool
	// define declares the command's own flags and returns its action.
	define func(*flag.FlagSet) action
}

// action runs a command after its flags are parsed.
type action func(ctx context.Context, s *session, args []string) error

// session is one run of a command.
type session struct {
	client *client.Client
	stdout io.Writer
	stderr io.Writer
	json   bool
}

// errUsage marks a wrong command line.
var errUsage = errors.New("usage")

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

// command binds the spec to the words that name it.
func (p spec) command(words string) command {
	return command{words, p.summary, func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		return p.run(ctx, words, args, stdout, stderr)
	}}
}

func (p spec) run(ctx context.Context, words string, args []string, stdout, stderr io.Writer) int {
	s := &session{stdout: stdout, stderr: stderr}
	flags := flag.NewFlagSet(words, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	common := addCommon(flags, p.local)
	do := p.define(flags)
	given, err := parseMixed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		p.help(stdout, words, flags)
		return exitOK
	}
	if err == nil {
		err = p.checkArguments(given)
	}
	if err == nil && !p.local {
		s.client, err = common.client()
	}
	if err == nil {
		s.json = *common.json
		bounded, cancel := context.WithTimeout(ctx, *common.timeout)
		defer cancel()
		bounded, stop := signal.NotifyContext(bounded, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		err = do(bounded, s, given)
	}
	return reportError(stderr, words, err)
}

// parseMixed parses flags after arguments, too, as in "job wait ID -json".
func parseMixed(flags *flag.FlagSet, args []string) ([]string, error) {
	var given []string
	for {
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError("%v", err)
		}
		if flags.NArg() == 0 {
			return given, nil
		}
		given = append(given, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func (p spec) checkArguments(given []string) error {
	n := len(p.arguments)
	variadic := n > 0 && strings.HasSuffix(p.arguments[n-1], "...")
	if len(given) == n || variadic && len(given) > n {
		return nil
	}
	want := "no argument"
	if n > 0 {
		want = strings.Join(p.arguments, " ")
	}
	return usageError("want %s, got %d arguments", want, len(given))
}

func (p spec) help(w io.Writer, words string, flags *flag.FlagSet) {
	usage := append([]string{"persimmonrock", words, "[flags]"}, p.arguments...)
	fmt.Fprintf(w, "%s: %s.\n\nUsage: %s\n\nExample:\n%s\nFlags:\n",
		words, p.summary, strings.Join(usage, " "), indent(p.example))
	flags.SetOutput(w)
	flags.PrintDefaults()
}

func indent(text string) string {
	var b strings.Builder
	for _, line := range strings.Split(strings.Trim(text, "\n"), "\n") {
		b.WriteString(strings.TrimRight("  "+line, " ") + "\n")
	}
	return b.String()
}

// commonFlags are the flags of every command that connects to an entry.
type commonFlags struct {
	server  *string
	ca      *string
	keyFile *string
	json    *bool
	timeout *time.Duration
}

func addCommon(flags *flag.FlagSet, local bool) commonFlags {
	c := commonFlags{json: flags.Bool("json", false, "write JSON")}
	none, long := "", defaultTimeout
	c.server, c.ca, c.keyFile, c.timeout = &none, &none, &none, &long
	if local {
		return c
	}
	c.server = flags.String("server", "", "base `URL` of an entry or of the balancer (else "+envServer+")")
	c.ca = flags.String("ca", "", "`file` with the PEM certificates that sign the server's (else the system's)")
	c.keyFile = flags.String("key-file", "", "`file` with the key (else the key in "+envKey+")")
	c.timeout = flags.Duration("timeout", defaultTimeout, "longest time for the whole command")
	return c
}

func (c commonFlags) client() (*client.Client, error) {
	server, key := *c.server, os.Getenv(envKey)
	if server == "" {
		server = os.Getenv(envServer)
	}
	if server == "" {
		return nil, usageError("want -server or %s, such as http://127.0.0.1:7400", envServer)
	}
	if *c.keyFile != "" {
		text, err := os.ReadFile(*c.keyFile)
		if err != nil {
			return nil, usageError("-key-file: %v", err)
		}
		key = strings.TrimSpace(string(text))
	}
	if key == "" {
		return nil, usageError("want -key-file or %s", envKey)
	}
	transport, err := transportFor(*c.ca)
	if err != nil {
		return nil, err
	}
	return client.New(server, key, transport), nil
}

// transportFor returns a transport that trusts the certificates in the file ca,
// or the system's certificates if ca is empty.
func transportFor(ca string) (http.RoundTripper, error) {
	if ca == "" {
		return http.DefaultTransport, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, usageError("-ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usageError("-ca: want PEM certificates in %s", ca)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// reportError prints err, if any, and returns the exit status: 2 for a wrong
// command line or file, 1 for any other error.
func reportError(w io.Writer, words string, err error) int {
	var refused *structs.Refusal
	var file *settings.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(w, "%s: %v\n\"persimmonrock %s -h\" explains it by example.\n", words, err, words)
		return exitUsage
	case errors.As(err, &file):
		fmt.Fprintln(w, file)
		return exitUsage
	case errors.As(err, &refused):
		fmt.Fprintf(w, "%s: %s\n", words, refusalText(refused))
	default:
		fmt.Fprintf(w, "%s: %s\n", words, eris.ToString(err, false))
	}
	return exitError
}

// refusalText describes the outcome of a refused request and whether a repeat
// helps.
func refusalText(r *structs.Refusal) string {
	text := fmt.Sprintf("refused (%s): %s", r.Type, r.Detail)
	if r.Outcome == structs.NotRun {
		text += "\nNothing was done."
	} else {
		text += "\nIt is not known whether it was done; look before you repeat it."
	}
	if r.RetryAfter > 0 {
		text += fmt.Sprintf(" Coming back helps after %s.", r.RetryAfter)
	}
	return text
}

func (s *session) printJSON(v any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func lastWord(s string) string { return s[strings.LastIndexByte(s, ' ')+1:] }
