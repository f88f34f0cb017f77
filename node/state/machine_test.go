package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// modelKey is the model's record of a key.
type modelKey struct {
	holder  wire.AttemptID
	body    string
	outcome *wire.Outcome
	at      int64
}

// machines applies the same commands to three machines. The second is replaced by a restored snapshot
// regularly, the third at random.
type machines struct {
	t        *rapid.T
	all      [3]*Machine
	now      int64
	keys     map[wire.ClaimKey]*modelKey
	versions []string // accepted texts, ordered by version
	answers  map[string]wire.ChangeResult
	sent     map[string]wire.ChangeRequest
	fence    uint64
}

func (s *machines) apply(c Command) Result {
	c.Now = s.now
	data, err := c.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	var first Result
	for i, m := range s.all {
		r, err := m.Apply(data)
		if err != nil {
			s.t.Fatalf("apply: %v", err)
		}
		if i == 0 {
			first = r
		} else if fmt.Sprintf("%+v", deref(r)) != fmt.Sprintf("%+v", deref(first)) {
			s.t.Fatalf("machine %d answered %+v, machine 0 %+v", i, deref(r), deref(first))
		}
	}
	return first
}

// deref replaces pointers by values, so that printed results can be compared.
func deref(r Result) []any {
	var out []any
	if r.Change != nil {
		out = append(out, *r.Change)
	}
	for _, c := range r.Claims {
		out = append(out, c.State)
		if c.Holder != nil {
			out = append(out, *c.Holder)
		}
		if c.Outcome != nil {
			out = append(out, *c.Outcome)
		}
	}
	for _, c := range r.Settles {
		out = append(out, c.Outcome)
	}
	return append(out, r.Fences)
}

var (
	genKey = rapid.Custom(func(t *rapid.T) wire.ClaimKey {
		// Pairs that would collide if customer and key were simply joined, and text that is not valid UTF-8.
		return rapid.SampledFrom([]wire.ClaimKey{{Customer: "a", Key: "b/c"}, {Customer: "a/b", Key: "c"}, {Customer: "", Key: "a"}, {Customer: "a", Key: "\xff"}}).Draw(t, "key")
	})
	genAttempt = rapid.Map(rapid.IntRange(0, 5), func(i int) wire.AttemptID { return wire.AttemptID(fmt.Sprint("attempt-", i)) })
	genMember  = rapid.Map(rapid.IntRange(0, 3), func(i int) wire.MemberID { return wire.MemberID(fmt.Sprint("member-", i)) })
)

func (s *machines) Claim(t *rapid.T) {
	c := wire.ClaimRequest{ClaimKey: genKey.Draw(t, "key"), Attempt: genAttempt.Draw(t, "attempt"), BodyHash: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")}
	got := s.apply(Command{Claims: []wire.ClaimRequest{c}}).Claims[0]
	k := s.keys[c.ClaimKey]
	want := wire.ClaimHeld
	switch {
	case k == nil:
		want = wire.ClaimGranted
		s.keys[c.ClaimKey] = &modelKey{holder: c.Attempt, body: c.BodyHash, at: s.now}
	case k.body != c.BodyHash:
		want = wire.ClaimMismatch
	case k.outcome != nil:
		want = wire.ClaimSettled
	case k.holder == c.Attempt:
		want = wire.ClaimGranted
	}
	if got.State != want {
		t.Fatalf("claim %+v: %s, want %s", c, got.State, want)
	}
	if want == wire.ClaimSettled && !sameOutcome(*got.Outcome, *k.outcome) {
		t.Fatalf("recorded %+v, want %+v", *got.Outcome, *k.outcome)
	}
}

// Held compares the unsettled claims of a certain age.
func (s *machines) Held(t *rapid.T) {
	age := int64(rapid.IntRange(0, 3).Draw(t, "age"))
	skipped := genAttempt.Draw(t, "skipped")
	want := 0
	for _, k := range s.keys {
		if k.outcome == nil && k.at <= s.now-age && k.holder != skipped {
			want++
		}
	}
	for i, m := range s.all {
		got := m.UnsettledClaims(time.UnixMilli(s.now), time.Duration(age)*time.Millisecond, 100, func(id wire.AttemptID) bool { return id == skipped })
		last := int64(0)
		for _, c := range got {
			k := s.keys[c.ClaimKey]
			if k == nil || k.holder != c.Attempt || k.outcome != nil || k.at < last {
				t.Fatalf("machine %d: %+v is unsettled, the model has %+v", i, c, k)
			}
			last = k.at
		}
		if len(got) != want {
			t.Fatalf("machine %d: %d unsettled claims, want %d", i, len(got), want)
		}
	}
}

func sameOutcome(a, b wire.Outcome) bool {
	return a.Verdict == b.Verdict && a.Status == b.Status && bytes.Equal(a.Body, b.Body)
}

func (s *machines) Settle(t *rapid.T) {
	r := wire.SettleRequest{ClaimKey: genKey.Draw(t, "key"), Attempt: genAttempt.Draw(t, "attempt")}
	r.Outcome.Verdict = rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict")
	if r.Outcome.Verdict == verdict.Ran {
		r.Outcome.Status, r.Outcome.Body = 200, rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "body")
	}
	got := s.apply(Command{Settles: []wire.SettleRequest{r}}).Settles[0].Outcome
	want := r.Outcome
	k := s.keys[r.ClaimKey]
	switch {
	case k == nil || k.holder != r.Attempt:
	case k.outcome != nil && (k.outcome.Verdict == verdict.Ran || r.Outcome.Verdict != verdict.Ran):
		want = *k.outcome
	case r.Outcome.Verdict == verdict.NotRun:
		delete(s.keys, r.ClaimKey)
	default:
		k.outcome, k.at = &r.Outcome, s.now
	}
	if !sameOutcome(got, want) {
		t.Fatalf("settle %+v: %+v, want %+v", r, got, want)
	}
}

func (s *machines) Change(t *rapid.T) {
	r := wire.ChangeRequest{Number: uint64(rapid.IntRange(0, 2).Draw(t, "ahead") + len(s.versions)), Text: rapid.StringMatching(`[a-c]`).Draw(t, "text"),
		ChangeID: fmt.Sprint("change-", len(s.sent))}
	res := *s.apply(Command{Change: &r}).Change
	wantAccepted := int(r.Number) == len(s.versions)+1
	if res.Accepted != wantAccepted {
		t.Fatalf("change %+v at version %d: %+v", r, len(s.versions), res)
	}
	if wantAccepted {
		s.versions = append(s.versions, r.Text)
	}
	s.sent[r.ChangeID], s.answers[r.ChangeID] = r, res
}

func (s *machines) ResendChange(t *rapid.T) {
	if len(s.sent) == 0 {
		t.Skip("nothing sent")
	}
	id := fmt.Sprint("change-", rapid.IntRange(0, len(s.sent)-1).Draw(t, "change"))
	r := s.sent[id]
	if rapid.Bool().Draw(t, "altered") {
		r.Text += "!"
		if res := s.apply(Command{Change: &r}).Change; res.Accepted {
			t.Fatalf("change id %s was accepted for another text", id)
		}
		return
	}
	res := *s.apply(Command{Change: &r}).Change
	if !res.Resent {
		t.Fatalf("a resend of %s was treated as new", id)
	}
	res.Resent = false
	if res != s.answers[id] {
		t.Fatalf("resend of %s: %+v, first %+v", id, res, s.answers[id])
	}
}

func (s *machines) Members(t *rapid.T) {
	id := genMember.Draw(t, "member")
	incarnation := uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	if rapid.Bool().Draw(t, "join") {
		s.apply(Command{Join: []wire.Member{{ID: id, Incarnation: incarnation, Leaving: rapid.Bool().Draw(t, "leaving")}}})
		return
	}
	s.apply(Command{Remove: []Removal{{id, incarnation}}})
}

func (s *machines) Fence(t *rapid.T) {
	token := s.apply(Command{Fences: []wire.MemberID{genMember.Draw(t, "member")}}).Fences[0]
	if token <= s.fence {
		t.Fatalf("fencing token %d after %d", token, s.fence)
	}
	s.fence = token
}

func (s *machines) Restore(t *rapid.T) {
	data, err := s.all[1].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.all[1] = New()
	if err := s.all[1].Restore(data); err != nil {
		t.Fatal(err)
	}
}

func (s *machines) Pass(t *rapid.T) {
	s.now += rapid.SampledFrom([]int64{1, LedgerLifetime.Milliseconds() / 2, LedgerLifetime.Milliseconds() + 1}).Draw(t, "ms")
	s.apply(Command{})
	for key, k := range s.keys {
		if k.at < s.now-LedgerLifetime.Milliseconds() {
			delete(s.keys, key)
		}
	}
}

// Check compares snapshots, views and the model. An image captured earlier must not have changed.
func (s *machines) Check(t *rapid.T) {
	var first []byte
	for i, m := range s.all {
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = data
		} else if !bytes.Equal(first, data) {
			t.Fatalf("machine %d differs from machine 0", i)
		}
		if m.ledger.bytes != newLedger(m.Capture().ledger).bytes {
			t.Fatalf("the ledger size %d is wrong", m.ledger.bytes)
		}
		v := m.View()
		if len(v.Members) != len(m.s.Members) || v.Config.Version != uint64(len(s.versions)) || v.LedgerEntries != len(s.keys) {
			t.Fatalf("view of machine %d: %+v", i, v)
		}
		for id, member := range m.s.Members {
			if v.Members[id] != member {
				t.Fatalf("view of machine %d has no %s", i, id)
			}
		}
		if n := len(s.versions); n > 0 && v.Config.Text != s.versions[n-1] {
			t.Fatalf("text %q, want %q", v.Config.Text, s.versions[n-1])
		}
	}
}

func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &machines{t: t, all: [3]*Machine{New(), New(), New()}, now: 1, keys: map[wire.ClaimKey]*modelKey{},
			answers: map[string]wire.ChangeResult{}, sent: map[string]wire.ChangeRequest{}}
		t.Repeat(rapid.StateMachineActions(s))
	})
}

func apply(t testing.TB, m *Machine, c Command) Result {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := m.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestLargeStateIsRestored exceeds the CBOR library's default element limit with ledger entries, changes and
// members.
func TestLargeStateIsRestored(t *testing.T) {
	const entries = 140_000
	m := New()
	for i := 0; i < entries; i += 1000 {
		apply(t, m, Command{Now: 1, Claims: claims(i, 1000)})
	}
	for i := range entries {
		id := fmt.Sprint(i)
		m.recordChange(changeRecord{ID: id})
		m.s.Members[wire.MemberID(id)] = wire.Member{ID: wire.MemberID(id)}
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := restored.View(); got.LedgerEntries != entries || len(got.Members) != entries || len(restored.s.Changes) != entries {
		t.Fatalf("%d entries, %d members and %d changes restored, want %d each", got.LedgerEntries, len(got.Members), len(restored.s.Changes), entries)
	}
}

func claims(from, n int) []wire.ClaimRequest {
	list := make([]wire.ClaimRequest, n)
	for i := range list {
		id := fmt.Sprintf("%016d", from+i)
		list[i] = wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: "customer", Key: id + id}, Attempt: wire.AttemptID(id + id + "----"),
			BodyHash: id + id + id + id, Endpoint: "desk-1", Gate: "127.0.0.1:7000", Incarnation: 1, RequestID: wire.RequestID(id + id + "----")}
	}
	return list
}

func TestFullLedgerTakesNoNewKey(t *testing.T) {
	m := New()
	list := claims(0, 3)
	const limit = 1000 // between one and two entries
	r := apply(t, m, Command{Now: 1, Claims: list, LedgerLimit: limit})
	if r.Claims[0].State != wire.ClaimGranted || r.Claims[1].State != wire.ClaimGranted || r.Claims[2].State != wire.ClaimFull {
		t.Fatalf("claims: %+v", r.Claims)
	}
	settled := apply(t, m, Command{Now: 1, Settles: []wire.SettleRequest{{ClaimKey: list[0].ClaimKey, Attempt: list[0].Attempt, Outcome: wire.Outcome{Verdict: verdict.Ran, Status: 200}}}})
	again := apply(t, m, Command{Now: 1, Claims: list[:1], LedgerLimit: limit})
	if settled.Settles[0].Outcome.Status != 200 || again.Claims[0].State != wire.ClaimSettled {
		t.Fatalf("a full ledger must still settle and replay its entries: %+v %+v", settled, again)
	}
	later := 2 + LedgerLifetime.Milliseconds()
	if r := apply(t, m, Command{Now: later, Claims: list[2:], LedgerLimit: limit}); r.Claims[0].State != wire.ClaimGranted {
		t.Fatalf("expired entries must make room: %+v", r.Claims)
	}
	if _, held := m.ledger.entries[list[1].ClaimKey]; held {
		t.Fatal("a claim that was never settled must expire as well")
	}
}

// TestCapturedImageDoesNotChange encodes an image after the machine has applied more commands.
func TestCapturedImageDoesNotChange(t *testing.T) {
	m := New()
	list := claims(0, 2)
	apply(t, m, Command{Now: 1, Claims: list, Join: []wire.Member{{ID: "a", Incarnation: 1}}})
	want, _ := m.Snapshot()
	image := m.Capture()
	apply(t, m, Command{Now: 2, Settles: []wire.SettleRequest{{ClaimKey: list[0].ClaimKey, Attempt: list[0].Attempt, Outcome: wire.Outcome{Verdict: verdict.MayHaveRun}},
		{ClaimKey: list[1].ClaimKey, Attempt: list[1].Attempt, Outcome: wire.Outcome{Verdict: verdict.NotRun}}}, Remove: []Removal{{"a", 1}},
		Change: &wire.ChangeRequest{Number: 1, ChangeID: "x"}, Fences: []wire.MemberID{"a"}})
	got, _ := image.Encode()
	if !bytes.Equal(got, want) {
		t.Fatal("the image changed with the machine")
	}
}

// TestDamagedSnapshot truncates a snapshot at every byte, and extends it by one.
func TestDamagedSnapshot(t *testing.T) {
	m := New()
	apply(t, m, Command{Now: 1, Claims: claims(0, 2), Join: []wire.Member{{ID: "a"}}})
	data, _ := m.Snapshot()
	for k := 1; k < len(data); k++ {
		if New().Restore(data[:k]) == nil {
			t.Fatalf("restored from %d of %d bytes", k, len(data))
		}
	}
	if New().Restore(append(data, 0)) == nil {
		t.Fatal("restored with an extra byte")
	}
}
