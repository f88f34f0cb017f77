package proxy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/upstream"
)

// fleetMembers returns processes, engines and stage upstreams in the proportions of a large deployment.
func fleetMembers(processes int) []wire.Member {
	var out []wire.Member
	for i := range processes {
		out = append(out, wire.Member{ID: wire.MemberID(fmt.Sprintf("edge-%05d", i)), Role: "proxy", VM: fmt.Sprint(i), DataCenter: fmt.Sprint("dc", i%6), Peer: fmt.Sprintf("10.0.%d.%d:7740", i/250, i%250), Incarnation: 1})
	}
	for _, x := range []struct {
		service string
		each    float64 // upstreams per process
	}{{"llm", 1.77}, {"desk", 0.07}, {"trace", 0.42}, {"store", 0.34}, {"book", 0.42}} {
		for i := range int(x.each * float64(processes)) {
			out = append(out, wire.AnnouncedUpstream(wire.MemberID(fmt.Sprintf("i-%s-%05d", x.service, i)), x.service, fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), fmt.Sprint("dc", i%6), false))
		}
	}
	return out
}

func fleetConfig(customers int) string {
	out := testConfig
	for i := range customers {
		out += fmt.Sprintf("[customer:c%04d]\nkeys = a%04d, b%04d\n", i, i, i)
	}
	return out
}

// fleet is a process that follows the members of a large deployment.
type fleet struct {
	holder      *configsync.Holder
	service     *Service
	members     []wire.Member
	firstEngine int // index of the first engine in members
	seq         uint64
}

func newFleet(t testing.TB, processes int) *fleet {
	f := &fleet{holder: configsync.NewHolder(wire.Member{ID: "proxy-1"}), service: newFollower(t), members: fleetMembers(processes), firstEngine: processes, seq: 1}
	whole := fleetConfig(333)
	f.applySync(t, &wire.SyncReply{Config: &wire.ConfigText{Version: 1, Text: whole, Hash: xxhash.Sum64String(whole)}, Members: &wire.MembersDelta{To: 1, Whole: true, Changed: f.members}})
	return f
}

func (f *fleet) applySync(t testing.TB, r *wire.SyncReply) {
	r.Version, r.MembersSeq = 1, f.seq
	v, err := f.holder.Apply(r, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f.service.applyView(v)
}

// restartEngine replaces an engine by its next incarnation.
func (f *fleet) restartEngine(t testing.TB, i int) {
	m := f.members[f.firstEngine+i%f.firstEngine]
	m.Incarnation = f.seq + 1
	f.seq++
	f.applySync(t, &wire.SyncReply{Members: &wire.MembersDelta{From: f.seq - 1, To: f.seq, Changed: []wire.Member{m}}})
}

// TestMemberChangeCopiesOneList replaces engines in deployments of three sizes. Per change, a process may
// allocate only a copy of that service's list and an amount that does not grow with the deployment.
func TestMemberChangeCopiesOneList(t *testing.T) {
	const (
		changes = 100
		fixed   = 32 << 10 // bytes
	)
	for _, processes := range []int{90, 360, 720} {
		f := newFleet(t, processes)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			f.restartEngine(t, i)
		}
		runtime.ReadMemStats(&after)
		allocated := (after.TotalAlloc - before.TotalAlloc) / changes
		list := f.holder.View().Announced[f.members[f.firstEngine].Service]
		if bound := uint64(len(list)*int(unsafe.Sizeof(wire.Member{}))*5/4 + fixed); allocated > bound {
			t.Errorf("%d processes: %d bytes per change, more than %d", processes, allocated, bound)
		}
	}
}

// BenchmarkMemberChange measures what a replaced upstream costs each process.
func BenchmarkMemberChange(b *testing.B) {
	for _, processes := range []int{90, 360, 720} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			f := newFleet(b, processes)
			b.ResetTimer()
			for i := range b.N {
				f.restartEngine(b, i)
			}
		})
	}
}

func newFollower(t testing.TB) *Service {
	s := newService(&settings.Settings{Proxy: settings.ProxyRole{RepeatRatio: 0.2, RepeatFixed: 50, RepeatWindow: 10 * time.Second}}, logr.Discard(), upstream.Native{}, noNotices(), &fixedViews{}, &fakeStages{}, &fakeOrigins{})
	s.initQuota(clockwork.NewFakeClock())
	return s
}
