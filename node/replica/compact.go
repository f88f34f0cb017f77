package replica

import (
	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// snapshotResult is a snapshot that a background goroutine has encoded and stored.
type snapshotResult struct {
	snap *consensus.Snapshot
	err  error
}

// maybeCompact replaces a long log by a snapshot. The loop only captures the state and, once the snapshot is
// durable, starts a new log file after it; encoding and writing take longer than an election timeout and run
// in the background.
func (r *Replica) maybeCompact() error {
	select {
	case c := <-r.snapshotDone:
		return r.finishSnapshot(c)
	default:
	}
	if !r.snapshotRunning && r.log.Size() >= max(r.compactBytes, r.snapshotBytes) {
		r.startSnapshot()
	}
	return nil
}

// startSnapshot starts a snapshot of the applied state. At most one is in progress.
func (r *Replica) startSnapshot() {
	snap := r.node.Capture()
	if snap == nil {
		return
	}
	image := r.machine.Capture()
	r.snapshotRunning = true
	go func() {
		err := r.writeSnapshot(snap, image)
		r.snapshotDone <- snapshotResult{snap, errors.Trace(err)}
	}()
}

// writeSnapshot runs concurrently with the loop and must not use anything that the loop changes.
func (r *Replica) writeSnapshot(snap *consensus.Snapshot, image *state.Image) (err error) {
	if snap.Data, err = image.Encode(); err != nil {
		return err
	}
	return r.log.WriteSnapshot(snap)
}

// finishSnapshot starts a new log file after a durable snapshot. The file begins with every entry that came
// after the capture.
func (r *Replica) finishSnapshot(c snapshotResult) error {
	r.snapshotRunning = false
	if c.err != nil {
		return c.err
	}
	if !r.node.Compact(c.snap) {
		return nil
	}
	index := c.snap.Index
	if err := r.log.StartAfter(c.snap, r.node.HardState(), r.node.EntriesAfter(index)); err != nil {
		return errors.Trace(err)
	}
	r.snapshotBytes = int64(len(c.snap.Data))
	r.opts.Log.Info("snapshot stored", "index", index, "bytes", len(c.snap.Data))
	r.trimLog(index)
	return nil
}

// discardSnapshot waits for a snapshot in progress and discards its result. A received snapshot supersedes
// it, and nothing may write to the folder after Run has returned.
func (r *Replica) discardSnapshot() error {
	if !r.snapshotRunning {
		return nil
	}
	r.snapshotRunning = false
	return (<-r.snapshotDone).err
}

// trimLog keeps the last entries before the snapshot at index in memory for followers that lag slightly: at
// most trailingEntries of them and trailingBytes of data. It drops the older ones.
func (r *Replica) trimLog(index uint64) {
	first := r.node.Status().CompactedIndex
	if index > trailingEntries {
		first = max(first, index-trailingEntries)
	}
	entries := r.node.EntriesAfter(first)
	entries = entries[:index-first]
	size := 0
	for k := len(entries); k > 0; k-- {
		if size += len(entries[k-1].Data); size > trailingBytes {
			first = entries[k-1].Index
			break
		}
	}
	r.node.TrimLog(first)
}
