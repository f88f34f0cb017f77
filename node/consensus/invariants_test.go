package consensus_test

import (
	"bytes"
	"slices"

	"caperdrum.org/node/consensus"
)

// recordMembership records a membership that a node has applied.
func (c *cluster) recordMembership(h *host) {
	st := h.node.Status()
	if len(st.Membership.Voters) == 0 {
		return
	}
	if !slices.ContainsFunc(c.memberships, func(m consensus.Membership) bool { return equalVoters(m, st.Membership) }) {
		c.memberships = append(c.memberships, st.Membership)
	}
}

func equalVoters(a, b consensus.Membership) bool {
	return len(a.Voters) == len(b.Voters) && !slices.ContainsFunc(a.Voters, func(p consensus.Peer) bool { return !b.IsVoter(p.ID) })
}

// checkHost checks the invariants of a node after each step.
func (c *cluster) checkHost(h *host) {
	if h.node == nil {
		return
	}
	st := h.node.Status()
	if st.Applied != h.index {
		c.t.Fatalf("%s reports %d as applied, but was given entries up to %d", h.name, st.Applied, h.index)
	}
	if st.Role != consensus.Leader {
		clear(h.proposals)
		return
	}
	if other, ok := c.leaders[st.Term]; ok && other != h.id {
		c.t.Fatalf("term %d has two leaders, %s and %s", st.Term, other, h.id)
	}
	if _, seen := c.leaders[st.Term]; !seen {
		c.leaders[st.Term] = h.id
		c.checkLeaderCompleteness(h, st)
	}
}

// checkLeaderCompleteness checks that a new leader has every entry that was committed in an earlier term.
func (c *cluster) checkLeaderCompleteness(h *host, st consensus.Status) {
	for _, e := range c.committed {
		if e.Index <= st.CompactedIndex || e.Term >= st.Term {
			continue
		}
		got := h.node.EntriesAfter(e.Index - 1)
		if len(got) == 0 || got[0].Term != e.Term || !bytes.Equal(got[0].Data, e.Data) {
			c.t.Fatalf("the leader %s of term %d lacks the committed entry %d", h.name, st.Term, e.Index)
		}
	}
}

// checkLogMatching checks that two logs with the same term at an index are equal up to that index.
func (c *cluster) checkLogMatching() {
	for i, a := range c.hosts {
		for _, b := range c.hosts[i+1:] {
			if a.node != nil && b.node != nil {
				c.checkPair(a, b)
			}
		}
	}
}

func (c *cluster) checkPair(a, b *host) {
	first := max(a.node.Status().CompactedIndex, b.node.Status().CompactedIndex)
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
