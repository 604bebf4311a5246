package audit_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/logstore"
	"github.com/corianderhook/corianderhook/process/audit"
)

// Records added during an outage of the log must be appended in order afterwards, marked
// as late.
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
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the second one, too
	log.SetFaults(logclient.Faults{})
	clock.Advance(time.Second)
	batch, err := log.Read(ctx, audit.Stream, 1, time.Hour) // waits for the second record
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	batch, err = log.Read(ctx, audit.Stream, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	for i, action := range []string{"claim", "drain"} {
		var r audit.Record
		is.NoErr(json.Unmarshal(batch.Records[i], &r))
		is.Equal(r.What, action)
		is.True(r.Late)
		is.True(r.ID != "")
	}
}

// Flush must return only once the records are in the log, and must say so if they are not:
// a process that stops right after an operator's request would lose the record otherwise.
func TestFlushWaitsForTheLog(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	clock := clockwork.NewFakeClock()
	log := logstore.New(clock)
	log.SetFaults(logclient.Faults{Down: true})
	trail := audit.New(log, clock)
	go trail.Run(ctx)
	trail.Add(audit.Record{Who: "cy", What: "drain-request", Subject: "e1"})
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the first append has failed
	ended, end := context.WithCancel(ctx)
	end()
	err := trail.Flush(ended)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "1 audit records are not in the log"))
	log.SetFaults(logclient.Faults{})
	clock.Advance(time.Second)
	is.NoErr(trail.Flush(ctx))
	batch, err := log.Read(ctx, audit.Stream, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
}
