// Package breakdown sums up, from the logs of all processes, where the time of
// jobs that end by themselves went.
//
// A job is as slow as the slowest task of each of its steps. Its time from
// when it was known to its end is therefore followed back along these tasks,
// and each stretch of it is given one cause. Times are those of the processes'
// clocks, which are close to each other.
package breakdown
