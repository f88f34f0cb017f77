package stagework

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// newNamedOwner returns a process that may be named owner, as incarnation 7 of "self".
func newNamedOwner(t *testing.T) *Service {
	s := &Service{log: logr.Discard(), notices: noNotices(), events: make(chan func(time.Time), 16), dial: peer.DialTCP, link: newOwnerLink(peer.DialTCP, logr.Discard()),
		address: func() string { return "self:1" }, self: func() wire.Member { return wire.Member{ID: "self", Incarnation: 7} },
		callers: map[string]*peer.Client{}, scheduler: newScheduler(), pendingFrees: map[*worker][]storedResult{}, submissions: newSubmissions()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.loop()
	t.Cleanup(func() {
		s.cancel()
		s.link.close()
	})
	return s
}

// acceptsJob submits a job without pieces, and reports whether the process accepts it as the owner.
func (s *Service) acceptsJob(t *testing.T, o wire.StageOwner) bool {
	_, err := s.handleRun(t.Context(), &Job{ID: "j", SubmissionID: "j", TimeLeft: time.Minute, Goal: time.Minute, Owner: o})
	return err == nil
}

// TestNewOwnerAcceptsJobsBeforeItsOwnView submits jobs to a process before its own view names it the owner: it
// accepts them if the caller's view names this incarnation, and an older view does not take the queues
// away again.
func TestNewOwnerAcceptsJobsBeforeItsOwnView(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newNamedOwner(t)
	named := wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}
	g.Expect(s.acceptsJob(t, named)).To(gomega.BeFalse(), "without a view it knows no upstreams")
	s.post(func(time.Time) { s.scheduler.setServices(services, nil) })
	g.Expect(s.acceptsJob(t, wire.StageOwner{})).To(gomega.BeFalse())
	g.Expect(s.acceptsJob(t, wire.StageOwner{ID: "other", Incarnation: 7, Epoch: 5})).To(gomega.BeFalse())
	g.Expect(s.acceptsJob(t, wire.StageOwner{ID: "self", Incarnation: 6, Epoch: 5})).To(gomega.BeFalse())
	g.Expect(s.acceptsJob(t, named)).To(gomega.BeTrue())
	view := func(o wire.StageOwner, mine bool) {
		done := make(chan struct{})
		s.post(func(now time.Time) {
			s.setOwnership(now, o, mine, "view")
			close(done)
		})
		<-done
	}
	view(wire.StageOwner{ID: "before", Epoch: 4}, false)
	g.Expect(s.acceptsJob(t, wire.StageOwner{})).To(gomega.BeTrue(), "an older view changes nothing")
	view(wire.StageOwner{ID: "next", Epoch: 6}, false)
	g.Expect(s.acceptsJob(t, named)).To(gomega.BeFalse(), "an older caller changes nothing")
}
