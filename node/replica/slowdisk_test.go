package replica

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/wal"
)

// slowDisk delays every sync.
type slowDisk struct {
	disk.FS
	clock *clockwork.FakeClock
	takes time.Duration
}

// Create implements disk.FS.
func (d *slowDisk) Create(name string) (disk.File, error) {
	f, err := d.FS.Create(name)
	return slowFile{f, d}, err
}

type slowFile struct {
	disk.File
	disk *slowDisk
}

// Sync implements disk.File.
func (f slowFile) Sync() error {
	f.disk.clock.Advance(f.disk.takes)
	return f.File.Sync()
}

// TestSlowDiskIsLogged stalls a replica's disk: no command is committed meanwhile, but the leader stays, so
// that nothing except this log line shows the reason.
func TestSlowDiskIsLogged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fs := &slowDisk{FS: disktest.New(1), clock: clock}
	log, _, err := wal.Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	r := &Replica{log: log, opts: Options{Clock: clock, Log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}}
	for i, takes := range []time.Duration{slowSaveTime - time.Millisecond, slowSaveTime, 8 * time.Second} {
		fs.takes = takes
		if err := r.save(consensus.Ready{Entries: []consensus.Entry{{Index: uint64(i) + 1, Term: 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) != 2 || !strings.Contains(lines[1], "slow log write") || !strings.Contains(lines[1], "8s") {
		t.Errorf("logged %q", lines)
	}
}
