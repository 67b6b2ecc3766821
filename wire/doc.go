// Package wire holds the messages that persimmonrock's own processes exchange
// over net/rpc, and the client and server that carry them. Messages state
// durations as remaining time, never as a point in time, since the clocks of
// two machines are not compared.
package wire
