// Package report writes what an experiment measured to a folder: one JSON file,
// and plots of the response times as PNG and SVG.
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
	// points is the number of quantiles that a plotted line has.
	points = 200
)

// Report is one run of a scenario, with its baseline where it has one.
type Report struct {
	Scenario string    `json:"scenario"`
	Help     string    `json:"help"`
	Seed     uint64    `json:"seed"`
	Policy   string    `json:"policy"`
	Commit   string    `json:"commit"`
	Written  time.Time `json:"written"`
	Size     Size      `json:"size"`
	// Line is the last line of the run, Figures its figures by name.
	Line    string             `json:"line"`
	Figures map[string]float64 `json:"figures"`
	Misses  []string           `json:"misses"`
	// Wasted are messages without a task per started task, by cause.
	Wasted map[string]float64 `json:"wasted"`
	Runs   []Run              `json:"runs"`
}

// Size is the size of the system that was measured.
type Size struct {
	Entries int `json:"entries"`
	Agents  int `json:"agents"`
	Slots   int `json:"slots_per_agent"`
}

// Run are the quantiles of one policy, from 0 to 1 in equal steps.
type Run struct {
	Policy string `json:"policy"`
	// Ratios are response times over the ideal ones of completed jobs.
	Ratios []float64 `json:"ratios"`
	// Outcomes are the numbers of jobs per outcome.
	Outcomes map[string]int `json:"outcomes"`
}

// Add adds what a policy measured. A run without a completed job has no ratios.
func (r *Report) AddRun(policy string, o bench.Measurement) {
	run := Run{Policy: policy, Outcomes: o.Summary.Outcomes}
	ratios := o.NonFloodRatios()
	for i := 0; i <= points && len(ratios) > 0; i++ {
		run.Ratios = append(run.Ratios, bench.Quantile(ratios, float64(i)/points))
	}
	r.Runs = append(r.Runs, run)
}

// Write writes NAME-seed-N.json, .png and .svg to a folder, which it makes.
func (r *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	base := filepath.Join(folder, r.name())
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
	for _, form := range []string{".png", ".svg"} {
		if err := p.Save(plotWidth, plotHeight, base+form); err != nil {
			return errors.Wrapf(err, "plot %q", base+form)
		}
	}
	return nil
}

// plot draws, for each policy, the share of jobs that took at most so many times
// the ideal time.
func (r *Report) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.title()
	p.X.Label.Text = "response time over the ideal"
	p.Y.Label.Text = "share of completed jobs beside the flood"
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

// curve pairs quantiles with their shares. A logarithm needs figures above zero.
func curve(ratios []float64) plotter.XYs {
	const least = 1e-3
	xy := make(plotter.XYs, 0, len(ratios))
	for i, ratio := range ratios {
		xy = append(xy, plotter.XY{X: max(ratio, least), Y: float64(i) / float64(len(ratios)-1)})
	}
	return xy
}
