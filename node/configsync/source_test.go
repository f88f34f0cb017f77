package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// TestInitialViewsAreSpreadOverVoters starts deployments with three seeds and seven voters without a
// confirmation. Once processes know the voters, they must request their initial views from all of them, in
// about equal numbers.
func TestInitialViewsAreSpreadOverVoters(t *testing.T) {
	seeds := []string{"10.1.0.1:7740", "10.2.0.1:7740", "10.3.0.1:7740"}
	voters := append([]string{"10.4.0.1:7740", "10.5.0.1:7740", "10.6.0.1:7740", "10.1.0.2:7740"}, seeds...)
	for _, processes := range []int{90, 360, 720} {
		asked := map[string]int{}
		for i := range processes {
			s := newUnsynced(wire.Member{ID: wire.MemberID(fmt.Sprintf("edge-%d", i))}, seeds)
			src := s.sources[s.current]
			err := s.accept(&wire.SyncReply{StampAge: -1, Control: voters}, s.clock.Now())
			if _, moveOn := initialPlan().after(err, len(s.sources)); !moveOn {
				t.Fatalf("stays at %s: %v", src.Address(), err)
			}
			s.nextSource(err)
			s.refreshSources()
			asked[s.sources[s.current].Address()]++
		}
		most := processes*3/(2*len(voters)) + 1
		for _, address := range voters {
			if n := asked[address]; n == 0 || n > most {
				t.Errorf("%d processes: %d of them ask %s, want at most %d", processes, n, address, most)
			}
		}
	}
}

// TestAllControlProcessesAreAskedEventually lets control processes without a confirmation each return a
// different list of voters. A process without a view must still ask each of them eventually, and so find one
// with a confirmation.
func TestAllControlProcessesAreAskedEventually(t *testing.T) {
	seeds := []string{"10.1.0.1:7740", "10.2.0.1:7740", "10.3.0.1:7740", "10.4.0.1:7740", "10.5.0.1:7740"}
	for i := range 200 {
		s := newUnsynced(wire.Member{ID: wire.MemberID(fmt.Sprintf("edge-%d", i))}, seeds)
		asked := map[string]bool{}
		for range 4 * len(seeds) {
			address := s.sources[s.current].Address()
			asked[address] = true
			err := s.accept(&wire.SyncReply{StampAge: -1, Control: []string{address, fmt.Sprint("10.9.0.", len(asked), ":7740")}}, s.clock.Now())
			s.nextSource(err)
			s.refreshSources()
		}
		for _, address := range seeds {
			if !asked[address] {
				t.Errorf("edge-%d has asked %d addresses, and not %s", i, len(asked), address)
			}
		}
	}
}

// newUnsynced returns a service without a view that knows the seeds.
func newUnsynced(m wire.Member, seeds []string) *Service {
	s := &Service{holder: NewHolder(m), log: logr.Discard(), clock: clockwork.NewFakeClock(), directory: peer.NewDirectory(seeds), unanswered: map[string]time.Time{}}
	s.refreshSources()
	return s
}

// TestControlProcessAsksItselfFirst starts a voter, and a process that has a voter's address but not its
// role.
func TestControlProcessAsksItselfFirst(t *testing.T) {
	seeds := []string{"10.1.0.1:7740", "10.2.0.1:7740", "10.3.0.1:7740"}
	for _, address := range seeds {
		s := newUnsynced(wire.Member{ID: "voter", Peer: address, Role: "proxy+control"}, seeds)
		if got := s.sources[s.current].Address(); got != address {
			t.Errorf("%s starts with %s", address, got)
		}
		other := newUnsynced(wire.Member{ID: "voter", Peer: address, Role: "proxy"}, seeds)
		if other.current != hashIndex("voter", len(seeds)) {
			t.Errorf("a process without the role starts with address %d", other.current)
		}
	}
}
