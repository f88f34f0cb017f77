package configsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
)

// MaxConfirmationGap is the longest time between two confirmations for which a view counts as continuously
// confirmed: three synchronizations, and longer than an election.
const MaxConfirmationGap = maxConfirmationAge

const (
	maxConfirmationAge = 3 * time.Second // replies with an older confirmation are rejected
	neverConfirmed     = logging.Never
)

// Errors after which another control process is asked.
var (
	errStale = errors.New("configsync: the control process has no recent confirmation by a quorum")
	// errUnconfirmed sends a process without a view to another control process, where it waits.
	errUnconfirmed = errors.New("configsync: the control process's state is not confirmed by a quorum")
	errOlderState  = errors.New("configsync: the control process's state is older than the current view")
	errNotRenewed  = errors.New("configsync: the control process could not renew the lease")
)

// Holder is the state of Service: it decides which replies are applied. It has no goroutine and does not read
// the clock. Apply must not be called concurrently.
type Holder struct {
	mu      sync.Mutex
	member  wire.Member
	textErr error // error with the last text; the next one must be complete, not a delta
	hint    Hint

	view      atomic.Pointer[View]
	confirmed atomic.Pointer[confirmation] // last one by a quorum
}

// confirmation says when a quorum confirmed the view. Its times include a monotonic clock reading.
type confirmation struct {
	at    time.Time
	since time.Time // time of the first confirmation since the last gap above MaxConfirmationGap
}

// NewHolder returns a Holder for the process with the given record.
func NewHolder(m wire.Member) *Holder { return &Holder{member: m} }

// View returns the current view, or nil before the initial one.
func (h *Holder) View() *View { return h.view.Load() }

// Self returns the process's member record.
func (h *Holder) Self() wire.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member
}

// SetLeaving updates the record and reports whether it changed.
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

// SetHolds updates what the record says the upstream holds, and reports whether it changed.
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

// Request returns the next request. The control process may delay its reply by wait.
func (h *Holder) Request(wait time.Duration) wire.SyncRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := wire.SyncRequest{Member: h.member, Wait: wait, Fence: h.hint.Fence, Term: h.hint.Term}
	if v := h.View(); v != nil {
		req.ConfigVersion, req.MembersSeq, req.OwnerEpoch = v.Version, v.MembersSeq, v.Owner.Epoch
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

// StampAge returns how long before now a quorum confirmed the view.
func (h *Holder) StampAge(now time.Time) time.Duration {
	at := h.confirmed.Load()
	if at == nil {
		return neverConfirmed
	}
	return now.Sub(at.at)
}

// ConfirmedFor returns for how long before now the view has been confirmed without a gap. It is zero if the last
// confirmation is older than MaxConfirmationGap.
func (h *Holder) ConfirmedFor(now time.Time) time.Duration {
	at := h.confirmed.Load()
	if at == nil || now.Sub(at.at) > MaxConfirmationGap {
		return 0
	}
	return now.Sub(at.since)
}

// Apply applies the reply to a request made at asked. It returns the new view, or nil if nothing changed. A nil
// error means that the confirmation by a quorum was applied as well. A newer text or member list is applied
// without one, since it was committed, but not as the initial view.
//
// The confirmation's age was measured after the request was made, so asked minus the age is no later than the
// confirmation.
func (h *Holder) Apply(reply *wire.SyncReply, asked time.Time) (*View, error) {
	return h.ApplyAndPublish(reply, asked, func(*View) {})
}

// ApplyAndPublish is Apply, and calls publish with a new view before its confirmation counts. What is derived from views by
// publish is thus never older than a confirmation that was read before it.
func (h *Holder) ApplyAndPublish(reply *wire.SyncReply, asked time.Time, publish func(*View)) (*View, error) {
	confirmed := reply.StampAge >= 0 && reply.StampAge <= maxConfirmationAge
	old := h.View()
	if !confirmed && old == nil {
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
		return nil, errors.Annotate(errIncompleteUpdate, "the reply lacks updates that its versions require")
	}
	if reply.Owner.Epoch > next.Owner.Epoch {
		next.Owner = reply.Owner
	}
	var changed *View
	if old == nil || next.differs(old) {
		h.view.Store(&next)
		changed = &next
		publish(changed)
	}
	if !confirmed {
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

// next returns the confirmation that follows c, which may be nil.
func (c *confirmation) next(at time.Time) *confirmation {
	if c == nil || at.Sub(c.at) > MaxConfirmationGap {
		return &confirmation{at: at, since: at}
	}
	return &confirmation{at: at, since: c.since}
}
