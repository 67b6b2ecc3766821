package main

import (
	"io"
	"strings"
	"unicode/utf8"
)

const (
	// lineWidth is the maximum width of a printed table in characters.
	lineWidth = 100
	columnGap = "  "
)

// printTable writes rows under a header. The widest columns are truncated, with
// a mark, until a line fits lineWidth.
func printTable(w io.Writer, header []string, rows [][]string) {
	all := append([][]string{header}, rows...)
	widths := make([]int, len(header))
	for _, row := range all {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	fitWidths(widths)
	for _, row := range all {
		var line strings.Builder
		for i, cell := range row {
			cell = truncate(cell, widths[i])
			line.WriteString(cell)
			line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
			line.WriteString(columnGap)
		}
		io.WriteString(w, strings.TrimRight(line.String(), " ")+"\n")
	}
}

// fitWidths shortens the widest column until the line fits.
func fitWidths(widths []int) {
	total := len(columnGap) * (len(widths) - 1)
	for _, width := range widths {
		total += width
	}
	for ; total > lineWidth; total-- {
		widest := 0
		for i := range widths {
			if widths[i] > widths[widest] {
				widest = i
			}
		}
		widths[widest]--
	}
}

func truncate(s string, width int) string {
	if utf8.RuneCountInString(s) <= width {
		return s
	}
	return string([]rune(s)[:width-1]) + "…"
}
