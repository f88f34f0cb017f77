package consensus_test

import (
	"bytes"
	"slices"

	"caperdrum.org/node/consensus"
)

// noteForce remembers a membership that a node put in force.
func (c *cluster) noteForce(h *host) {
	st := h.node.Status()
	if len(st.Membership.Voters) == 0 {
		return
	}
	if !slices.ContainsFunc(c.forces, func(m consensus.Membership) bool { return equalVoters(m, st.Membership) }) {
		c.forces = append(c.forces, st.Membership)
	}
}

func equalVoters(a, b consensus.Membership) bool {
	return len(a.Voters) == len(b.Voters) && !slices.ContainsFunc(a.Voters, func(p consensus.Peer) bool { return !b.Has(p.ID) })
}

// observe checks what must hold of a node after each step.
func (c *cluster) observe(h *host) {
	if h.node == nil {
		return
	}
	st := h.node.Status()
	if st.Applied != h.index {
		c.t.Fatalf("%s says it applied %d, but it got %d", h.name, st.Applied, h.index)
	}
	if st.Role != consensus.Leader {
		clear(h.waiting)
		return
	}
	if other, ok := c.leaders[st.Term]; ok && other != h.id {
		c.t.Fatalf("term %d has two leaders, %s and %s", st.Term, other, h.id)
	}
	if _, seen := c.leaders[st.Term]; !seen {
		c.leaders[st.Term] = h.id
		c.checkComplete(h, st)
	}
}

// checkComplete is Leader Completeness: a new leader holds every entry that
// was committed in an earlier term.
func (c *cluster) checkComplete(h *host, st consensus.Status) {
	for _, e := range c.list {
		if e.Index <= st.First || e.Term >= st.Term {
			continue
		}
		got := h.node.EntriesAfter(e.Index - 1)
		if len(got) == 0 || got[0].Term != e.Term || !bytes.Equal(got[0].Data, e.Data) {
			c.t.Fatalf("the leader %s of term %d lacks the committed entry %d", h.name, st.Term, e.Index)
		}
	}
}

// checkLogs is Log Matching: two logs that agree on the term at an index agree
// on all before.
func (c *cluster) checkLogs() {
	for i, a := range c.hosts {
		for _, b := range c.hosts[i+1:] {
			if a.node != nil && b.node != nil {
				c.checkPair(a, b)
			}
		}
	}
}

func (c *cluster) checkPair(a, b *host) {
	first := max(a.node.Status().First, b.node.Status().First)
	la, lb := a.node.EntriesAfter(first), b.node.EntriesAfter(first)
	matched := false
	for i := min(len(la), len(lb)) - 1; i >= 0; i-- {
		same := la[i].Term == lb[i].Term
		if same && !bytes.Equal(la[i].Data, lb[i].Data) || matched && !same {
			c.t.Fatalf("the logs of %s and %s differ at %d but agree later", a.name, b.name, la[i].Index)
		}
		matched = matched || same
	}
}
