package usage_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/usage"
)

func TestReportsAreAboutTheirInterval(t *testing.T) {
	i := is.New(t)
	var m usage.Meter
	now := time.Unix(1_700_000_000, 0)
	m.Add(usage.Requests, 7)
	r := usage.NewReporter(&m, now, time.Second)
	m.Add(usage.Requests, 30)
	m.AddTime(usage.DecisionTime, 1500*time.Microsecond)
	report := r.Next(now.Add(10*time.Second), 3*time.Second)
	i.Equal(report.Count(usage.Requests), uint64(30))
	i.Equal(report.Count(usage.DecisionTime), uint64(1500))
	i.Equal(report.Processor, 2*time.Second)
	i.Equal(report.Share(), 0.2)
	i.Equal(report.Details(), []any{
		"interval", 10 * time.Second, "processor", 2 * time.Second, "requests", uint64(30), "decision-time-us", uint64(1500),
	})
	i.Equal(m.Total(usage.Requests), uint64(37))
	i.Equal(len(r.Next(now.Add(20*time.Second), 3*time.Second).Details()), 4)
}

func TestKindsHaveNamesOfTheirOwn(t *testing.T) {
	i := is.New(t)
	names := map[string]bool{}
	for _, k := range usage.Kinds() {
		names[k.String()] = true
	}
	i.Equal(len(names), len(usage.Kinds()))
	i.True(!names[""])
}
