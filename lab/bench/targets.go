package bench

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

func sortFloats(f []float64) { sort.Float64s(f) }

// ParseFigures parses the figures of a last line, "bench NAME: a=1 b=2".
func ParseFigures(line string) (map[string]float64, error) {
	_, rest, found := strings.Cut(line, ": ")
	if !found {
		return nil, fmt.Errorf("line %q has no figures", line)
	}
	figures := map[string]float64{}
	for _, part := range strings.Fields(rest) {
		name, value, _ := strings.Cut(part, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("figure %q of line %q is not a number", part, line)
		}
		figures[name] = number
	}
	return figures, nil
}

// MissedTargets compares the figures of a last line with the scenario's targets and
// returns a message for each target that is missed.
func MissedTargets(s Scenario, line string) ([]string, error) {
	figures, err := ParseFigures(line)
	if err != nil {
		return nil, err
	}
	var misses []string
	for _, t := range s.Targets {
		value, known := figures[t.Figure]
		if !known {
			return nil, fmt.Errorf("scenario %q reports no figure %q", s.Name, t.Figure)
		}
		if t.Max != nil && value > *t.Max {
			misses = append(misses, fmt.Sprintf("%s: %s=%g is over %g", s.Name, t.Figure, value, *t.Max))
		}
		if t.Min != nil && value < *t.Min {
			misses = append(misses, fmt.Sprintf("%s: %s=%g is under %g", s.Name, t.Figure, value, *t.Min))
		}
	}
	return misses, nil
}
