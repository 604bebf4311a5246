package commands

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/corianderhook/corianderhook/version/evacuation"
)

// evacuatedFile is the published file that lists the evacuated availability zones.
const evacuatedFile = "91-evacuated.ini"

// EvacuateCommand stops starting tasks in an availability zone.
type EvacuateCommand struct {
	Operator
	Author string `help:"Who evacuates it; with --admin, the operator that the token belongs to."`
	Reason string `required:"" help:"Reason for the evacuation."`
	Force  bool   `help:"Evacuate a zone of which the entry at --admin knows no agent."`
	Zone   string `arg:"" help:"Name of the availability zone."`
}

// Run publishes the evacuation. Tasks that run in the zone finish normally.
func (c *EvacuateCommand) Run(s *Streams) error {
	if err := checkReason(c.Reason); err != nil {
		return err
	}
	if _, valid := (evacuation.State{}).With(c.Zone, true); !valid {
		return usageError{errors.Errorf("zone %q: must be printable ASCII without spaces and slashes, at most 64 bytes", c.Zone)}
	}
	if err := c.checkZone(); err != nil {
		return err
	}
	return c.updatePublished(s, evacuatedFile, c.Author, func(file *ini.File) error {
		section, err := file.NewSection("evacuate " + c.Zone)
		if err != nil {
			return usageError{errors.Wrapf(err, "zone %q", c.Zone)}
		}
		section.Key("reason").SetValue(c.Reason)
		if !section.HasKey("since") {
			section.Key("since").SetValue(time.Now().UTC().Format(time.RFC3339))
		}
		return nil
	})
}

// checkZone checks that the entry knows an agent in the zone, so that a mistyped name is not
// taken for a successful evacuation.
func (c *EvacuateCommand) checkZone() error {
	if c.Admin == "" || c.Force {
		return nil
	}
	var status processStatus
	if err := c.callAdmin(http.MethodGet, c.Admin, "/v1/status", nil, &status); err != nil {
		return err
	}
	if !slices.Contains(status.Zones, c.Zone) {
		return usageError{errors.Errorf("zone %q: the entry knows agents in %s only; --force evacuates it all the same", c.Zone, strings.Join(status.Zones, ", "))}
	}
	return nil
}

// LiftCommand ends the evacuation of an availability zone.
type LiftCommand struct {
	Operator
	Author string `help:"Who ends it; with --admin, the operator that the token belongs to."`
	Zone   string `arg:"" help:"Name of the availability zone."`
}

// Run publishes the end of the evacuation.
func (c *LiftCommand) Run(s *Streams) error {
	return c.deletePublishedSection(s, evacuatedFile, c.Author, "evacuate "+c.Zone, errors.Errorf("zone %q is not evacuated", c.Zone))
}
