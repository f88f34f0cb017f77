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

// TestTornTail leaves a part of a record at the end of a log, as a crash during a
// write does. The process must restart with everything that it had synced, and vote
// under its previous identity.
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
			return append(data, tornRecord(data, tail.size)...)
		})
		s.Leader(victim)
		victim.Start()
		s.AwaitBack(victim)
		s.AwaitVoters()
		if now := s.Status(s.Leader()).Voters; !slices.Equal(now, voters) {
			t.Fatalf("%s: voters %v, before the crash %v", tail.name, now, voters)
		}
		load.Await(phase / 4)
	}
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

// tornTails are what a crash leaves of a record of which the whole has more bytes.
var tornTails = []struct {
	name string
	size func(whole int) int
}{
	{"part of the header", func(int) int { return 3 }},
	{"header", func(int) int { return headerSize }},
	{"all but the last byte", func(whole int) int { return whole - 1 }},
}

// headerSize is what stands before a record's body, in bytes (package wal).
const headerSize = 12

// tornRecord returns the beginning of a copy of the log's first record.
func tornRecord(log []byte, size func(whole int) int) []byte {
	whole := headerSize + int(binary.LittleEndian.Uint32(log))
	return slices.Clone(log[:size(whole)])
}

// TestCorruptMiddle damages the log of a stopped process before its end. The
// process must refuse to start and name the remedy; once that is followed, repair
// adds it under a new identity.
func TestCorruptMiddle(t *testing.T) {
	t.Parallel()
	for name, at := range map[string]func(size int) int{
		"body":   func(size int) int { return size / 2 },
		"length": func(int) int { return 3 }, // of the first record, which then reaches past the end
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
			return "an end of " + victim.Name
		}
		return ""
	})
	if status := victim.Wait(); status != 1 {
		t.Errorf("exit status %d with a corrupt log", status)
	}
	harness.MustHold(t, victim.Log(), "corrupt", filepath.Base(path), "move the data folder away")
	wipe(t, victim)
	victim.Start()
	s.AwaitVoters()
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
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

// TestWipedFolder restarts a voter with an empty folder: it must not vote under its
// old identity, and repair adds it as a new replica.
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
			return fmt.Sprintf("another voter in place of one of %v: %+v", old, st)
		}
		return ""
	})
	// The new replica holds the whole state: the other two may go.
	s.MustApply(2, harness.Text("second"))
	other := s.Leader(victim)
	other.Kill()
	s.MustApply(3, harness.Text("third"))
	other.Start()
	s.AwaitVersion(3)
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

// TestSecondLossAfterRepair loses a voter's disk for good, waits until repair
// is reported done, and loses a second one at once.
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
	checkNoUnknownOutcome(t, load)
}

// voter returns a voter that is not lost; the leader first.
func voter(t *testing.T, s *harness.System, lost []*harness.Control) *harness.Control {
	t.Helper()
	return s.Leader(lost...)
}

func awaitReplaced(t *testing.T, s *harness.System, victim *harness.Control) {
	t.Helper()
	harness.Eventually(t, func() string {
		st := s.Status(s.Leader(victim))
		if st == nil || len(st.Voters) != 3 || len(st.Learners) > 0 || st.Repair != "" || strings.Contains(fmt.Sprint(st.Voters), victim.Name) {
			return fmt.Sprintf("%s replaced: %+v", victim.Name, st)
		}
		return ""
	})
}

// TestFullDisk limits the size of the leader's files so that a write fails. It must
// log a clear message and take no part until it can write again, resume by itself
// in a new file, and lose nothing that it had acknowledged, also if it is killed
// later.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	leader := s.Leader()
	leader.LimitFiles(fileSize(t, newestLog(t, leader)) + 16<<10)
	harness.Eventually(t, func() string {
		if !strings.Contains(string(leader.Log()), "replica goes on") {
			return leader.Name + " goes on after a failed write"
		}
		return ""
	})
	harness.MustHold(t, leader.Log(), "replica suspended", "disk=full", "write failed", "free space")
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
	checkNoUnknownOutcome(t, load)
}

func fileSize(t *testing.T, path string) int64 {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}
