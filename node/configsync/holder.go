package configsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
)

// LongestGap is between two confirmations of a view that counts as confirmed all the while:
// three synchronizations, and longer than an election takes.
const LongestGap = maxConfirmationAge

const (
	maxConfirmationAge = 3 * time.Second // a control process with an older stamp is passed over
	neverConfirmed     = logging.Never
)

// Errors that make the process ask another control process.
var (
	errStale = errors.New("configsync: the control process has no fresh confirmation by a quorum")
	// errUnconfirmed sends a process that holds nothing to another control process, at which it waits.
	errUnconfirmed = errors.New("configsync: no quorum has confirmed what the control process knows")
	errOlderState  = errors.New("configsync: the control process is behind what is held here")
	errNotRenewed  = errors.New("configsync: the lease could not be renewed there")
)

// Holder is the part of Service that decides what is held. It has no goroutine
// and reads no clock. Take must not run twice at the same time.
type Holder struct {
	mu      sync.Mutex
	member  wire.Member
	textErr error // of the last text; the next one must come whole
	hint    Hint

	view      atomic.Pointer[View]
	confirmed atomic.Pointer[confirmation] // the last one by a quorum
}

// confirmation is one of what is held, by a quorum. Times have their monotonic reading.
type confirmation struct {
	at    time.Time
	since time.Time // when the first one was after which there was no gap above LongestGap
}

// NewHolder returns a Holder for the process with the given record.
func NewHolder(m wire.Member) *Holder { return &Holder{member: m} }

// View returns the current view, or nil before the first one.
func (h *Holder) View() *View { return h.view.Load() }

// Self returns the process's member record.
func (h *Holder) Self() wire.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member
}

// SetLeaving changes the record and reports whether it was another before.
func (h *Holder) SetLeaving(leaving bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.member.Leaving == leaving {
		return false
	}
	h.member.Leaving = leaving
	h.member.Revision++
	return true
}

// SetHolds changes what the record says the upstream holds, and reports whether
// it was another before.
func (h *Holder) SetHolds(holds string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.member.Holds == holds {
		return false
	}
	h.member.Holds = holds
	h.member.Revision++
	return true
}

// Request returns the next call to a control process, to be held there for wait.
func (h *Holder) Request(wait time.Duration) wire.SyncRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := wire.SyncRequest{Member: h.member, Wait: wait, Fence: h.hint.Fence, Term: h.hint.Term}
	if v := h.View(); v != nil {
		req.ConfigVersion, req.MembersSeq, req.OwnerEpoch = v.Version, v.Seq, v.Owner.Epoch
		req.Evacuations, req.Suspects, req.Rollouts = v.Evacuations.Revision, v.Suspects.Revision, v.Rollouts.Revision
		if h.textErr == nil {
			req.ConfigHash = v.Hash
		}
	}
	if h.textErr != nil {
		req.Fault = h.textErr.Error()
	}
	return req
}

// StampAge returns how long before now a quorum confirmed what is held.
func (h *Holder) StampAge(now time.Time) time.Duration {
	at := h.confirmed.Load()
	if at == nil {
		return neverConfirmed
	}
	return now.Sub(at.at)
}

// Steady returns for how long before now the view has been confirmed without a gap; zero when
// the last confirmation is longer ago than LongestGap.
func (h *Holder) Steady(now time.Time) time.Duration {
	at := h.confirmed.Load()
	if at == nil || now.Sub(at.at) > LongestGap {
		return 0
	}
	return now.Sub(at.since)
}

// Take takes over what an answer to a call made at asked brings, and returns
// the new view, or nil when nothing changed. A nil error says that the quorum's
// confirmation was taken over too. A newer text or member list counts also
// without one, since it was committed, but not as the first view.
//
// The stamp's age was measured after the call began, so asked minus the age is
// no later than the confirmation.
func (h *Holder) Take(reply *wire.SyncReply, asked time.Time) (*View, error) {
	fresh := reply.StampAge >= 0 && reply.StampAge <= maxConfirmationAge
	old := h.View()
	if !fresh && old == nil {
		return nil, errUnconfirmed
	}
	next := emptyView()
	if old != nil {
		next = *old
	}
	if err := h.applyConfig(&next, reply); err != nil {
		return nil, err
	}
	if err := next.applyMembers(reply.Members); err != nil {
		return nil, err
	}
	next.applyEvacuations(reply.Evacuations)
	next.applySuspects(reply.Suspects)
	next.applyRollouts(reply.Rollouts)
	if next.ahead(reply) {
		return nil, errOlderState
	}
	if next.behind(reply) {
		return nil, errors.Annotate(errIncompleteUpdate, "the answer does not bring all that it knows of")
	}
	if reply.Owner.Epoch > next.Owner.Epoch {
		next.Owner = reply.Owner
	}
	var changed *View
	if old == nil || next.differs(old) {
		h.view.Store(&next)
		changed = &next
	}
	if !fresh {
		return changed, errStale
	}
	h.recordConfirmation(asked.Add(-reply.StampAge))
	return changed, nil
}

func (h *Holder) applyConfig(next *View, reply *wire.SyncReply) error {
	err := next.applyText(reply.Config)
	if err == nil {
		err = next.applyDelta(reply.Delta)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.textErr = err
	return err
}

func (h *Holder) recordConfirmation(at time.Time) {
	for {
		old := h.confirmed.Load()
		if old != nil && !at.After(old.at) || h.confirmed.CompareAndSwap(old, old.next(at)) {
			return
		}
	}
}

// next returns a confirmation that follows c, which may be nil.
func (c *confirmation) next(at time.Time) *confirmation {
	if c == nil || at.Sub(c.at) > LongestGap {
		return &confirmation{at: at, since: at}
	}
	return &confirmation{at: at, since: c.since}
}
