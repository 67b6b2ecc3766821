package serve

import (
	"expvar"
	"net/http"
	"os"
	"runtime"
)

// Vars holds a process's counters and serves them in the format of expvar. It
// does not use expvar's global table, since tests and `persimmonrock dev` run
// several nodes in one process.
type Vars struct {
	table expvar.Map
}

// NewVars returns a table with the two variables that expvar always has,
// "cmdline" and "memstats".
func NewVars() *Vars {
	v := &Vars{}
	v.Func("cmdline", func() any { return os.Args })
	v.Func("memstats", func() any {
		stats := new(runtime.MemStats)
		runtime.ReadMemStats(stats)
		return *stats
	})
	return v
}

// Func publishes the result of f under name, as JSON. f is called at each read
// and from many goroutines.
func (v *Vars) Func(name string, f func() any) { v.table.Set(name, expvar.Func(f)) }

// Set publishes value under name.
func (v *Vars) Set(name string, value expvar.Var) { v.table.Set(name, value) }

// ServeHTTP writes all variables as one JSON object, as expvar.Handler does.
func (v *Vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Write([]byte(v.table.String()))
}
