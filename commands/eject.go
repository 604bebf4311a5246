package commands

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/corianderhook/corianderhook/version/publication"
)

// ejectedFile is the published file that lists the agents ejected by operators.
const ejectedFile = "90-ejected.ini"

// EjectCommand stops sending tasks to an agent.
type EjectCommand struct {
	Operator
	Author string `help:"Who ejects it; with --admin, the operator that the token belongs to."`
	Reason string `required:"" help:"Reason for the ejection."`
	Agent  string `arg:"" help:"Process name of the agent; the ejection outlasts restarts of the agent."`
}

// Run publishes the ejection. Tasks that run at the agent finish normally.
func (c *EjectCommand) Run(s *Streams) error {
	if err := checkReason(c.Reason); err != nil {
		return err
	}
	return c.updatePublished(s, ejectedFile, c.Author, func(file *ini.File) error {
		section, err := file.NewSection("eject " + c.Agent)
		if err != nil {
			return usageError{errors.Wrapf(err, "agent %q", c.Agent)}
		}
		section.Key("reason").SetValue(c.Reason)
		return nil
	})
}

// checkReason checks a reason that becomes a value in a published file.
func checkReason(reason string) error {
	if strings.ContainsAny(reason, "\r\n") {
		return usageError{errors.Errorf("--reason %q must be one line", reason)}
	}
	return nil
}

// ReadmitCommand ends the ejection of an agent.
type ReadmitCommand struct {
	Operator
	Author string `help:"Who readmits it; with --admin, the operator that the token belongs to."`
	Agent  string `arg:"" help:"Process name of the agent."`
}

// Run publishes the end of the ejection.
func (c *ReadmitCommand) Run(s *Streams) error {
	return c.deletePublishedSection(s, ejectedFile, c.Author, "eject "+c.Agent, errors.Errorf("agent %q is not ejected by an operator", c.Agent))
}

// deletePublishedSection publishes a file without one of its sections. It returns the error
// missing if the file in force does not have the section.
func (o *Operator) deletePublishedSection(s *Streams, name, author, section string, missing error) error {
	return o.updatePublished(s, name, author, func(file *ini.File) error {
		if !file.HasSection(section) {
			return missing
		}
		file.DeleteSection(section)
		return nil
	})
}

// updatePublished edits a published file and publishes the result as a replacement of the
// version that it read.
func (o *Operator) updatePublished(s *Streams, name, author string, edit func(*ini.File) error) error {
	state, err := o.publishedState()
	if err != nil {
		return err
	}
	published := state.Files[name]
	file, err := ini.Load([]byte(published.Text))
	if err != nil {
		return errors.Wrapf(err, "published file %q", name)
	}
	if err := edit(file); err != nil {
		return err
	}
	var text bytes.Buffer
	if _, err := file.WriteTo(&text); err != nil {
		return errors.Wrapf(err, "file %q", name)
	}
	return o.publish(s, publication.Change{File: name, Base: published.Version, Author: author, Text: text.String()})
}
