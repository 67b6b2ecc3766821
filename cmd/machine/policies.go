package machine

import (
	"flag"
	"fmt"
	"io"

	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs/scheduling"
)

// parsePolicies reads the file that the arguments of an entry name. The status
// is exitOK unless the arguments or the file are refused.
func parsePolicies(args []string, stderr io.Writer) (scheduling.Policies, int) {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("scheduling", "", "`file` with the scheduling policies; without it all are off")
	if err := flags.Parse(args); err != nil {
		return scheduling.Policies{}, exitSettings
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "entry: unexpected argument %q\n", flags.Arg(0))
		return scheduling.Policies{}, exitSettings
	}
	policies, err := settings.LoadScheduling(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return scheduling.Policies{}, exitSettings
	}
	return policies, exitOK
}
