package e2e

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"caperdrum.org/e2e/harness"
)

// newestLog returns the path of the newest log file of a control process.
func newestLog(t *testing.T, c *harness.Control) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(c.DataDir, "log-*"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no log file in %s: %v", c.DataDir, err)
	}
	return names[len(names)-1]
}

func rewrite(t *testing.T, path string, change func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(data), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestTornTail appends part of a record to a log, as a crash in the middle of a write does. The process must
// recover all synced records and keep its identity as a voter.
func TestTornTail(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	for _, tail := range tornTails {
		victim := s.Leader()
		voters := s.Status(victim).Voters
		victim.Kill()
		rewrite(t, newestLog(t, victim), func(data []byte) []byte {
			return append(data, partialRecord(data, tail.size)...)
		})
		s.Leader(victim)
		victim.Start()
		s.AwaitCaughtUp(victim)
		s.AwaitVoters()
		if now := s.Status(s.Leader()).Voters; !slices.Equal(now, voters) {
			t.Fatalf("%s: voters %v, %v before the crash", tail.name, now, voters)
		}
		load.Await(phase / 4)
	}
	load.Finish()
	noUnknownOutcomes(t, load)
}

// tornTails are the parts of a record that a crash may leave; whole is its size in bytes.
var tornTails = []struct {
	name string
	size func(whole int) int
}{
	{"part of the header", func(int) int { return 3 }},
	{"header", func(int) int { return headerSize }},
	{"all but the last byte", func(whole int) int { return whole - 1 }},
}

// headerSize is the size of a record's header in the log, in bytes (package wal).
const headerSize = 12

// partialRecord returns the beginning of a copy of the log's first record.
func partialRecord(log []byte, size func(whole int) int) []byte {
	whole := headerSize + int(binary.LittleEndian.Uint32(log))
	return slices.Clone(log[:size(whole)])
}

// TestCorruptMiddle corrupts the log of a stopped process before its end. The process must refuse to start
// and tell the operator what to do; with an empty data folder it rejoins under a new identity.
func TestCorruptMiddle(t *testing.T) {
	t.Parallel()
	for name, at := range map[string]func(size int) int{
		"body":   func(size int) int { return size / 2 },
		"length": func(int) int { return 3 }, // of the first record, which then extends past the end of the log
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			corruptMiddle(t, at)
		})
	}
}

func corruptMiddle(t *testing.T, at func(size int) int) {
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	victim := s.Controls[1]
	victim.Kill()
	path := newestLog(t, victim)
	rewrite(t, path, func(data []byte) []byte {
		data[at(len(data))] ^= 0x01
		return data
	})
	victim.Start()
	harness.Eventually(t, func() string {
		if s.Status(victim) != nil {
			t.Fatal("started with a corrupt log")
		}
		if victim.PID() != 0 {
			return "the exit of " + victim.Name
		}
		return ""
	})
	if status := victim.Wait(); status != 1 {
		t.Errorf("exit status %d with a corrupt log", status)
	}
	harness.MustContain(t, victim.Log(), "corrupt", filepath.Base(path), "move the data folder away")
	wipe(t, victim)
	victim.Start()
	s.AwaitVoters()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

func wipe(t *testing.T, c *harness.Control) {
	t.Helper()
	if err := os.RemoveAll(c.DataDir); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(c.DataDir, 0o700); err != nil {
		t.Fatal(err)
	}
}

// TestWipedFolder restarts a voter with an empty data folder. It must not vote under its old identity; repair
// adds it as a new replica.
func TestWipedFolder(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	victim := s.Controls[2]
	old := s.Status(victim).Voters
	victim.Kill()
	wipe(t, victim)
	victim.Start()
	harness.Eventually(t, func() string {
		st := s.Status(s.Leader())
		if st == nil || len(st.Voters) != 3 || st.Repair != "" || fmt.Sprint(st.Voters) == fmt.Sprint(old) {
			return fmt.Sprintf("a new voter in place of one of %v: %+v", old, st)
		}
		return ""
	})
	// The new replica has the whole state: the cluster must survive the loss of another voter.
	s.MustApply(2, harness.Text("second"))
	other := s.Leader(victim)
	other.Kill()
	s.MustApply(3, harness.Text("third"))
	other.Start()
	s.AwaitVersion(3)
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

// TestSecondLossAfterRepair loses the disk of one voter, waits until repair is complete, and then loses
// another one.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{Controls: 4})
	load := s.StartLoad()
	load.Await(phase)
	lost := []*harness.Control{}
	for number := uint64(2); number <= 3; number++ {
		victim := voter(t, s, lost)
		victim.Kill()
		wipe(t, victim)
		lost = append(lost, victim)
		if number == 2 {
			awaitReplaced(t, s, victim)
		}
		s.MustApply(number, harness.Text(fmt.Sprint(number)))
	}
	s.AwaitVersion(3)
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

// voter returns the leader, which must not be one of the lost voters.
func voter(t *testing.T, s *harness.System, lost []*harness.Control) *harness.Control {
	t.Helper()
	return s.Leader(lost...)
}

func awaitReplaced(t *testing.T, s *harness.System, victim *harness.Control) {
	t.Helper()
	harness.Eventually(t, func() string {
		st := s.Status(s.Leader(victim))
		if st == nil || len(st.Voters) != 3 || len(st.Learners) > 0 || st.Repair != "" || strings.Contains(fmt.Sprint(st.Voters), victim.Name) {
			return fmt.Sprintf("%s to be replaced: %+v", victim.Name, st)
		}
		return ""
	})
}

// TestFullDisk limits the size of the leader's files so that a write fails. The replica must log a clear
// message, suspend itself until writes succeed again, resume in a new log file, and lose nothing that it
// acknowledged, even if it is killed later.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	leader := s.Leader()
	leader.LimitFileSize(fileSize(t, newestLog(t, leader)) + 16<<10)
	harness.Eventually(t, func() string {
		if !strings.Contains(string(leader.Log()), "replica goes on") {
			return leader.Name + " to resume after a failed write"
		}
		return ""
	})
	harness.MustContain(t, leader.Log(), "replica suspended", "disk=full", "write failed", "free space")
	s.Leader()
	load.Await(phase)
	leader.Kill()
	s.Leader(leader)
	load.Await(phase)
	leader.Start()
	s.AwaitVoters()
	if _, err := s.Admin().Config(context.Background()); err != nil {
		t.Error(err)
	}
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}

func fileSize(t *testing.T, path string) int64 {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}
