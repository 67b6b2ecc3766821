// Package report holds the comparison of policies in its subpackages.
package report
