package control

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// simulation is a simulated cluster: one log, control processes that have applied parts of it, members that
// synchronize, and an oracle that knows the state at every version and sequence number.
type simulation struct {
	t          *rapid.T
	clock      *clockwork.FakeClock
	log        [][]byte
	acceptedAt []time.Time // when the entry at this index was committed
	oracle     *state.Machine
	texts      map[uint64]string
	members    map[uint64]map[wire.MemberID]wire.Member
	positions  []position // positions after this many entries
	nodes      []*node
	leader     int
	term       uint64
	procs      []*process
	drifting   bool // the state may change between two reads for one reply
}

type position struct{ version, seq uint64 }

// node is a control process. It implements cluster.
type node struct {
	w       *simulation
	index   int
	machine *state.Machine
	applied int
	stamp   time.Time
	svc     *Service
	cut     bool // partitioned from the leader
	changed chan struct{}
}

// process is a member.
type process struct {
	held           *configsync.Holder
	alive          bool
	died           time.Time
	starts         uint64
	version        uint64
	seq            uint64
	delayedReplies []delayedReply
	source         int
}

type delayedReply struct {
	reply *wire.SyncReply
	asked time.Time
}

const (
	testLease    = 3 * time.Second
	nodeCount    = 3
	processCount = 4
)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), oracle: state.New(),
		texts: map[uint64]string{0: ""}, members: map[uint64]map[wire.MemberID]wire.Member{0: {}}, positions: []position{{}}, term: 1}
	for i := range nodeCount {
		w.nodes = append(w.nodes, &node{w: w, index: i})
		w.nodes[i].restart()
	}
	for i := range processCount {
		w.procs = append(w.procs, &process{})
		w.start(i, 100)
	}
	return w
}

func (n *node) restart() {
	n.machine, n.applied, n.stamp, n.changed = state.New(), 0, time.Time{}, make(chan struct{})
	s := &Service{cluster: n, clock: n.w.clock}
	s.notifier = newChangeNotifier(n)
	s.leases = newLeases(n, n.w.clock, testLease, timeline.NewRing("n", "v", 16))
	s.follower = &follower{cluster: n, clock: n.w.clock, leases: s.leases, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{}, call: n.callLeader}
	n.svc = s
}

func (w *simulation) start(i int, incarnation uint64) {
	p := w.procs[i]
	m := wire.Member{ID: wire.MemberID(fmt.Sprintf("m%d", i)), Role: "agent", Service: "s", Incarnation: incarnation}
	*p = process{held: configsync.NewHolder(m), alive: true, starts: p.starts + 1, source: i % nodeCount}
}

// changeStateRandomly may change the state between two reads.
func (w *simulation) changeStateRandomly() {
	if !w.drifting || rapid.IntRange(0, 15).Draw(w.t, "drift") != 7 {
		return
	}
	w.drifting = false
	w.clock.Advance(time.Millisecond)
	w.change()
	w.clock.Advance(time.Millisecond)
	for _, n := range w.nodes {
		if !n.cut {
			n.catchUp(len(w.log))
			n.SetStamp(w.clock.Now())
		}
	}
	w.drifting = true
}

func (n *node) View() *state.View { n.w.changeStateRandomly(); return n.machine.View() }
func (n *node) Status() consensus.Status {
	n.w.changeStateRandomly()
	return consensus.Status{Committed: uint64(n.applied), Term: n.w.term}
}
func (n *node) StampAge() time.Duration {
	n.w.changeStateRandomly()
	if n.stamp.IsZero() {
		return -1
	}
	return n.w.clock.Since(n.stamp)
}
func (n *node) Outage() error                            { return nil }
func (n *node) TransferLeadership(context.Context) error { return nil }
func (n *node) SetStamp(at time.Time) {
	if at.After(n.stamp) {
		n.stamp = at
	}
}
func (n *node) IsLeader() bool           { return n.index == n.w.leader }
func (n *node) Leader() consensus.Peer   { return consensus.Peer{ID: "leader", Address: "leader"} }
func (n *node) Changed() <-chan struct{} { return n.changed }
func (n *node) WaitApplied(_ context.Context, index uint64) error {
	if int(index) > n.applied && rapid.Bool().Draw(n.w.t, "lags") {
		return context.DeadlineExceeded
	}
	n.catchUp(int(index))
	return nil
}
func (n *node) Propose(_ context.Context, c state.Command) (state.Result, error) {
	if n.cut {
		return state.Result{}, errors.New("no quorum")
	}
	n.w.commit(c)
	n.catchUp(len(n.w.log))
	return state.Result{}, nil
}

func (n *node) callLeader(_ context.Context, _ string, req RenewRequest) (*RenewReply, error) {
	leader := n.w.nodes[n.w.leader]
	if n.cut || leader.cut || rapid.IntRange(0, 5).Draw(n.w.t, "request lost") == 0 {
		return nil, errors.New("unreachable")
	}
	reply, err := leader.svc.renew(context.Background(), &req)
	if err == nil && rapid.IntRange(0, 5).Draw(n.w.t, "reply lost") == 0 {
		return nil, errors.New("no answer")
	}
	return reply, err
}

func (n *node) catchUp(index int) {
	for n.applied < index {
		n.machine.Apply(n.w.log[n.applied])
		n.applied++
	}
}

// confirm gives the leader a confirmation by a quorum.
func (n *node) confirm() {
	if n.IsLeader() && !n.cut {
		n.catchUp(len(n.w.log))
		n.stamp = n.w.clock.Now()
	}
}

func (w *simulation) commit(c state.Command) {
	data, err := c.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	before := w.oracle.View().Members
	w.log = append(w.log, data)
	w.acceptedAt = append(w.acceptedAt, w.clock.Now())
	w.oracle.Apply(data)
	v := w.oracle.View()
	for id, m := range v.Members {
		old, held := before[id]
		if held && old != m && (m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Revision < old.Revision) {
			w.t.Fatalf("a late message changed %v to %v", old, m)
		}
		if p := w.procs[id[1]-'0']; !held && !p.alive && w.clock.Since(p.died) > testLease {
			w.t.Fatalf("%s joined %v after it died", id, w.clock.Since(p.died))
		}
	}
	w.texts[v.Config.Version] = v.Config.Text
	w.members[v.MembersSeq] = maps.Clone(v.Members)
	w.positions = append(w.positions, position{v.Config.Version, v.MembersSeq})
}

func (w *simulation) change() {
	v := w.oracle.View().Config.Version
	text := "[service:s]\nkind = plain\n"
	for i := range 12 {
		text += fmt.Sprintf("[customer:c%d]\nshare = %d\n", i, 1+(int(v)+1)*i%7)
	}
	w.commit(state.Command{Change: &wire.ChangeRequest{Number: v + 1, Text: text, ChangeID: fmt.Sprint("c", v+1)}})
}

// accepted returns the position at time t.
func (w *simulation) accepted(t time.Time) position {
	k := 0
	for k < len(w.acceptedAt) && !w.acceptedAt[k].After(t) {
		k++
	}
	return w.positions[k]
}

func (w *simulation) sync(p *process, to int, lost, doubled bool) error {
	asked := w.clock.Now()
	req := p.held.Request(0)
	reply, err := w.nodes[to].svc.syncNow(&req)
	if err != nil {
		return err
	}
	if doubled {
		p.delayedReplies = append(p.delayedReplies, delayedReply{reply, asked})
	}
	if lost {
		return errors.New("lost")
	}
	w.clock.Advance(time.Millisecond)
	return w.deliver(p, reply, asked)
}

// syncNow is sync without waiting for changes.
func (s *Service) syncNow(req *wire.SyncRequest) (*wire.SyncReply, error) {
	renewed := s.renewLease(req)
	reply := s.fullReply(req)
	reply.Renewed = renewed
	return reply, nil
}

func (w *simulation) deliver(p *process, reply *wire.SyncReply, asked time.Time) error {
	first := p.held.View() == nil
	_, err := p.held.Apply(reply, asked)
	if v := p.held.View(); v != nil {
		if first && err != nil {
			w.t.Fatal("the initial view was published without a confirmation by a quorum")
		}
		w.check(p, v)
	}
	return err
}

func (w *simulation) check(p *process, v *configsync.View) {
	if v.Version < p.version || v.MembersSeq < p.seq {
		w.t.Fatalf("went back from %d/%d to %d/%d", p.version, p.seq, v.Version, v.MembersSeq)
	}
	p.version, p.seq = v.Version, v.MembersSeq
	if text, known := w.texts[v.Version]; !known || text != v.Text {
		w.t.Fatalf("the text of version %d differs from the accepted one", v.Version)
	}
	if want, err := optext.Parse("t", []byte(v.Text)); err != nil || v.Version > 0 && !reflect.DeepEqual(want, v.Config) {
		w.t.Fatalf("version %d was parsed wrongly: %v", v.Version, err)
	}
	held := map[wire.MemberID]wire.Member{}
	for m := range v.Members.All() {
		held[m.ID] = m
	}
	if !maps.Equal(held, w.members[v.MembersSeq]) {
		w.t.Fatalf("members at %d: %v, want %v", v.MembersSeq, held, w.members[v.MembersSeq])
	}
	for _, m := range v.Agents["s"] {
		if held[m.ID].Leaving {
			w.t.Fatalf("%s is leaving and is listed", m.ID)
		}
	}
	now := w.clock.Now()
	if age := p.held.StampAge(now); age < time.Hour {
		if must := w.accepted(now.Add(-age).Add(-1)); v.Version < must.version || v.MembersSeq < must.seq {
			w.t.Fatalf("confirmed %v ago at %d/%d, but %v had been accepted", age, v.Version, v.MembersSeq, must)
		}
	}
}

// converge advances time without faults, and checks that all members converge.
func (w *simulation) converge() {
	w.drifting = false
	for _, n := range w.nodes {
		n.cut = false
	}
	for range 12 {
		w.clock.Advance(500 * time.Millisecond)
		w.nodes[w.leader].confirm()
		for _, n := range w.nodes {
			n.catchUp(len(w.log))
			for range 12 { // lost calls are repeated
				if n.svc.follower.step(context.Background()) == nil {
					break
				}
			}
			n.svc.leases.step(context.Background())
		}
		for _, p := range w.procs {
			if p.alive && w.sync(p, p.source, false, false) != nil {
				p.source = (p.source + 1) % nodeCount
			}
		}
	}
	want := w.oracle.View()
	for i, p := range w.procs {
		id := wire.MemberID(fmt.Sprintf("m%d", i))
		known, held := want.Members[id]
		if held != p.alive || p.alive && known != p.held.Self() {
			w.t.Fatalf("%s alive=%v: the state holds %v, the process is %v", id, p.alive, known, p.held.Self())
		}
		if !p.alive {
			continue
		}
		if v := p.held.View(); v == nil || v.Version != want.Config.Version || v.MembersSeq != want.MembersSeq || p.held.StampAge(w.clock.Now()) > staleLimit {
			w.t.Fatalf("%s did not converge to %d/%d: %+v", id, want.Config.Version, want.MembersSeq, v)
		}
	}
}

const staleLimit = 5 * time.Second // stale_after of an entry

func (w *simulation) syncAny(t *rapid.T, n *node) {
	if p := w.proc(t); p.alive {
		w.sync(p, n.index, rapid.IntRange(0, 4).Draw(t, "lost") == 0, rapid.Bool().Draw(t, "doubled"))
	}
}

func (w *simulation) proc(t *rapid.T) *process { return rapid.SampledFrom(w.procs).Draw(t, "process") }
func (w *simulation) node(t *rapid.T) *node    { return rapid.SampledFrom(w.nodes).Draw(t, "control") }

// TestSynchronization injects faults into control processes and members, and compares every published view
// with the accepted versions.
func TestSynchronization(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.drifting = true
		t.Repeat(map[string]func(*rapid.T){
			"change":     func(*rapid.T) { w.change() },
			"sync":       func(t *rapid.T) { w.syncAny(t, w.node(t)) },
			"sync again": func(t *rapid.T) { w.syncAny(t, w.node(t)) },
			"old control": func(t *rapid.T) { // a follower that may lag
				n := w.node(t)
				n.svc.follower.step(context.Background())
				w.syncAny(t, n)
			},
			"round": func(t *rapid.T) {
				w.clock.Advance(100 * time.Millisecond)
				w.nodes[w.leader].confirm()
				w.nodes[w.leader].svc.leases.step(context.Background())
				for range w.procs {
					w.syncAny(t, w.nodes[w.leader])
				}
			},
			"late answer": func(t *rapid.T) {
				if p := w.proc(t); len(p.delayedReplies) > 0 {
					l := rapid.SampledFrom(p.delayedReplies).Draw(t, "answer")
					w.deliver(p, l.reply, l.asked)
				}
			},
			"leaving": func(t *rapid.T) { w.proc(t).held.SetLeaving(rapid.Bool().Draw(t, "leaving")) },
			"leaving overtakes": func(t *rapid.T) { // an earlier record that is queued at a follower
				p, n, lead := w.proc(t), w.node(t), w.nodes[w.leader]
				if !p.alive {
					return
				}
				w.sync(p, n.index, false, false)
				p.held.SetLeaving(rapid.Bool().Draw(t, "leaving"))
				w.sync(p, w.leader, false, false)
				lead.svc.leases.step(context.Background())
				n.svc.follower.step(context.Background())
				lead.svc.leases.step(context.Background())
			},
			"die": func(t *rapid.T) {
				if p := w.proc(t); p.alive {
					p.alive, p.died = false, w.clock.Now()
				}
			},
			"restart member": func(t *rapid.T) {
				i := rapid.IntRange(0, processCount-1).Draw(t, "process")
				clock := rapid.SampledFrom([]uint64{0, 1000}).Draw(t, "clock") // may be set back
				w.start(i, 100+clock+w.procs[i].starts)
			},
			"apply": func(t *rapid.T) {
				n := w.node(t)
				n.catchUp(rapid.IntRange(n.applied, len(w.log)).Draw(t, "to"))
			},
			"follow":  func(t *rapid.T) { w.node(t).svc.follower.step(context.Background()) },
			"leases":  func(t *rapid.T) { w.node(t).svc.leases.step(context.Background()) },
			"confirm": func(*rapid.T) { w.nodes[w.leader].confirm() },
			"cut":     func(t *rapid.T) { n := w.node(t); n.cut = !n.cut },
			"restart control": func(t *rapid.T) {
				if n := w.node(t); !n.IsLeader() {
					n.restart()
				}
			},
			"snapshot": func(t *rapid.T) {
				if n := w.node(t); n.applied < len(w.log) {
					data, _ := w.oracle.Snapshot()
					n.machine.Restore(data)
					n.applied = len(w.log)
				}
			},
			"lead": func(t *rapid.T) {
				n := w.node(t)
				n.catchUp(len(w.log))
				w.leader = n.index
				w.term++
			},
			"time": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
		w.converge()
	})
}
