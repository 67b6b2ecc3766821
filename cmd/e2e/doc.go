// Package e2e holds tests that run the two binaries as separate processes
// against stand-ins for the platform. Numbers such as G1 in comments stand for
// the guarantees that a test checks.
package e2e
