// Package decide decides where work runs; callers carry out the decisions. It does
// no I/O, reads no clock and has no global state. Time is an argument, a
// time.Duration since a fixed origin that the caller chooses; randomness is an
// argument too. Each decision can therefore be replayed, benchmarked and
// compared with other policies.
//
// No type in this package locks. The caller guards each value with the lock of
// the state that the value belongs to.
//
// Units: memory in bytes, processor time in thousandths of a core, loads and
// shares as fractions of 1. An inflation is a duration divided by the duration
// of the same work on an otherwise empty instance; 1 means undisturbed.
package decide
