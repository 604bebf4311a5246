package zonegate

import "github.com/jonboulle/clockwork"

// Meter registers the gauges of a gate.
type Meter interface {
	RegisterGauge(name, help string, read func() float64)
}

// RegisterMetrics registers the gauges of a gate.
func RegisterMetrics(m Meter, g *Gate, clock clockwork.Clock) {
	m.RegisterGauge("corianderhook_evacuated_zones", "Availability zones where no task may start.", func() float64 {
		return float64(len(g.State().Zones()))
	})
	m.RegisterGauge("corianderhook_evacuation_view_age_seconds", "Time since the set of evacuated zones was known to be the newest; -1 if it never was.", func() float64 {
		age, confirmed := g.Age(clock.Now())
		if !confirmed {
			return -1
		}
		return age.Seconds()
	})
}
