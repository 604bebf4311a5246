package commands

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/request/history"
)

// ExplainCommand tells what became of a request.
type ExplainCommand struct {
	ID    string   `arg:"" help:"The request's id: the last part of the path that its caller used."`
	Files []string `arg:"" name:"file" help:"Logs of dispatchers and sidecars; those cut off, of several lives, or collected in one file will do."`
}

// Run prints the cause first, then every line about the request in order.
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
	began := lines[0].At()
	for _, l := range lines {
		if l.Field("job") == c.ID {
			began = l.At()
			break
		}
	}
	for _, l := range lines {
		mark := " "
		if l.Field("job") != c.ID {
			mark = "~"
		}
		text := strings.ReplaceAll(l.String(), fmt.Sprintf(" job=%q", c.ID), "")
		fmt.Fprintf(s.Out, "%s %+9.4f s  %-22s %s\n", mark, l.At().Sub(began).Seconds(), l.Source(), text)
	}
	if n := h.Skipped(); n > 0 {
		fmt.Fprintf(s.Out, "%d lines of the files are no events or were cut off\n", n)
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
