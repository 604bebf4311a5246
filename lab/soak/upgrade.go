package soak

import (
	"context"
	"slices"
	"time"
)

// firstBinary returns the program that the processes run at first.
func (c *cluster) firstBinary() string {
	if c.settings.PreviousBinary != "" {
		return c.settings.PreviousBinary
	}
	return c.settings.Binary
}

// upgrade replaces the processes of the previous build one after the other, spread over the
// time of the disruptions: with an even seed the dispatchers first, otherwise the sidecars.
// What a disruption restarts before its turn comes back with the previous build.
func (c *cluster) upgrade(ctx context.Context) {
	if c.settings.PreviousBinary == "" {
		return
	}
	list := c.programs()
	if c.settings.Seed%2 == 1 {
		slices.Reverse(list)
	}
	interval := c.settings.DisruptionTime / time.Duration(len(list)+1)
	for _, p := range list {
		c.pause(ctx, interval)
		p.SetPath(c.settings.Binary)
		c.markDisturbed(p.Name(), stopTimeout)
		p.Stop(stopTimeout)
		c.restart(p)
		c.markDisturbed(p.Name(), 0)
	}
}

// sharing returns the settings of the sharing parts: registrars are played, unless the previous build
// may not know them.
func (c *cluster) sharing() string {
	if c.settings.PreviousBinary != "" {
		return ""
	}
	return "[sharing]\nholders = on\n"
}
