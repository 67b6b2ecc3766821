// Package breakdown reads the logs of all processes and attributes the time of
// completed jobs with filling work to causes.
//
// A job is as slow as the slowest task of each of its steps. Its time from
// becoming known to its end is therefore followed back along these tasks, and
// each part is attributed to one cause. Package logtime puts the times of all
// processes on one axis.
package breakdown
