package breakdown

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// namedClocks bounds the processes that are named if their clocks are tied to
// no other.
const namedClocks = 5

// printUnaligned says that lines of some processes may stand at a wrong time.
func printUnaligned(w io.Writer, names []string) {
	if len(names) == 0 {
		return
	}
	more := ""
	if len(names) > namedClocks {
		more = ", ..."
	}
	fmt.Fprintf(w, "the clocks of %d processes are tied to no other, their lines stand where their wall clocks put them: %s%s\n",
		len(names), strings.Join(names[:min(len(names), namedClocks)], ", "), more)
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	for _, message := range slices.Sorted(maps.Keys(r.LeftOut)) {
		fmt.Fprintf(w, "the log has gaps: %d lines %q were left out\n", r.LeftOut[message], message)
	}
	printUnaligned(w, r.Unaligned)
	fmt.Fprintf(w, "jobs with filling work: %d in time, %d late, %d overdue, %d failed, %d cancelled, %d not ended\n\n",
		r.ByClass[InTime].Jobs, r.ByClass[Late].Jobs, r.ByClass[Overdue].Jobs, r.Failed, r.Cancelled, r.Unfinished)
	fmt.Fprintf(w, "serving tasks were over their targets for %.1f s, %.1f s of it beside filling work\n\n", r.OverTarget, r.OverTargetFilled)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "time of the slowest tasks, s\tjobs\t")
	for c := range causes {
		fmt.Fprintf(table, "%s\t", c.Name())
	}
	fmt.Fprintln(table)
	var all Sum
	for c := range classes {
		s := &r.ByClass[c]
		row(table, c.Name(), s.Jobs, s.Seconds)
		jobs := all.Jobs + s.Jobs
		all.merge(*s)
		all.Jobs = jobs
	}
	row(table, "all", all.Jobs, all.Seconds)
	row(table, "all, core-seconds", all.Jobs, all.CoreSeconds)
	for i := range r.ByInterval {
		s := &r.ByInterval[i]
		row(table, fmt.Sprintf("known from %d s", i*intervalLength/1000), s.Jobs, s.Seconds)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.printWaits(w)
}

func row(w io.Writer, name string, jobs int, values [causes]float64) {
	fmt.Fprintf(w, "%s\t%d\t", name, jobs)
	for _, v := range values {
		fmt.Fprintf(w, "%.1f\t", v)
	}
	fmt.Fprintln(w)
}
