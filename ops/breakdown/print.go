package breakdown

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	for _, message := range slices.Sorted(maps.Keys(r.LeftOut)) {
		fmt.Fprintf(w, "the log has gaps: %d lines %q were left out\n", r.LeftOut[message], message)
	}
	for _, name := range r.Unaligned {
		fmt.Fprintf(w, "the clock of %s is tied to no other: its lines stand where its wall clock puts them\n", name)
	}
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
