package commands

import (
	"io"
	"os"
)

// colour is an escape sequence. All have the same length, so that tabwriter still aligns
// the columns of a table.
type colour string

const (
	plain  colour = "\x1b[39m"
	red    colour = "\x1b[31m"
	green  colour = "\x1b[32m"
	yellow colour = "\x1b[33m"

	clearScreen = "\x1b[H\x1b[2J"
)

// isTerminal reports whether the output is a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// colourizer returns a function that colours text if the output is a terminal, and returns
// it unchanged otherwise.
func colourizer(out io.Writer) func(string, colour) string {
	if !isTerminal(out) {
		return func(text string, _ colour) string { return text }
	}
	return func(text string, c colour) string { return string(c) + text + string(plain) }
}
