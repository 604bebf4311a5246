package entry

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/version/publication"
	"github.com/corianderhook/corianderhook/wire"
)

// configSnapshotInterval is the number of records between snapshots of the published files.
const configSnapshotInterval = 100

// followConfigStream applies the records of the configuration stream and activates the
// changes that are accepted.
func (e *Entry) followConfigStream(ctx context.Context) {
	var from uint64
	for ctx.Err() == nil {
		from = max(from, e.published.Load().Next)
		batch, err := e.deps.Log.Read(ctx, publication.Stream, from, maxReadWait)
		if err != nil {
			klog.V(1).InfoS("CH0301 log read failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, logRetryDelay)
			continue
		}
		for i, raw := range batch.Records {
			e.applyConfigRecord(ctx, batch.From+uint64(i), raw)
		}
		from = batch.From + uint64(len(batch.Records))
	}
}

func (e *Entry) applyConfigRecord(ctx context.Context, offset uint64, raw []byte) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	result := e.publication.Apply(offset, raw)
	if !result.Accepted && result.ID != "" {
		klog.InfoS("CH0503 configuration change rejected", "entry", e.self.Instance, "change", result.ID, "reason", result.Reason)
	}
	e.activateConfig()
	if results := e.applyResults[result.ID]; results != nil {
		results <- result
		delete(e.applyResults, result.ID)
	}
	if offset%configSnapshotInterval == configSnapshotInterval-1 {
		go e.appendConfigSnapshot(ctx)
	}
}

// appendConfigSnapshot appends a snapshot of the published files, for readers that start
// after the log has dropped the records. A repeated snapshot changes nothing.
func (e *Entry) appendConfigSnapshot(ctx context.Context) {
	raw, err := json.Marshal(publication.Record{Snapshot: e.published.Load()})
	if err == nil {
		_, err = e.deps.Log.Append(ctx, publication.Stream, raw)
	}
	if err != nil {
		klog.V(1).InfoS("CH0303 log append failed", "entry", e.self.Instance, "error", err)
	}
}

// activateConfig puts the applied records into force if they have changed the version.
// The caller holds configMu.
func (e *Entry) activateConfig() {
	state := e.publication.State()
	previous := e.published.Load().Version
	if state.Version != previous {
		merged, err := state.Merge(e.deps.Files)
		if err != nil {
			klog.ErrorS(err, "CH0502 published configuration cannot be merged with the local files", "entry", e.self.Instance, "version", state.Version)
			return
		}
		e.config.Store(merged)
		e.metrics.SetConfigVersion(state.Version)
		// Applies a change of the ejected agents without waiting for the next slow tick.
		e.deps.System.Root.Send(e.owner, slowTick{})
		klog.InfoS("CH0501 configuration in force", "entry", e.self.Instance, "version", state.Version)
	}
	e.published.Store(&state)
}

// ConfigVersion returns the number of published configuration changes in force.
func (e *Entry) ConfigVersion() uint64 { return e.published.Load().Version }

// Adopt merges the published files of a peer if they are newer, so that an entry that starts
// while the log is down still gets the newest version that any peer has.
func (e *Entry) Adopt(newer *wire.ConfigVersion) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	state := publication.State{
		Next:    newer.GetNext(),
		Version: newer.GetVersion(),
		Recent:  newer.GetRecent(),
		Files:   map[string]publication.File{},
	}
	for _, f := range newer.GetFiles() {
		state.Files[f.GetName()] = publication.File{Version: f.GetVersion(), Text: f.GetText(), Author: f.GetAuthor()}
	}
	e.publication.Restore(state)
	e.activateConfig()
}

// configMessage returns the published files as they are sent to peers and agents.
func configMessage(s publication.State) *wire.ConfigVersion {
	w := &wire.ConfigVersion{Version: s.Version, Next: s.Next, Recent: s.Recent}
	for name, f := range s.Files {
		w.Files = append(w.Files, &wire.ConfigFile{Name: name, Version: f.Version, Text: f.Text, Author: f.Author})
	}
	return w
}
