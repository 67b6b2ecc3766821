package events

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"persimmonrock.example/structs"
)

// LineWidth is the greatest width of a printed line in characters.
const LineWidth = 100

// compare orders by logical time, then by process. The logical times of one
// process are distinct, so that only copies of one event compare as equal.
func compare(a, b structs.Event) int {
	return cmp.Or(
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Process, b.Process),
		a.Wall.Compare(b.Wall),
	)
}

// Merge merges the parts of several processes into one order, which does not
// depend on the order of the parts. An event comes after the events of other
// processes that led to it through messages. Copies of an event are dropped.
func Merge(parts [][]structs.Event) []structs.Event {
	all := append([]structs.Event{}, slices.Concat(parts...)...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b structs.Event) bool {
		return compare(a, b) == 0 && a.Step == b.Step
	})
}

// maxIDLength is the number of characters shown of a request's or job's ID.
const maxIDLength = 10

// WriteText prints events as a table of lines up to LineWidth characters, in
// the given order, that of the logical clock. Wall clock times are only
// printed. A request or job that all events belong to is named once, above the
// table.
func WriteText(w io.Writer, events []structs.Event) error {
	out := bufio.NewWriter(w)
	common := commonIDs(events)
	if header := common.header(); header != "" {
		writeLine(out, header)
	}
	process, step := len("PROCESS"), len("STEP")
	for _, e := range events {
		process = max(process, min(len(e.Process), 20))
		step = max(step, min(len(e.Step), 22))
	}
	format := fmt.Sprintf("%%8s %%-12s %%-%d.%ds %%-%d.%ds %%s", process, process, step, step)
	writeLine(out, fmt.Sprintf(format, "LOGICAL", "WALL", "PROCESS", "STEP", "DETAIL"))
	for _, e := range events {
		wall := e.Wall.UTC().Format("15:04:05.000")
		writeLine(out, fmt.Sprintf(format, fmt.Sprint(e.Logical), wall, e.Process, e.Step, common.details(e)))
	}
	return out.Flush()
}

// ids holds the request and the job that all events of a list belong to, or "".
// Both are empty for a list with a single event.
type ids struct {
	request structs.RequestID
	job     structs.JobID
}

func commonIDs(events []structs.Event) ids {
	if len(events) < 2 {
		return ids{}
	}
	common := ids{events[0].Request, events[0].Job}
	for _, e := range events {
		if e.Request != common.request {
			common.request = ""
		}
		if e.Job != common.job {
			common.job = ""
		}
	}
	return common
}

func (c ids) header() string {
	var parts []string
	if c.request != "" {
		parts = append(parts, "request "+string(c.request))
	}
	if c.job != "" {
		parts = append(parts, "job "+string(c.job))
	}
	return strings.Join(parts, ", ")
}

// details joins the optional parts of an event, those that differ most between
// events first.
func (c ids) details(e structs.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+value)
		}
	}
	if c.request == "" {
		add("request=", shorten(string(e.Request)))
	}
	if c.job == "" {
		add("job=", shorten(string(e.Job)))
	}
	if e.Epoch > 0 {
		add("epoch=", fmt.Sprint(e.Epoch))
	}
	add("peer=", e.Peer)
	add("", strings.Join(strings.Fields(e.Detail), " "))
	add("customer=", string(e.Customer))
	return strings.Join(parts, " ")
}

func shorten(id string) string {
	if len(id) <= maxIDLength {
		return id
	}
	return id[:maxIDLength] + "…"
}

// writeLine writes s, cut to LineWidth characters with a mark at the cut.
func writeLine(w *bufio.Writer, s string) {
	s = strings.TrimRight(s, " ")
	if r := []rune(s); len(r) > LineWidth {
		s = string(r[:LineWidth-1]) + "…"
	}
	w.WriteString(s)
	w.WriteByte('\n')
}
