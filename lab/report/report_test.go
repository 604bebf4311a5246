package report_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/lab/report"
)

func TestWriteReport(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "new", "folder")
	r := report.Report{
		Scenario: "flood-low", Seed: 7, Commit: "0123456789abcdef", Line: "bench flood-low: kept=1.000",
		Figures: map[string]float64{"kept": 1},
		Runs: []report.Run{
			{Policy: "fair", Ratios: []float64{1, 1.1, 1.5}, Outcomes: map[string]int{"complete": 3}},
			{Policy: "baseline"}, // nothing was completed
		},
	}
	is.NoErr(r.Write(folder))
	raw, err := os.ReadFile(filepath.Join(folder, "flood-low-seed-7.json"))
	is.NoErr(err)
	var read report.Report
	is.NoErr(json.Unmarshal(raw, &read))
	is.Equal(read, r)
	raw, err = os.ReadFile(filepath.Join(folder, "flood-low-seed-7.png"))
	is.NoErr(err)
	_, err = png.Decode(bytes.NewReader(raw))
	is.NoErr(err)
	raw, err = os.ReadFile(filepath.Join(folder, "flood-low-seed-7.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(raw), "seed 7"))
	is.True(strings.Contains(string(raw), "0123456789ab"))

	is.NoErr(os.WriteFile(filepath.Join(folder, "file"), nil, 0o600))
	is.True(r.Write(filepath.Join(folder, "file")) != nil)
}
