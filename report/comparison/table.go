package comparison

import (
	"fmt"
	"slices"
	"strings"

	"persimmonrock.example/decide/model"
)

// metric is one row of the table; value computes it for one seed.
type metric struct {
	name   string
	format string
	// higherBetter means that the lowest value is the worst.
	higherBetter bool
	value        func(plain, flood *model.Result) float64
}

func quantileMillis(q float64) func(plain, flood *model.Result) float64 {
	return func(r, _ *model.Result) float64 { return float64(r.Quantile(q).Milliseconds()) }
}

// floodP99Rise is the greatest relative rise of another customer's p99 that the
// flood causes, in percent.
func floodP99Rise(plain, flood *model.Result) float64 {
	worst := -100.0
	for c := 1; c < model.Customers; c++ {
		a, b := plain.CustomerQuantile(c, 99), flood.CustomerQuantile(c, 99)
		worst = max(worst, 100*(float64(b)/float64(a)-1))
	}
	return worst
}

// floodWorkLoss is the greatest relative loss of another customer's batch work
// that the flood causes, in percent.
func floodWorkLoss(plain, flood *model.Result) float64 {
	worst := -100.0
	for c := 1; c < model.Customers; c++ {
		worst = max(worst, 100*(1-flood.CustomerWork(c)/plain.CustomerWork(c)))
	}
	return worst
}

func metrics() []metric {
	type res = *model.Result
	return []metric{
		{"urgent p50, ms", "%.0f", false, quantileMillis(50)},
		{"urgent p99, ms", "%.0f", false, quantileMillis(99)},
		{"urgent p99.9, ms", "%.0f", false, quantileMillis(99.9)},
		{"urgent in time, %", "%.3f", true, func(r, _ res) float64 { return 100 * r.InTimeShare() }},
		{"urgent without answer", "%.0f", false, func(r, _ res) float64 { return float64(r.Unanswered) }},
		{"attempts a call", "%.3f", false, func(r, _ res) float64 { return r.AttemptsPerCall() }},
		{"batch jobs finished", "%.0f", true, func(r, _ res) float64 { return float64(r.DoneAll()) }},
		{"batch work done, 1000 s", "%.1f", true, func(r, _ res) float64 { return r.Work() / 1000 }},
		{"evictions", "%.0f", false, func(r, _ res) float64 { return float64(r.Evictions) }},
		{"killed for memory", "%.0f", false, func(r, _ res) float64 { return float64(r.Killed) }},
		{"work lost, s", "%.0f", false, func(r, _ res) float64 { return r.WorkLost }},
		{"runs failed", "%.0f", false, func(r, _ res) float64 { return float64(r.Failures) }},
		{"jobs given up on a broken worker", "%.0f", false, func(r, _ res) float64 { return float64(r.WrongFailures) }},
		{"throttles", "%.0f", false, func(r, _ res) float64 { return float64(r.Throttles) }},
		{"starts refused", "%.0f", false, func(r, _ res) float64 { return float64(r.NotStarted) }},
		{"jobs parked", "%.0f", false, func(r, _ res) float64 { return float64(r.Parked) }},
		{"Jain's index", "%.3f", true, func(r, _ res) float64 { return r.Jain }},
		{"flood: rise of another's p99, %", "%.1f", false, floodP99Rise},
		{"flood: loss of another's batch work, %", "%.1f", false, floodWorkLoss},
		{"instance over its limit", "%.0f", false, func(r, f res) float64 { return float64(r.Overcommitted + f.Overcommitted) }},
	}
}

func (m metric) values(all []seedResults, contender int) []float64 {
	var vs []float64
	for _, o := range all {
		vs = append(vs, m.value(o.plain[contender], o.flood[contender]))
	}
	return vs
}

func median(vs []float64) float64 {
	s := slices.Sorted(slices.Values(vs))
	n := len(s)
	if n%2 == 1 {
		return s[n/2]
	}
	return (s[n/2-1] + s[n/2]) / 2
}

func (m metric) worst(vs []float64) float64 {
	if m.higherBetter {
		return slices.Min(vs)
	}
	return slices.Max(vs)
}

// table returns a Markdown table of each metric's median and worst value.
func table(all []seedResults) string {
	var b strings.Builder
	b.WriteString("| figure: median (worst) |")
	for _, c := range contenders() {
		fmt.Fprintf(&b, " %s |", c.name)
	}
	b.WriteString("\n|---|" + strings.Repeat("---:|", len(contenders())) + "\n")
	for _, m := range metrics() {
		fmt.Fprintf(&b, "| %s |", m.name)
		for i := range contenders() {
			vs := m.values(all, i)
			fmt.Fprintf(&b, " "+m.format+" ("+m.format+") |", median(vs), m.worst(vs))
		}
		b.WriteString("\n")
	}
	return b.String()
}
