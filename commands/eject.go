package commands

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/corianderhook/corianderhook/version/publication"
)

// ejectedFile is the published file that holds what operators decide of agents.
const ejectedFile = "90-ejected.ini"

// EjectCommand takes an agent out.
type EjectCommand struct {
	Operator
	Author string `help:"Who ejects it; with --admin it is the operator of the token."`
	Reason string `required:"" help:"Why it is taken out."`
	Agent  string `arg:"" help:"Process name of the agent; it holds after a restart of the agent too."`
}

// Run publishes the ejection. Tasks that run at the agent go on to their end.
func (c *EjectCommand) Run(s *Streams) error {
	if strings.ContainsAny(c.Reason, "\r\n") {
		return usageError{errors.Errorf("--reason %q must be one line", c.Reason)}
	}
	return c.updateEjections(s, c.Author, func(file *ini.File) error {
		section, err := file.NewSection("eject " + c.Agent)
		if err != nil {
			return usageError{errors.Wrapf(err, "agent %q", c.Agent)}
		}
		section.Key("reason").SetValue(c.Reason)
		return nil
	})
}

// ReadmitCommand puts an agent back.
type ReadmitCommand struct {
	Operator
	Author string `help:"Who readmits it; with --admin it is the operator of the token."`
	Agent  string `arg:"" help:"Process name of the agent."`
}

// Run publishes the end of the ejection.
func (c *ReadmitCommand) Run(s *Streams) error {
	return c.updateEjections(s, c.Author, func(file *ini.File) error {
		if !file.HasSection("eject " + c.Agent) {
			return errors.Errorf("agent %q is not ejected by an operator", c.Agent)
		}
		file.DeleteSection("eject " + c.Agent)
		return nil
	})
}

// change edits the published file and publishes it over the version that was read.
func (o *Operator) updateEjections(s *Streams, author string, edit func(*ini.File) error) error {
	state, err := o.publishedState()
	if err != nil {
		return err
	}
	former := state.Files[ejectedFile]
	file, err := ini.Load([]byte(former.Text))
	if err != nil {
		return errors.Wrapf(err, "published file %q", ejectedFile)
	}
	if err := edit(file); err != nil {
		return err
	}
	var text bytes.Buffer
	if _, err := file.WriteTo(&text); err != nil {
		return errors.Wrapf(err, "file %q", ejectedFile)
	}
	return o.publish(s, publication.Change{File: ejectedFile, Base: former.Version, Author: author, Text: text.String()})
}
