package commands

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/request/history"
)

// ExplainCommand reconstructs the history of a request from log files.
type ExplainCommand struct {
	ID    string   `arg:"" help:"ID of the request: the last part of the path that its caller used."`
	Files []string `arg:"" name:"file" help:"Logs of dispatchers and sidecars; they may be truncated, span restarts, or be collected in one file."`
}

// Run prints the causes of the outcome first, then every line about the request in order,
// with the time since the first line that names the request. A ~ marks lines that don't
// name it: events of the same processes shortly before and after them.
func (c *ExplainCommand) Run(s *Streams) error {
	h := history.New(c.ID)
	for _, path := range c.Files {
		if err := readLog(h, path); err != nil {
			return usageError{err}
		}
	}
	if !h.Found() {
		return errors.Errorf("no line of %d files is about request %q", len(c.Files), c.ID)
	}
	fmt.Fprintf(s.Out, "request %s\n", c.ID)
	for _, cause := range h.Causes() {
		fmt.Fprintln(s.Out, "cause:", cause)
	}
	lines := h.Lines()
	start := lines[0].Time()
	for _, l := range lines {
		if l.Field("job") == c.ID {
			start = l.Time()
			break
		}
	}
	for _, l := range lines {
		mark := " "
		if l.Field("job") != c.ID {
			mark = "~"
		}
		text := strings.ReplaceAll(l.String(), fmt.Sprintf(" job=%q", c.ID), "")
		fmt.Fprintf(s.Out, "%s %+9.4f s  %-22s %s\n", mark, l.Time().Sub(start).Seconds(), l.Source(), text)
	}
	if n := h.Skipped(); n > 0 {
		fmt.Fprintf(s.Out, "%d lines of the files are not events or are truncated\n", n)
	}
	return nil
}

func readLog(h *history.History, path string) error {
	log, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	return h.Read(strings.TrimSuffix(filepath.Base(path), ".log"), log)
}
