package entry

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/version/publication"
	"github.com/corianderhook/corianderhook/wire"
)

// configSnapshotEvery is the number of records between snapshots of the
// published files.
const configSnapshotEvery = 100

// followConfig folds the configuration stream and puts what it accepts into force.
func (e *Entry) followConfig(ctx context.Context) {
	var from uint64
	for ctx.Err() == nil {
		from = max(from, e.published.Load().Next)
		batch, err := e.deps.Log.Read(ctx, publication.Stream, from, readWait)
		if err != nil {
			klog.V(1).InfoS("CH0301 log read failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, retryRead)
			continue
		}
		for i, raw := range batch.Records {
			e.applyConfig(ctx, batch.From+uint64(i), raw)
		}
		from = batch.From + uint64(len(batch.Records))
	}
}

func (e *Entry) applyConfig(ctx context.Context, offset uint64, raw []byte) {
	e.adoptMu.Lock()
	defer e.adoptMu.Unlock()
	verdict := e.adopted.Apply(offset, raw)
	if !verdict.Accepted && verdict.ID != "" {
		klog.InfoS("CH0503 configuration change is void", "entry", e.self.Instance, "change", verdict.ID, "reason", verdict.Reason)
	}
	e.enforce()
	if waiter := e.verdicts[verdict.ID]; waiter != nil {
		waiter <- verdict
		delete(e.verdicts, verdict.ID)
	}
	if offset%configSnapshotEvery == configSnapshotEvery-1 {
		go e.snapshotConfig(ctx)
	}
}

// snapshotConfig appends what is in force, for readers that come after the
// records have expired. A repeated snapshot changes nothing.
func (e *Entry) snapshotConfig(ctx context.Context) {
	raw, err := json.Marshal(publication.Record{Snapshot: e.published.Load()})
	if err == nil {
		_, err = e.deps.Log.Append(ctx, publication.Stream, raw)
	}
	if err != nil {
		klog.V(1).InfoS("CH0303 log append failed", "entry", e.self.Instance, "error", err)
	}
}

// enforce puts the folded files into force. The caller holds adoptMu.
func (e *Entry) enforce() {
	state := e.adopted.State()
	former := e.published.Load().Version
	if state.Version != former {
		merged, err := state.Merge(e.deps.Files)
		if err != nil {
			klog.ErrorS(err, "CH0502 published configuration does not fit this process's own files", "entry", e.self.Instance, "version", state.Version)
			return
		}
		e.config.Store(merged)
		e.metrics.SetConfigVersion(state.Version)
		// What it says of agents holds from the next message on.
		e.deps.System.Root.Send(e.owner, slowTick{})
		klog.InfoS("CH0501 configuration in force", "entry", e.self.Instance, "version", state.Version)
	}
	e.published.Store(&state)
}

// ConfigVersion returns the number of published changes in force.
func (e *Entry) ConfigVersion() uint64 { return e.published.Load().Version }

// Adopt takes what a peer has in force where it is newer, so that an entry that
// starts while the log is down has the newest that any peer holds.
func (e *Entry) Adopt(newer *wire.ConfigVersion) {
	e.adoptMu.Lock()
	defer e.adoptMu.Unlock()
	state := publication.State{
		Next:    newer.GetNext(),
		Version: newer.GetVersion(),
		Recent:  newer.GetRecent(),
		Files:   map[string]publication.File{},
	}
	for _, f := range newer.GetFiles() {
		state.Files[f.GetName()] = publication.File{Version: f.GetVersion(), Text: f.GetText(), Author: f.GetAuthor()}
	}
	e.adopted.Restore(state)
	e.enforce()
}

func configWire(s publication.State) *wire.ConfigVersion {
	w := &wire.ConfigVersion{Version: s.Version, Next: s.Next, Recent: s.Recent}
	for name, f := range s.Files {
		w.Files = append(w.Files, &wire.ConfigFile{Name: name, Version: f.Version, Text: f.Text, Author: f.Author})
	}
	return w
}
