package replica

import (
	"context"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
)

// Run owns the consensus node until ctx ends or the folder is corrupt. After a
// disk error the replica takes no part until the disk takes bytes again.
func (r *Replica) Run(ctx context.Context) error {
	defer func() { r.log.Close() }()
	defer r.dropCapture()
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
		case messages := <-r.steps:
			r.step(messages)
		case p := <-r.propose:
			r.take(p)
		}
		r.drain()
		if err := r.process(); err != nil {
			return err
		}
		r.stampLead()
	}
}

// stampLead has a new lead confirmed at once: processes that have just started wait for it.
func (r *Replica) stampLead() {
	if s := r.node.Status(); s.Role == consensus.Leader && s.Term != r.stamped {
		r.stamped = s.Term
		r.requestStamp()
	}
}

// drain takes in what else is waiting, so that one sync serves it all.
func (r *Replica) drain() {
	for range maxProposals {
		select {
		case p := <-r.propose:
			r.take(p)
		case messages := <-r.steps:
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

func (r *Replica) take(p *proposal) {
	index, term, err := r.node.Propose(p.data)
	if err == consensus.ErrOverloaded {
		err = errOverloaded
	}
	if err != nil {
		p.answer <- proposalAnswer{err: err}
		return
	}
	p.term = term
	if old := r.waiting[index]; old != nil {
		old.answer <- proposalAnswer{err: errLost}
	}
	r.waiting[index] = p
}

// requestStamp lets a quorum confirm that this leader still leads.
func (r *Replica) requestStamp() {
	if r.node.Status().Role != consensus.Leader {
		return
	}
	at := r.opts.StampClock.Now()
	rd := &reader{answer: make(chan error, 1)}
	r.nextID++
	if r.node.ReadIndex(r.nextID) != nil {
		return
	}
	r.readers[r.nextID] = rd
	go func() {
		if r.wait(context.Background(), rd.answer) == nil {
			r.SetStamp(at)
		}
	}()
}

// process does the work of every Ready, in the order that Ready documents.
func (r *Replica) process() error {
	if r.fatal != nil {
		return r.fatal
	}
	for r.node.HasReady() {
		rd := r.node.Ready()
		r.send(rd.Early)
		if err := r.save(rd); err != nil {
			return err
		}
		r.send(rd.Messages)
		if rd.Snapshot != nil {
			if err := r.machine.Restore(rd.Snapshot.Data); err != nil {
				return errors.Trace(err)
			}
			r.opts.Log.Info("snapshot taken over", "index", rd.Snapshot.Index, "term", rd.Snapshot.Term, "bytes", len(rd.Snapshot.Data), "version", r.machine.View().Config.Version)
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
		// The proposer must find its command in the view.
		for _, a := range answers {
			a.to.answer <- a.proposalAnswer
		}
	}
	if err := r.maybeCompact(); err != nil {
		return err
	}
	s := r.node.Status()
	r.status.Store(&s)
	r.logBeliefs(s)
	r.releaseWaiters()
	if s.Role != consensus.Leader {
		r.failWaiting()
	}
	return nil
}

func (r *Replica) save(rd consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := r.dropCapture(); err != nil {
			return err
		}
		hs := r.currentHardState(rd)
		return r.log.SaveSnapshot(rd.Snapshot, hs, rd.Entries)
	}
	began := r.opts.Clock.Now()
	err := r.log.Save(rd.HardState, rd.Entries)
	r.logSave(len(rd.Entries), began)
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
		r.logSent(messages)
		r.opts.Transport.Send(r.node.Membership().All(), messages)
	}
}

type appliedProposal struct {
	proposalAnswer
	to *proposal
}

// apply returns the answers that are due once the view is published.
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
		if p := r.waiting[e.Index]; p != nil {
			delete(r.waiting, e.Index)
			if p.term != e.Term {
				answer = proposalAnswer{err: errLost}
			}
			answers = append(answers, appliedProposal{answer, p})
		}
	}
	return answers, nil
}

// failWaiting answers proposals of a lost leadership. They may still commit.
func (r *Replica) failWaiting() {
	for index, p := range r.waiting {
		delete(r.waiting, index)
		p.answer <- proposalAnswer{err: errLost}
	}
}

func (r *Replica) answerReads(reads []consensus.ReadState) {
	for _, rs := range reads {
		rd := r.readers[rs.ID]
		delete(r.readers, rs.ID)
		switch {
		case rd == nil:
		case rs.Failed:
			rd.answer <- consensus.ErrNotLeader
		default:
			rd.index = rs.Index
			r.waiters = append(r.waiters, &applyWaiter{index: rs.Index, answer: rd.answer})
		}
	}
}

func (r *Replica) releaseWaiters() {
	applied := r.node.Status().Applied
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.index <= applied {
			w.answer <- nil
		} else {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}

// publish shows the state. After an outage the state begins at what is on the disk:
// the view from before stays until it has caught up, since no process may go back.
func (r *Replica) publish() {
	s := r.node.Status()
	r.status.Store(&s)
	if s.Applied < r.floor {
		return
	}
	r.view.Store(r.machine.View())
	r.announce()
}

// announce wakes all who wait for a change.
func (r *Replica) announce() {
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
