// Package report writes the results of a benchmark to a folder: a JSON file, and
// plots of the response times as PNG and SVG.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/corianderhook/corianderhook/lab/bench"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// curvePoints is the number of steps between the quantiles of a curve.
	curvePoints = 200
)

// Report describes a run of a scenario, with its baseline if it has one.
type Report struct {
	Scenario string    `json:"scenario"`
	Help     string    `json:"help"`
	Seed     uint64    `json:"seed"`
	Policy   string    `json:"policy"`
	Commit   string    `json:"commit"`
	Written  time.Time `json:"written"`
	Size     Size      `json:"size"`
	// Line is the last line of the output, Figures its figures by name.
	Line    string             `json:"line"`
	Figures map[string]float64 `json:"figures"`
	Misses  []string           `json:"misses"`
	// Wasted is the number of messages that led to no task start, per started task, by
	// cause.
	Wasted map[string]float64 `json:"wasted"`
	Runs   []Run              `json:"runs"`
}

// Size is the size of the system that was measured.
type Size struct {
	Entries int `json:"entries"`
	Agents  int `json:"agents"`
	Slots   int `json:"slots_per_agent"`
}

// Run holds what was measured with one policy.
type Run struct {
	Policy string `json:"policy"`
	// Ratios are the quantiles, from 0 to 1 in equal steps, of the ratio of response
	// time to ideal time over the completed jobs outside the flood.
	Ratios []float64 `json:"ratios"`
	// Outcomes are the numbers of jobs per outcome.
	Outcomes map[string]int `json:"outcomes"`
}

// AddRun adds what was measured with a policy. A run without a completed job has no
// ratios.
func (r *Report) AddRun(policy string, m bench.Measurement) {
	run := Run{Policy: policy, Outcomes: m.Summary.Outcomes}
	ratios := m.NonFloodRatios()
	for i := 0; i <= curvePoints && len(ratios) > 0; i++ {
		run.Ratios = append(run.Ratios, bench.Quantile(ratios, float64(i)/curvePoints))
	}
	r.Runs = append(r.Runs, run)
}

// Write writes NAME-seed-N.json, .png and .svg to a folder, which it creates if
// needed.
func (r *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	base := filepath.Join(folder, r.baseName())
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "report %q", base)
	}
	if err := os.WriteFile(base+".json", append(raw, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "report")
	}
	p, err := r.plot()
	if err != nil {
		return errors.Wrapf(err, "plot %q", base)
	}
	for _, ext := range []string{".png", ".svg"} {
		if err := p.Save(plotWidth, plotHeight, base+ext); err != nil {
			return errors.Wrapf(err, "plot %q", base+ext)
		}
	}
	return nil
}

// plot draws, for each policy, the cumulative distribution of the ratio of response
// time to ideal time.
func (r *Report) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.title()
	p.X.Label.Text = "response time / ideal response time"
	p.Y.Label.Text = "share of completed jobs outside the flood"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i, run := range r.Runs {
		if len(run.Ratios) == 0 {
			continue
		}
		line, err := plotter.NewLine(curve(run.Ratios))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(run.Policy, line)
	}
	return p, nil
}

// curve returns the points of a curve from quantiles in equal steps. The ratios are
// raised to minRatio, as the logarithmic axis needs values above zero.
func curve(ratios []float64) plotter.XYs {
	const minRatio = 1e-3
	xy := make(plotter.XYs, 0, len(ratios))
	for i, ratio := range ratios {
		xy = append(xy, plotter.XY{X: max(ratio, minRatio), Y: float64(i) / float64(len(ratios)-1)})
	}
	return xy
}
