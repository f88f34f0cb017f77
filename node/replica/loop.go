package replica

import (
	"context"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
)

// Run owns the consensus node until ctx ends or the folder is corrupt. After a disk error the replica is
// suspended until the disk accepts writes again.
func (r *Replica) Run(ctx context.Context) error {
	defer func() { r.log.Close() }()
	defer r.discardSnapshot()
	defer close(r.done)
	for {
		err := r.serve(ctx)
		if err == nil {
			return nil
		}
		if err := r.suspend(ctx, err); err != nil {
			r.opts.Log.Error(err, "replica stopped")
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// serve takes part in the cluster until ctx ends or the disk fails.
func (r *Replica) serve(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	stamps := r.opts.Clock.NewTicker(stampInterval)
	defer stamps.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			r.node.Tick()
		case <-stamps.Chan():
			r.requestStamp()
		case f := <-r.calls:
			f()
		case messages := <-r.inbox:
			r.step(messages)
		case p := <-r.proposals:
			r.acceptProposal(p)
		}
		r.drain()
		if err := r.processReady(); err != nil {
			return err
		}
		r.confirmNewLeadership()
	}
}

// confirmNewLeadership requests a quorum confirmation as soon as this replica becomes leader, because
// processes that have just started wait for it.
func (r *Replica) confirmNewLeadership() {
	if s := r.node.Status(); s.Role == consensus.Leader && s.Term != r.confirmedTerm {
		r.confirmedTerm = s.Term
		r.requestStamp()
	}
}

// drain accepts the other waiting proposals and messages, so that one sync covers them all.
func (r *Replica) drain() {
	for range maxProposals {
		select {
		case p := <-r.proposals:
			r.acceptProposal(p)
		case messages := <-r.inbox:
			r.step(messages)
		default:
			return
		}
	}
}

func (r *Replica) step(messages []consensus.Message) {
	for _, m := range messages {
		r.node.Step(m)
	}
}

func (r *Replica) acceptProposal(p *proposal) {
	index, term, err := r.node.Propose(p.data)
	if err == consensus.ErrOverloaded {
		err = errOverloaded
	}
	if err != nil {
		p.answer <- proposalAnswer{err: err}
		return
	}
	p.term = term
	if old := r.pendingProposals[index]; old != nil {
		old.answer <- proposalAnswer{err: errLeadershipLost}
	}
	r.pendingProposals[index] = p
}

// requestStamp asks a quorum to confirm that this replica still leads. The stamp is the time of the request.
func (r *Replica) requestStamp() {
	if r.node.Status().Role != consensus.Leader {
		return
	}
	at := r.opts.StampClock.Now()
	rd := &pendingRead{answer: make(chan error, 1)}
	r.nextID++
	if r.node.ReadIndex(r.nextID) != nil {
		return
	}
	r.pendingReads[r.nextID] = rd
	go func() {
		if r.wait(context.Background(), rd.answer) == nil {
			r.SetStamp(at)
		}
	}()
}

// processReady does the work of each Ready, in the order documented there.
func (r *Replica) processReady() error {
	if r.fatal != nil {
		return r.fatal
	}
	for r.node.HasReady() {
		rd := r.node.Ready()
		r.send(rd.EarlyMessages)
		if err := r.save(rd); err != nil {
			return err
		}
		r.send(rd.Messages)
		if rd.Snapshot != nil {
			if err := r.machine.Restore(rd.Snapshot.Data); err != nil {
				return errors.Trace(err)
			}
			r.opts.Log.Info("snapshot installed", "index", rd.Snapshot.Index, "term", rd.Snapshot.Term, "bytes", len(rd.Snapshot.Data), "version", r.machine.View().Config.Version)
		}
		answers, err := r.apply(rd.Committed)
		if err != nil {
			return err
		}
		r.answerReads(rd.Reads)
		r.node.Advance(rd)
		if rd.Snapshot != nil || len(rd.Committed) > 0 {
			r.publish()
		}
		// Answer after publishing: the proposer must find its command in the view.
		for _, a := range answers {
			a.to.answer <- a.proposalAnswer
		}
	}
	if err := r.maybeCompact(); err != nil {
		return err
	}
	s := r.node.Status()
	r.status.Store(&s)
	r.logStatusChanges(s)
	r.releaseApplyWaiters()
	if s.Role != consensus.Leader {
		r.failPendingProposals()
	}
	return nil
}

func (r *Replica) save(rd consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := r.discardSnapshot(); err != nil {
			return err
		}
		hs := r.currentHardState(rd)
		return r.log.SaveSnapshot(rd.Snapshot, hs, rd.Entries)
	}
	began := r.opts.Clock.Now()
	err := r.log.Save(rd.HardState, rd.Entries)
	r.logSlowSave(len(rd.Entries), began)
	return err
}

func (r *Replica) currentHardState(rd consensus.Ready) consensus.HardState {
	if rd.HardState != nil {
		return *rd.HardState
	}
	return r.node.HardState()
}

func (r *Replica) send(messages []consensus.Message) {
	if len(messages) > 0 {
		r.logSentMessages(messages)
		r.opts.Transport.Send(r.node.Membership().All(), messages)
	}
}

type appliedProposal struct {
	proposalAnswer
	to *proposal
}

// apply returns the answers to send once the view is published.
func (r *Replica) apply(entries []consensus.Entry) ([]appliedProposal, error) {
	var answers []appliedProposal
	for _, e := range entries {
		var answer proposalAnswer
		if e.Kind == consensus.EntryNormal && len(e.Data) > 0 {
			res, err := r.machine.Apply(e.Data)
			if err != nil {
				return nil, errors.Trace(err)
			}
			answer.result = res
		}
		if p := r.pendingProposals[e.Index]; p != nil {
			delete(r.pendingProposals, e.Index)
			if p.term != e.Term {
				answer = proposalAnswer{err: errLeadershipLost}
			}
			answers = append(answers, appliedProposal{answer, p})
		}
	}
	return answers, nil
}

// failPendingProposals answers the proposals of a lost leadership. They may still be committed.
func (r *Replica) failPendingProposals() {
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		p.answer <- proposalAnswer{err: errLeadershipLost}
	}
}

func (r *Replica) answerReads(reads []consensus.ReadState) {
	for _, rs := range reads {
		rd := r.pendingReads[rs.ID]
		delete(r.pendingReads, rs.ID)
		switch {
		case rd == nil:
		case rs.Failed:
			rd.answer <- consensus.ErrNotLeader
		default:
			rd.index = rs.Index
			r.applyWaiters = append(r.applyWaiters, &applyWaiter{index: rs.Index, answer: rd.answer})
		}
	}
}

func (r *Replica) releaseApplyWaiters() {
	applied := r.node.Status().Applied
	kept := r.applyWaiters[:0]
	for _, w := range r.applyWaiters {
		if w.index <= applied {
			w.answer <- nil
		} else {
			kept = append(kept, w)
		}
	}
	r.applyWaiters = kept
}

// publish makes the applied state visible. After an outage the state restarts from what is on the disk: the
// earlier view stays published until the state has caught up, because readers must never see an older state.
func (r *Replica) publish() {
	s := r.node.Status()
	r.status.Store(&s)
	if s.Applied < r.viewFloor {
		return
	}
	r.view.Store(r.machine.View())
	r.notifyChanged()
}

// notifyChanged wakes everyone waiting on Changed.
func (r *Replica) notifyChanged() {
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
