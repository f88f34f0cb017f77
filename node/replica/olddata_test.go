package replica

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/state"
	"caperdrum.org/node/wal"
)

// The folders were written by a replica of commit b04f5da. For oldLog it took 17 commands, one per minute, and a
// learner; then a snapshot; then 20 commands, in which every part of a Command occurs, and a second learner.
// For oldSnapshot it then took another snapshot. Leases are not stored. The generator was a test in package
// replica of that commit, which is not kept; it used a fixed clock, seed and disk-id. Do not write the files anew
// with later code: the test is that later code can read them.
const (
	oldLog      = "testdata/b04f5da/log"
	oldSnapshot = "testdata/b04f5da/snapshot"
)

var oldStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// oldTime is the time of the command of that minute, in milliseconds since the Unix epoch.
func oldTime(minute int) int64 {
	return oldStart.Add(time.Duration(minute) * time.Minute).UnixMilli()
}

const (
	oldText1 = "[service:order-desk]\nkind = plain\nrepeatable = false\n"
	oldText2 = "[service:order-desk]\nkind = plain\nrepeatable = false\n\n[service:llm]\nkind = engine\nconcurrency = 16\n"
	oldText4 = "[service:order-desk]\nkind = plain\nrepeatable = false\n\n[service:llm]\nkind = engine\nconcurrency = 4\n"
	oldDisk  = "5b0f6a0e-4c1d-4b5e-9d2a-0c6f3a7e1b24"
)

// oldText5 is long enough for its command to be compressed.
var oldText5 = strings.Repeat("# a long text is stored packed\n", 200) + oldText4

var (
	oldVoter    = consensus.Peer{ID: "c0/" + oldDisk, Address: "10.0.0.1:7100"}
	oldLearner1 = consensus.Peer{ID: "c1/one", Address: "10.0.0.2:7100"}
	oldLearner2 = consensus.Peer{ID: "c2/two", Address: "10.0.0.3:7100"}
)

func oldClaim(key string, incarnation uint64) wire.ClaimRequest {
	return wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: "foundry", Key: key}, BodyHash: "hash-" + key, Attempt: wire.AttemptID("attempt-" + key),
		Endpoint: "agent-desk-1", Gate: "10.0.0.26:7200", Incarnation: incarnation, RequestID: wire.RequestID("request-" + key)}
}

func oldQuarantine(f wire.Fingerprint, s wire.QuarantineState, minute int, upstreams ...wire.MemberID) wire.QuarantineEntry {
	e := wire.QuarantineEntry{Call: wire.CallSummary{Fingerprint: f, Shape: 1<<63 + 5, Customer: "foundry", Route: "chat", Bytes: 4}, State: s, Since: oldTime(minute)}
	for _, id := range upstreams {
		e.Upstreams = append(e.Upstreams, wire.Start{ID: id, Incarnation: 7})
	}
	return e
}

func oldForecast(peaks map[int]uint32) []uint32 {
	day := make([]uint32, state.ForecastSlots)
	for slot, peak := range peaks {
		day[slot] = peak
	}
	return day
}

// oldSnapshotView is the state in the snapshot, after minute 17.
func oldSnapshotView() state.View {
	return state.View{
		Config: wire.ConfigText{Version: 2, Text: oldText2, Hash: xxhash.Sum64String(oldText2)}, Winner: "change-2",
		MembersSeq: 6,
		Members: map[wire.MemberID]wire.Member{
			"entry-1":        {ID: "entry-1", Role: "entry", VM: "vm-entry-1", DataCenter: "aspropyrgos", Debug: "10.0.0.11:7102", Incarnation: 11, Peer: "10.0.0.11:7300"},
			"agent-engine-1": {ID: "agent-engine-1", Role: "agent", VM: "vm-engine-1", DataCenter: "elefsina", Debug: "10.0.0.21:7102", Service: "llm", Gate: "10.0.0.21:7200", Incarnation: 21, Leaving: true, Holds: "desk-chat@3/lot"},
			"i-1":            {ID: "i-1", Role: "upstream", VM: "vm-i-1", DataCenter: "marousi", Service: "order-desk", Incarnation: 7, Direct: "10.0.0.31:80", Revision: 1, Version: "v1", Cold: true},
			"i-2":            {ID: "i-2", Role: "upstream", VM: "vm-i-2", DataCenter: "koropi", Service: "order-desk", Incarnation: 7, Direct: "10.0.0.32:80", Revision: 1, Version: "v2"},
		},
		LedgerEntries: 2, LedgerBytes: 1049,
		ChangeHistory: oldHistory()[:3],
		Orders: map[wire.MemberID]state.OrderRecord{"engine-1": {
			Order: wire.Order{Upstream: "engine-1", Token: 2, Kind: "load", Artifact: wire.Artifact{Model: "desk-chat", Version: "3", Adapter: "lot"}, Role: "decode", Bytes: 3000, Timeout: 90 * time.Second},
			State: "open", Issued: oldTime(14)}},
		Forecast: map[string][]uint32{"order-desk": oldForecast(map[int]uint32{3: 1500})},
		Fences:   map[wire.MemberID]uint64{"engine-1": 2}, Fence: 2,
		Owner:       wire.StageOwner{ID: "entry-1", Incarnation: 11, Peer: "10.0.0.11:7300", Epoch: 1},
		Evacuations: wire.Evacuations{Revision: 1, List: []wire.Evacuation{{DataCenter: "marousi", Revision: 1, Evacuated: true, Since: oldTime(15)}}},
		Suspects:    wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: "f", Shape: 1<<63 + 5, Barred: true}}},
		Quarantine: []wire.QuarantineEntry{oldQuarantine("f", "barred", 16, "i-1", "i-2", "i-3"),
			oldQuarantine("g", "suspected", 16, "i-1"), oldQuarantine("h", "cleared", 16)},
		Rollouts: wire.Rollouts{Revision: 1, List: []wire.Rollout{{Service: "order-desk", Target: "v2", Span: 10 * time.Hour, State: "running",
			Replaced: []string{"v1"}, Revision: 1, Order: 1, Started: oldTime(17), Author: "desk"}}},
	}
}

// oldLogView is the state after the last entry of the log, at minute 37.
func oldLogView() state.View {
	return state.View{
		Config: wire.ConfigText{Version: 5, Text: oldText5, Hash: 1579048513503865818}, Winner: "change-5",
		MembersSeq: 9,
		Members: map[wire.MemberID]wire.Member{
			"entry-1": {ID: "entry-1", Role: "entry", VM: "vm-entry-1", DataCenter: "aspropyrgos", Debug: "10.0.0.11:7102", Incarnation: 11, Peer: "10.0.0.11:7300"},
			"i-1":     {ID: "i-1", Role: "upstream", VM: "vm-i-1", DataCenter: "marousi", Service: "order-desk", Incarnation: 7, Direct: "10.0.0.31:80", Revision: 2, Version: "v1"},
			"i-2":     {ID: "i-2", Role: "upstream", VM: "vm-i-2", DataCenter: "koropi", Service: "order-desk", Incarnation: 7, Direct: "10.0.0.32:80", Revision: 1, Version: "v2"},
			"i-3":     {ID: "i-3", Role: "upstream", VM: "vm-i-3", DataCenter: "koropi", Service: "order-desk", Incarnation: 8, Direct: "10.0.0.33:80", Revision: 4, Version: "v2"},
		},
		LedgerEntries: 4, LedgerBytes: 2115,
		ChangeHistory: oldHistory(),
		Orders: map[wire.MemberID]state.OrderRecord{"engine-1": {
			Order: wire.Order{Upstream: "engine-1", Token: 5, Kind: "unload", Artifact: wire.Artifact{Model: "desk-chat"}}, State: "open", Issued: oldTime(26)}},
		Forecast: map[string][]uint32{"order-desk": oldForecast(map[int]uint32{3: 1500, 4: 1750}), "llm": oldForecast(map[int]uint32{95: 20})},
		Fences:   map[wire.MemberID]uint64{"engine-1": 5, "engine-2": 3}, Fence: 5,
		Owner: wire.StageOwner{ID: "entry-2", Incarnation: 12, Peer: "10.0.0.12:7300", Epoch: 2},
		Evacuations: wire.Evacuations{Revision: 3, List: []wire.Evacuation{
			{DataCenter: "koropi", Revision: 1, Evacuated: true, Since: oldTime(28)}, {DataCenter: "marousi", Revision: 2, Since: oldTime(27)}}},
		Suspects: wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: "f", Shape: 1<<63 + 5, Barred: true}}},
		Quarantine: []wire.QuarantineEntry{oldQuarantine("f", "barred", 16, "i-1", "i-2", "i-3"), oldQuarantine("h", "cleared", 16),
			oldQuarantine("k", "suspected", 29, "i-2"), oldQuarantine("m", "cleared", 29)},
		Rollouts: wire.Rollouts{Revision: 3, List: []wire.Rollout{
			{Service: "llm", Target: "v9", Span: time.Hour, State: "running", Revision: 1, Order: 1, Started: oldTime(32), Author: "administrators"},
			{Service: "order-desk", Target: "v2", Span: 10 * time.Hour, State: "running", Share: 0.25, Replaced: []string{"v1"}, Revision: 2, Order: 1,
				Started: oldTime(17), Author: "desk", Reason: "no failures so far"},
		}},
	}
}

func oldHistory() []wire.ChangeInfo {
	return []wire.ChangeInfo{
		{Number: 1, ChangeID: "change-1", Author: "administrators", Accepted: true, At: oldTime(5), Sections: []string{"service:order-desk"}},
		{Number: 2, ChangeID: "change-2", Author: "desk", Accepted: true, At: oldTime(6), Sections: []string{"service:llm"}},
		{Number: 2, ChangeID: "change-late", Author: "desk", Reason: "the number is not the current version plus one", At: oldTime(7)},
		{Number: 5, ChangeID: "change-5", Author: "administrators", Accepted: true, At: oldTime(20), Sections: []string{"service:llm"}},
	}
}

func oldTeams(key2ends int) []wire.TeamInfo {
	return []wire.TeamInfo{
		{Name: "administrators", Role: "administrator", Keys: []wire.KeyInfo{{ID: "key-1", CreatedAt: oldTime(2)}}},
		{Name: "desk", Role: "operator", Services: []string{"order-desk"}, Pipelines: []string{"quote"}, Keys: []wire.KeyInfo{{ID: "key-2", CreatedAt: oldTime(4), ExpiresAt: oldTime(key2ends)}}},
	}
}

// oldLogTeams are the teams after the last entry of the log.
func oldLogTeams() []wire.TeamInfo {
	return append(oldTeams(500), wire.TeamInfo{Name: "viewers", Role: "viewer", Keys: []wire.KeyInfo{{ID: "key-3", CreatedAt: oldTime(37)}}})
}

func same(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s:\n got %+v\nwant %+v", what, got, want)
	}
}

// sameView compares all exported fields except TextHistory and Teams by value, and those two by their content.
func sameView(t *testing.T, got *state.View, want state.View, teams []wire.TeamInfo) {
	t.Helper()
	g, w := reflect.ValueOf(*got), reflect.ValueOf(want)
	for i := range g.NumField() {
		f := g.Type().Field(i)
		if f.IsExported() && f.Name != "TextHistory" && f.Name != "Teams" {
			same(t, f.Name, g.Field(i).Interface(), w.Field(i).Interface())
		}
	}
	same(t, "TextHistory", got.TextHistory.Text(), want.Config)
	same(t, "Teams", got.Teams.List(), teams)
}

// sameKeys checks the hashes and ends of the keys.
func sameKeys(t *testing.T, teams *state.Teams, key2ends int, viewers string) {
	t.Helper()
	end := time.UnixMilli(oldTime(key2ends))
	for _, c := range []struct {
		id, secret string
		at         time.Time
		want       string
	}{
		{"key-1", "secret-1", end, "administrators"}, {"key-1", "secret-2", end, ""},
		{"key-2", "secret-2", end.Add(-time.Millisecond), "desk"}, {"key-2", "secret-2", end, ""},
		{"key-3", "secret-3", end, viewers},
	} {
		team, ok := teams.Authenticate(c.id, c.secret, c.at)
		if team.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s with %s at %v: %q %v, want %q", c.id, c.secret, c.at, team.Name, ok, c.want)
		}
	}
}

func copyOld(t *testing.T, folder string) *disk.Dir {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return openDir(t, dir)
}

// openOld opens the folder with a clock that only the test advances.
func openOld(t *testing.T, fs disk.FS, minute int) *Replica {
	clock := clockwork.NewFakeClockAt(time.UnixMilli(oldTime(minute)))
	r, err := Open(Options{Name: "c0", Address: "10.0.0.1:7100", FS: fs, Transport: discardTransport{}, Log: logr.Discard(), Seed: 1, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// lead runs the replica and ticks it until it leads and has applied its log.
func (r *Replica) lead(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	waitUntil(func() bool {
		if len(ended) > 0 || r.Outage() != nil {
			t.Fatalf("the replica stopped, or is suspended: %v", r.Outage())
		}
		s := r.Status()
		if s.Role != consensus.Leader {
			r.runOnLoop(ctx, r.node.Tick)
		}
		return s.Role == consensus.Leader && s.Applied == s.LastIndex
	})
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}

// loopStatus returns the status after everything that was proposed before.
func (r *Replica) loopStatus() (s consensus.Status) {
	r.runOnLoop(context.Background(), func() { s = r.node.Status() })
	return s
}

func (r *Replica) mustPropose(t *testing.T, c state.Command) state.Result {
	t.Helper()
	res, err := r.Propose(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func sameStatus(t *testing.T, s consensus.Status, term, last, committed, snapshot uint64, learners ...consensus.Peer) {
	t.Helper()
	same(t, "term, last, committed, compacted and snapshot index", []uint64{s.Term, s.LastIndex, s.Committed, s.CompactedIndex, s.SnapshotIndex},
		[]uint64{term, last, committed, snapshot, snapshot})
	same(t, "ID", s.ID, oldVoter.ID)
	same(t, "Membership", s.Membership, consensus.Membership{Voters: []consensus.Peer{oldVoter}, Learners: learners})
}

// What the files hold must have the present names and numbers: encoded again, it is the same bytes. A new field
// that is stored even if it is zero would change them; such a change needs a decision on this check.
func TestStoredBytesOfTheOldBuild(t *testing.T) {
	log, stored, err := wal.Open(copyOld(t, oldLog))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	same(t, "DiskID", stored.DiskID, oldDisk)
	same(t, "HardState", stored.HardState, consensus.HardState{Term: 2, Vote: oldVoter.ID, Commit: 40})
	if stored.Snapshot == nil || len(stored.Entries) != 21 {
		t.Fatalf("snapshot %v, %d entries", stored.Snapshot, len(stored.Entries))
	}
	snap := stored.Snapshot
	same(t, "snapshot position", []uint64{snap.Index, snap.Term}, []uint64{20, 2})
	same(t, "snapshot membership", snap.Membership, consensus.Membership{Voters: []consensus.Peer{oldVoter}, Learners: []consensus.Peer{oldLearner1}})
	m := state.New()
	if err := m.Restore(snap.Data); err != nil {
		t.Fatal(err)
	}
	if again, err := m.Snapshot(); err != nil || !bytes.Equal(again, snap.Data) {
		t.Errorf("the state of the snapshot is encoded as\n%x, not\n%x (%v)", again, snap.Data, err)
	}
	for i, e := range stored.Entries {
		same(t, "entry position", []uint64{e.Index, e.Term}, []uint64{21 + uint64(i), 2})
		if e.Index == 41 {
			same(t, "kind of the last entry", e.Kind, consensus.EntryMembership)
			continue
		}
		same(t, "kind of a command's entry", e.Kind, consensus.EntryNormal)
		data := e.Data
		if e.Index == 23 { // the long text
			if data[0] != 1 {
				t.Fatalf("entry %d begins with %x", e.Index, data[0])
			}
			if data, err = wire.Decompress(data[1:]); err != nil {
				t.Fatal(err)
			}
		}
		var c state.Command
		if err := cbor.Unmarshal(data, &c); err != nil {
			t.Fatal(err)
		}
		same(t, "time of the command", c.Now, oldTime(int(e.Index)-3))
		if again, err := cbor.Marshal(c); err != nil || !bytes.Equal(again, data) {
			t.Errorf("entry %d is encoded as\n%x, not\n%x (%v)", e.Index, again, data, err)
		}
	}
}

// The present code must go on from a folder of the old build, and find all of its content in what is stored.
func TestFolderOfTheOldBuild(t *testing.T) {
	fs := copyOld(t, oldLog)
	r := openOld(t, fs, 40)
	sameStatus(t, r.Status(), 2, 41, 40, 20, oldLearner1)
	sameView(t, r.View(), oldSnapshotView(), oldTeams(600))
	sameKeys(t, r.View().Teams, 600, "")

	stop := r.lead(t)
	sameStatus(t, r.loopStatus(), 3, 42, 42, 20, oldLearner1, oldLearner2)
	teams := oldLogTeams()
	sameView(t, r.View(), oldLogView(), teams)
	sameKeys(t, r.View().Teams, 500, "viewers")
	r.sameLedger(t)
	r.sameChanges(t)
	want := oldLogView()
	r.sameBudget(t, &want)
	sameStatus(t, r.loopStatus(), 3, 47, 47, 20, oldLearner1, oldLearner2)
	sameView(t, r.View(), want, teams)
	stop()

	r = openOld(t, fs, 41)
	defer r.lead(t)()
	sameStatus(t, r.loopStatus(), 4, 48, 48, 20, oldLearner1, oldLearner2)
	sameView(t, r.View(), want, teams)
	sameKeys(t, r.View().Teams, 500, "viewers")
}

// sameLedger compares the ledger's entries by claims that change nothing.
func (r *Replica) sameLedger(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want []wire.ClaimRequest
	}{
		{29 * time.Minute, []wire.ClaimRequest{oldClaim("open", 2)}}, {29*time.Minute + time.Millisecond, nil},
		{18 * time.Minute, []wire.ClaimRequest{oldClaim("open", 2), oldClaim("late-open", 3)}}, {18*time.Minute + time.Millisecond, []wire.ClaimRequest{oldClaim("open", 2)}},
	} {
		got, err := r.UnsettledClaims(context.Background(), c.age, 9, func(wire.AttemptID) bool { return false })
		if err != nil {
			t.Fatal(err)
		}
		same(t, "unsettled claims after "+c.age.String(), got, c.want)
	}
	again := func(key string) wire.ClaimRequest {
		c := oldClaim(key, 9)
		c.Attempt = "another"
		return c
	}
	other := oldClaim("settled", 1)
	other.BodyHash = "other"
	settled, lateSettled, open, lateOpen := oldClaim("settled", 1), oldClaim("late-settled", 4), oldClaim("open", 2), oldClaim("late-open", 3)
	got := r.mustPropose(t, state.Command{LedgerLimit: 1, Claims: []wire.ClaimRequest{again("settled"), again("late-settled"), again("open"), again("late-open"), again("released"), other}})
	same(t, "claims", got.Claims, []wire.ClaimReply{
		{State: "settled", Holder: &settled, Outcome: &wire.Outcome{Verdict: verdict.Ran, Status: 200, ContentType: "application/json", Body: []byte(`{"confirmation":"c1"}`)}},
		{State: "settled", Holder: &lateSettled, Outcome: &wire.Outcome{Verdict: verdict.MayHaveRun, Status: 502, ContentType: "text/plain", Body: []byte("lost")}},
		{State: "held", Holder: &open}, {State: "held", Holder: &lateOpen}, {State: "full"}, {State: "mismatch"},
	})
}

// sameChanges compares the first answers of changes by sending two of them again.
func (r *Replica) sameChanges(t *testing.T) {
	late := r.mustPropose(t, state.Command{Change: &wire.ChangeRequest{Number: 2, Text: oldText1, ChangeID: "change-late"}}).Change
	same(t, "change-late", *late, wire.ChangeResult{Version: 2, Reason: "the number is not the current version plus one", Winner: "change-2", Resent: true})
	last := r.mustPropose(t, state.Command{Change: &wire.ChangeRequest{Number: 5, Text: oldText5, ChangeID: "change-5"}}).Change
	same(t, "change-5", *last, wire.ChangeResult{Accepted: true, Version: 5, Resent: true})
}

// sameBudget takes exactly what is left in the weight store's budget: 2500 bytes, and 100 for a second.
func (r *Replica) sameBudget(t *testing.T, want *state.View) {
	load := func(bytes int64) state.OrderIssue {
		return state.OrderIssue{After: 3, Order: wire.Order{Upstream: "engine-2", Kind: wire.OrderLoad, Artifact: wire.Artifact{Model: "desk-chat"}, Bytes: bytes}}
	}
	var got []state.IssueResult
	for _, bytes := range []int64{2601, 2600} {
		c := state.OrderCommand{Epoch: 2, Elapsed: 7000, Rate: 100, Burst: 5000, Issue: []state.OrderIssue{load(bytes)}}
		got = append(got, r.mustPropose(t, state.Command{Orders: &c}).Orders...)
	}
	same(t, "orders", got, []state.IssueResult{{Refused: state.RefusedBudget}, {Token: 6}})
	want.Fence = 6
	want.Fences["engine-2"] = 6
	want.Orders["engine-2"] = state.OrderRecord{State: wire.OrderOpen, Issued: oldTime(40),
		Order: wire.Order{Upstream: "engine-2", Token: 6, Kind: wire.OrderLoad, Artifact: wire.Artifact{Model: "desk-chat"}, Bytes: 2600}}
}

// A snapshot whose text is compressed must hold the same state as the log before it.
func TestCompactedFolderOfTheOldBuild(t *testing.T) {
	fs := copyOld(t, oldSnapshot)
	r := openOld(t, fs, 40)
	sameStatus(t, r.Status(), 2, 41, 41, 41, oldLearner1, oldLearner2)
	sameView(t, r.View(), oldLogView(), oldLogTeams())
	sameKeys(t, r.View().Teams, 500, "viewers")
	stop := r.lead(t)
	r.sameLedger(t)
	r.sameChanges(t)
	want := oldLogView()
	r.sameBudget(t, &want)
	stop()
	r = openOld(t, fs, 41)
	defer r.lead(t)()
	sameView(t, r.View(), want, oldLogTeams())
}
