package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/node/entry"
	"github.com/corianderhook/corianderhook/process/audit"
)

// The record of a drain must be in the log before the drain is acknowledged: an entry
// without slots to hand over stops within milliseconds and would lose it. If the log is
// down, the entry drains all the same and says that the record is missing.
func TestDrainRequestIsAuditedBeforeItIsAcknowledged(t *testing.T) {
	for name, c := range map[string]struct {
		faults  logclient.Faults
		missing bool
	}{
		"slow log": {faults: logclient.Faults{DelayMS: 300}},
		"log down": {faults: logclient.Faults{Down: true}, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			system, err := local.Start(ctx, local.Settings{
				Entries: 1, Agents: 1, Slots: 1, Zones: 1, Clock: clockwork.NewRealClock(), System: actor.NewActorSystem(),
			})
			is.NoErr(err)
			defer system.Stop()
			is.NoErr(system.WaitReady(ctx, 1))
			system.Log().SetFaults(c.faults)
			response, err := http.Post("http://"+system.Entries()[0].AdminAddress+"/v1/drain", "application/json", nil)
			is.NoErr(err)
			defer response.Body.Close()
			var answer entry.DrainAnswer
			is.NoErr(json.NewDecoder(response.Body).Decode(&answer))
			is.Equal(response.StatusCode, http.StatusAccepted)
			is.Equal(answer.AuditError != "", c.missing)
			system.Log().SetFaults(logclient.Faults{})
			is.Equal(countRecords(ctx, t, system, "drain-request"), map[bool]int{false: 1, true: 0}[c.missing])
		})
	}
}

// countRecords counts the records of a kind in the audit stream.
func countRecords(ctx context.Context, t *testing.T, system *local.Local, what string) int {
	t.Helper()
	batch, err := system.Log().Read(ctx, audit.Stream, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, raw := range batch.Records {
		var r audit.Record
		if err := json.Unmarshal(raw, &r); err != nil {
			t.Fatal(err)
		}
		if r.What == what {
			count++
		}
	}
	return count
}
