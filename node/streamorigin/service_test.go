package streamorigin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// serviceFixture are services that reach each other over loopback.
type serviceFixture struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	services []*Service
	servers  []*peer.Server
	members  []wire.Member
}

// newServiceFixture starts n services, each in a data centre of its own. The servers of the first mute ones do not know
// the methods, as those of an earlier release.
func newServiceFixture(t testing.TB, n, mute int) *serviceFixture {
	f := &serviceFixture{t: t, clock: clockwork.NewFakeClock()}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s, server := newService(logr.Discard(), peer.DialTCP, f.clock), peer.NewServer()
		s.limits = timeouts{time.Minute, time.Minute, time.Minute} // only end a hung test
		if i >= mute {
			s.register(server)
		}
		go server.Serve(l)
		t.Cleanup(func() { server.Close(); s.cancel() })
		f.services, f.servers = append(f.services, s), append(f.servers, server)
		f.members = append(f.members, wire.Member{ID: wire.MemberID(fmt.Sprint("edge-", i)), DataCenter: fmt.Sprint("dc-", i), Peer: l.Addr().String(), Incarnation: 1})
	}
	f.announce()
	return f
}

func (f *serviceFixture) announce() {
	list := append([]wire.Member{}, f.members...)
	for i, s := range f.services {
		s.SetProcesses(wire.MemberID(fmt.Sprint("edge-", i)), list)
	}
}

func (f *serviceFixture) begin(at int, key Key, version string) bool {
	return f.services[at].Begin(context.Background(), Record{Key: key, Origin: Origin{Service: "llm", Version: version}, TTL: 12 * time.Second})
}

// settle waits until all copies that are under way have been taken.
func (f *serviceFixture) settle() {
	for _, s := range f.services {
		s.sending.Wait()
	}
}

// remove stops a process, and tells the others.
func (f *serviceFixture) remove(i int) {
	f.servers[i].Close()
	f.members = append(append([]wire.Member{}, f.members[:i]...), f.members[i+1:]...)
	f.announce()
}

// TestOriginIsFoundAtEveryProcess records streams at one process: each of the others finds them, also after the one that
// recorded them is gone, until no caller can take them up any more.
func TestOriginIsFoundAtEveryProcess(t *testing.T) {
	f := newServiceFixture(t, 5, 0)
	want := func(at int, key Key, version string) {
		t.Helper()
		if o, known := f.services[at].Find(context.Background(), key); known != (version != "") || o.Version != version {
			t.Fatalf("process %d: %+v %t of %v, want %q", at, o, known, key, version)
		}
	}
	for i := range 20 {
		key := Key{Customer: "foundry", Attempt: fmt.Sprint("a", i)}
		if !f.begin(0, key, fmt.Sprint("v", i%3)) {
			t.Fatal("no other process has a copy")
		}
	}
	for at := range 3 {
		for i := range 10 {
			want(at, Key{Customer: "foundry", Attempt: fmt.Sprint("a", i)}, fmt.Sprint("v", i%3))
		}
		want(at, Key{Customer: "foundry", Attempt: "b"}, "")
		want(at, Key{Customer: "sinter", Attempt: "a1"}, "")
		want(at, Key{Attempt: "a1"}, "")
	}
	f.remove(0)
	for i := range 20 {
		want(4, Key{Customer: "foundry", Attempt: fmt.Sprint("a", i)}, fmt.Sprint("v", i%3))
	}
	f.clock.Advance(13 * time.Second)
	for at := 1; at < 5; at++ {
		want(at, Key{Customer: "foundry", Attempt: "a1"}, "")
	}
}

// TestTwoOriginsOfOneKey records two versions under one id of one customer: neither is taken for that of the stream.
func TestTwoOriginsOfOneKey(t *testing.T) {
	f := newServiceFixture(t, 3, 0)
	key := Key{Customer: "foundry", Attempt: "a"}
	f.begin(0, key, "v1")
	f.begin(1, key, "v2")
	f.settle()
	for at, s := range f.services {
		if o, known := s.Find(context.Background(), key); known {
			t.Errorf("process %d takes %+v for the origin", at, o)
		}
	}
}

// TestProcessOfAnEarlierRelease has processes that cannot keep records: others are asked in their place.
func TestProcessOfAnEarlierRelease(t *testing.T) {
	f := newServiceFixture(t, 6, 2)
	for i := range 20 {
		key := Key{Customer: "foundry", Attempt: fmt.Sprint("a", i)}
		if !f.begin(2, key, "v1") {
			t.Fatal("no other process has a copy")
		}
		for at := 3; at < 6; at++ {
			if _, known := f.services[at].Find(context.Background(), key); !known {
				t.Errorf("stream %d is not known at process %d", i, at)
			}
		}
	}
}

// TestProcessWithoutAnswer has all other processes take connections and answer nothing: a stream begins all the same, and
// one that is taken up is not known.
func TestProcessWithoutAnswer(t *testing.T) {
	s := newService(logr.Discard(), peer.DialTCP, clockwork.NewFakeClock())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	defer s.cancel()
	s.SetProcesses("edge-0", []wire.Member{{ID: "edge-0"}, {ID: "edge-1", Peer: silent.Addr().String()}, {ID: "edge-2", Peer: silent.Addr().String()}})
	key := Key{Attempt: "a"}
	if s.Begin(context.Background(), Record{Key: key, Origin: Origin{Version: "v1"}, TTL: time.Second}) {
		t.Error("a copy was taken")
	}
	if _, known := s.Find(context.Background(), Key{Attempt: "b"}); known {
		t.Error("known without an answer")
	}
	if o, known := s.Find(context.Background(), key); !known || o.Version != "v1" {
		t.Error("the process does not know its own stream")
	}
}

// TestStoppedProcessHandsOver stops the process that began streams, and then others one after the other: the streams
// are known as long as two processes are left.
func TestStoppedProcessHandsOver(t *testing.T) {
	f := newServiceFixture(t, 5, 0)
	var keys []Key
	for i := range 20 {
		keys = append(keys, Key{Customer: "foundry", Attempt: fmt.Sprint("a", i)})
		f.begin(0, keys[i], "v1")
	}
	for len(f.members) > 2 {
		i := 0
		if len(f.members) < 5 {
			i = len(f.members) - 1
		}
		at := int(f.members[i].ID[len(f.members[i].ID)-1] - '0')
		f.members[i].Leaving = true
		f.announce()
		if err := f.services[at].Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.servers[at].Close()
		f.members = append(append([]wire.Member{}, f.members[:i]...), f.members[i+1:]...)
		f.announce()
	}
	for _, m := range f.members {
		at := int(m.ID[len(m.ID)-1] - '0')
		for _, key := range keys {
			if _, known := f.services[at].Find(context.Background(), key); !known {
				t.Errorf("%s is not known at %s", key.Attempt, m.ID)
			}
		}
	}
}

// TestSingleProcess has no other process to keep records.
func TestSingleProcess(t *testing.T) {
	s := newService(logr.Discard(), peer.DialTCP, clockwork.NewFakeClock())
	defer s.cancel()
	key := Key{Attempt: "a"}
	if s.Begin(context.Background(), Record{Key: key, TTL: time.Second}) {
		t.Error("a copy was taken")
	}
	if _, known := s.Find(context.Background(), key); !known {
		t.Error("the stream is not known")
	}
}

// TestRecordsAreBounded records more streams than are kept: those that expire first are not known any more.
func TestRecordsAreBounded(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range maxRecords + 100 {
		tracker.Take(now, Record{Key: Key{Attempt: fmt.Sprint(i)}, TTL: time.Minute + time.Duration(i)*time.Millisecond})
	}
	if tracker.Len() != maxRecords || tracker.Evicted() != 100 {
		t.Fatalf("%d records, %d dropped", tracker.Len(), tracker.Evicted())
	}
	if tracker.Find(now, Key{Attempt: "99"}).Known || !tracker.Find(now, Key{Attempt: "100"}).Known {
		t.Fatal("others were dropped than those that expire first")
	}
	if tracker.Find(now.Add(MaxTTL), Key{Attempt: "100"}).Known || tracker.Len() != 0 {
		t.Fatalf("%d records have not expired", tracker.Len())
	}
	tracker.Take(now, Record{Key: Key{Attempt: "long"}, TTL: 365 * 24 * time.Hour})
	if tracker.Find(now.Add(MaxTTL), Key{Attempt: "long"}).Known {
		t.Fatal("a record is kept for longer than MaxTTL")
	}
}

// TestPlacement checks that processes with the same members agree on the holders, that the first ones are in different
// data centres, and that a process that is added or removed moves few records.
func TestPlacement(t *testing.T) {
	var list []wire.Member
	for i := range 24 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("edge-", i)), DataCenter: fmt.Sprint("dc-", i%3)})
	}
	reversed := []wire.Member{}
	for _, m := range list {
		reversed = append([]wire.Member{m}, reversed...)
	}
	all, same, fewer := NewPlacement(list), NewPlacement(reversed), NewPlacement(list[:23])
	moved, load := 0, map[wire.MemberID]int{}
	for i := range 2000 {
		key := Key{Attempt: fmt.Sprint(i)}
		a, b, c := all.Ranked(key), same.Ranked(key), fewer.Ranked(key)
		if a[0].ID != b[0].ID || a[1].ID != b[1].ID {
			t.Fatal("two processes with the same members disagree")
		}
		if a[0].DataCenter == a[1].DataCenter {
			t.Fatal("both copies are in one data centre")
		}
		for j := range copies {
			load[a[j].ID]++
			if a[j].ID != c[j].ID {
				moved++
			}
		}
	}
	if moved > 2000*copies/4 {
		t.Errorf("%d of %d copies move with one process of 24", moved, 2000*copies)
	}
	for id, n := range load {
		if n < 80 || n > 300 {
			t.Errorf("%s has %d of %d copies", id, n, 2000*copies)
		}
	}
}

// TestCostOfAStreamDoesNotGrow records streams in clusters of 8 to 2,000 processes: the copies of a stream, the processes
// that each process is connected to, and those asked for a record, stay the same.
func TestCostOfAStreamDoesNotGrow(t *testing.T) {
	for _, n := range []int{8, 360, 2000} {
		var list []wire.Member
		for i := range n {
			list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint("edge-", i)), DataCenter: fmt.Sprint("dc-", i%18), Incarnation: 1})
		}
		tracker, now, copied, holders, bytes := NewTracker(), time.Unix(1000, 0), 0, map[wire.MemberID]bool{}, 0
		tracker.SetProcesses(now, "edge-0", list)
		const streams = 2000
		for i := range streams {
			r := Record{Key: Key{Customer: "customer-123", Attempt: fmt.Sprintf("%016x", i)}, Origin: Origin{Service: "model-pool", Version: "v1.12.3"}, TTL: 12 * time.Second}
			for _, x := range tracker.Begin(now, r) {
				data, err := json.Marshal(x.Record)
				if err != nil {
					t.Fatal(err)
				}
				copied, bytes = copied+1, bytes+len(data)
				holders[x.To.ID] = true
			}
			if asked := len(tracker.Askable(r.Key)); asked > askedProcesses {
				t.Fatalf("%d processes are asked", asked)
			}
		}
		t.Logf("%d processes: %d copies of %d streams, %d bytes each, at %d processes", n, copied, streams, bytes/copied, len(holders))
		if copied != copies*streams || len(holders) > maxHolders {
			t.Errorf("%d processes: %d copies of %d streams at %d processes", n, copied, streams, len(holders))
		}
	}
}

// BenchmarkBegin measures one stream that begins with copies at two processes over loopback, all three in one program.
func BenchmarkBegin(b *testing.B) {
	f := newServiceFixture(b, 3, 0)
	for i := range b.N {
		if !f.begin(0, Key{Customer: "foundry", Attempt: fmt.Sprint(i)}, "v1") {
			b.Fatal("no other process has a copy")
		}
	}
}
