package replica

import (
	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// captured is a snapshot that another goroutine encoded and stored.
type captured struct {
	snap *consensus.Snapshot
	err  error
}

// maybeCompact replaces a long log by a snapshot. The loop only captures the
// state and, once the snapshot is durable, starts the log behind it; encoding
// and writing take longer than an election timeout and run beside the loop.
func (r *Replica) maybeCompact() error {
	select {
	case c := <-r.captured:
		return r.install(c)
	default:
	}
	if !r.capturing && r.log.Size() >= max(r.compactBytes, r.snapshotBytes) {
		r.capture()
	}
	return nil
}

// capture starts a snapshot of what is applied. At most one is in work.
func (r *Replica) capture() {
	snap := r.node.Capture()
	if snap == nil {
		return
	}
	image := r.machine.Capture()
	r.capturing = true
	go func() {
		err := r.store(snap, image)
		r.captured <- captured{snap, errors.Trace(err)}
	}()
}

// store runs beside the loop: it uses nothing that the loop changes.
func (r *Replica) store(snap *consensus.Snapshot, image *state.Image) (err error) {
	if snap.Data, err = image.Encode(); err != nil {
		return err
	}
	return r.log.WriteSnapshot(snap)
}

// install starts the log behind a snapshot that is durable. The new file holds
// every entry that came after the capture.
func (r *Replica) install(c captured) error {
	r.capturing = false
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
	r.trim(index)
	return nil
}

// dropCapture waits for the snapshot in work and makes it void. A received
// snapshot replaces it, and nothing may write to the folder after Run.
func (r *Replica) dropCapture() error {
	if !r.capturing {
		return nil
	}
	r.capturing = false
	return (<-r.captured).err
}

// trim keeps the newest entries before the snapshot for followers that lag a
// little, bounded in number and bytes.
func (r *Replica) trim(index uint64) {
	first := r.node.Status().First
	if index > trailing {
		first = max(first, index-trailing)
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
