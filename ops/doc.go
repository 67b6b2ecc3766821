// Package ops groups the operational packages that every persimmonrock process
// uses: settings, HTTP serving with limits, problem documents, keys, logs and
// the time line. The code is in its subpackages.
package ops
