package audit_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/logstore"
	"github.com/corianderhook/corianderhook/process/audit"
)

// TestOutageKeepsRecordsInOrderAndMarksThemLate runs a trail over an outage of
// the log on a fake clock.
func TestOutageKeepsRecordsInOrderAndMarksThemLate(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	clock := clockwork.NewFakeClock()
	log := logstore.New(clock)
	log.SetFaults(logclient.Faults{Down: true})
	trail := audit.New(log, clock)
	go trail.Run(ctx)
	trail.Add(audit.Record{Who: "e1", What: "claim", Subject: "slot 1"})
	trail.Add(audit.Record{Who: "e1", What: "drain", Subject: "e1"})
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the first append has failed
	is.Equal(trail.Pending(), 2)
	clock.Advance(10 * time.Second)
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // and again
	log.SetFaults(logclient.Faults{})
	clock.Advance(time.Second)
	batch, err := log.Read(ctx, audit.Stream, 1, time.Hour) // waits for the second record
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	batch, err = log.Read(ctx, audit.Stream, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	for i, what := range []string{"claim", "drain"} {
		var r audit.Record
		is.NoErr(json.Unmarshal(batch.Records[i], &r))
		is.Equal(r.What, what)
		is.True(r.Late)
		is.True(r.ID != "")
	}
}
