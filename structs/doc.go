// Package structs defines the types that all parts of persimmonrock share:
// identifiers, contracts, jobs, refusals and events. It has no behaviour beyond
// validation and encoding. It imports only the standard library, so that every
// other package can import it.
//
// Units: durations are time.Duration in memory and Go duration strings in JSON;
// memory is in bytes; processor time is in thousandths of a core.
package structs
