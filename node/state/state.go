// Package state is the replicated state machine of the control processes:
// configuration versions, the idempotency ledger, members and order fences.
// Apply is deterministic: time comes inside the commands.
package state

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/textdelta"
)

// Command is one entry of the log. Every part that is set is applied, in the
// order of the fields.
type Command struct {
	Now     int64                `cbor:"1,keyasint"` // leader's clock, milliseconds since the Unix epoch
	Change  *wire.ChangeRequest  `cbor:"2,keyasint,omitempty"`
	Join    []wire.Member        `cbor:"3,keyasint,omitempty"`
	Remove  []Removal            `cbor:"4,keyasint,omitempty"`
	Claims  []wire.ClaimRequest  `cbor:"5,keyasint,omitempty"`
	Settles []wire.SettleRequest `cbor:"6,keyasint,omitempty"`
	Fences  []wire.MemberID      `cbor:"7,keyasint,omitempty"` // upstreams for which a new fencing token is drawn
	// LedgerLimit is the size in bytes from which on Claims take no new key;
	// zero is no limit. It comes with the command because settings may differ
	// between replicas.
	LedgerLimit int64            `cbor:"8,keyasint,omitempty"`
	Put         *wire.PutRequest `cbor:"9,keyasint,omitempty"`
	Owner       *wire.StageOwner `cbor:"10,keyasint,omitempty"`
	// PutDelta is a Put as the difference to the text in force.
	PutDelta *wire.ConfigDelta `cbor:"11,keyasint,omitempty"`
	// Evacuate starts or ends the evacuation of a data centre.
	Evacuate *wire.EvacuationOrder `cbor:"12,keyasint,omitempty"`
	// Crashes accuse calls under which upstreams ended, and clear those that were answered.
	Crashes *wire.CrashReport `cbor:"13,keyasint,omitempty"`
	// Lift ends the quarantine of a call.
	Lift wire.Fingerprint `cbor:"14,keyasint,omitempty"`
	// StartRollout starts a roll-out; StepRollout decides about a running one.
	StartRollout *wire.RolloutOrder `cbor:"15,keyasint,omitempty"`
	StepRollout  *wire.RolloutStep  `cbor:"16,keyasint,omitempty"`
	Team         *TeamCommand       `cbor:"20,keyasint,omitempty"`
	Orders       *OrderCommand      `cbor:"40,keyasint,omitempty"`
}

// Removal ends a membership, unless the process has since come back under
// another incarnation.
type Removal struct {
	ID          wire.MemberID `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
}

// Result answers a Command part by part.
type Result struct {
	Change  *wire.ChangeResult
	Claims  []wire.ClaimReply
	Settles []wire.SettleReply
	Fences  []uint64
	Put     *wire.PutResult
	// Rebase says that a PutDelta was made for another text than the one in force, and
	// had no effect.
	Rebase     bool
	Evacuation *wire.EvacuationResult
	Quarantine *wire.QuarantineChange
	Rollout    *wire.RolloutResult
	Team       *TeamResult
	Orders     []IssueResult
}

const (
	// ChangeWindow is how many changes keep their first answer for resends.
	// An older resend is still never applied: its number is spent.
	ChangeWindow  = 100_000
	memberLogSize = 4096
)

type changeRecord struct {
	ID     string            `cbor:"1,keyasint"`
	Hash   uint64            `cbor:"2,keyasint"` // of number and text
	Result wire.ChangeResult `cbor:"3,keyasint"`
	At     int64             `cbor:"4,keyasint"`
	Author string            `cbor:"5,keyasint,omitempty"`
	Number uint64            `cbor:"6,keyasint,omitempty"`
	// Sections are the parts of the text that the change touched.
	Sections []string `cbor:"7,keyasint,omitempty"`
}

type memberChange struct {
	seq     uint64
	id      wire.MemberID
	removed bool
}

// stored is the part of a Machine that a snapshot holds.
type stored struct {
	Now        int64                         `cbor:"1,keyasint"`
	Version    uint64                        `cbor:"2,keyasint"`
	Text       string                        `cbor:"3,keyasint"`
	Winner     string                        `cbor:"4,keyasint"` // change id of Version
	Changes    []changeRecord                `cbor:"5,keyasint"`
	Ledger     int                           `cbor:"6,keyasint"` // in snapshots only: number of ledger parts that follow
	Members    map[wire.MemberID]wire.Member `cbor:"7,keyasint"`
	MembersSeq uint64                        `cbor:"8,keyasint"`
	Fence      uint64                        `cbor:"9,keyasint"`
	Fences     map[wire.MemberID]uint64      `cbor:"10,keyasint"`
	Owner      wire.StageOwner               `cbor:"11,keyasint"`
	PackedText []byte                        `cbor:"12,keyasint,omitempty"` // in snapshots only: Text, where it is long
	Teams      map[string]Team               `cbor:"20,keyasint,omitempty"`
	Keys       []Key                         `cbor:"21,keyasint,omitempty"`
	Orders     map[wire.MemberID]OrderRecord `cbor:"40,keyasint,omitempty"`
	Bucket     bucket                        `cbor:"41,keyasint"`
	Forecast   map[string][]uint32           `cbor:"42,keyasint,omitempty"`

	Evacuations wire.Evacuations  `cbor:"43,keyasint"`
	Quarantine  quarantine.Ledger `cbor:"44,keyasint"`
	Rollouts    wire.Rollouts     `cbor:"45,keyasint"`
}

// Machine is the state. One goroutine owns it; others read its View.
type Machine struct {
	s         stored
	ledger    ledger
	byChange  map[string]int // change id to position in s.Changes
	memberLog []memberChange

	teamsView   *Teams            // of the current teams
	historyView []wire.ChangeInfo // of the current changes
	suspects    wire.Suspects     // of the current quarantine
	quarantined []wire.QuarantineEntry
	expireAt    int64 // when a call's quarantine ends; milliseconds since the Unix epoch
	view        *View
	parts       viewParts
}

// View is an immutable picture of what followers of the state read.
type View struct {
	Config     wire.ConfigText
	Texts      *textdelta.History
	Winner     string
	MembersSeq uint64
	Members    map[wire.MemberID]wire.Member
	Ledger     int
	Teams      *Teams
	History    []wire.ChangeInfo             // newest last
	LedgerSize int64                         // bytes, as counted against the limit
	Orders     map[wire.MemberID]OrderRecord // last order of each upstream
	Forecast   map[string][]uint32           // by service, see ForecastSlot
	Fences     map[wire.MemberID]uint64      // highest token of each upstream
	Fence      uint64                        // highest token of all
	Owner      wire.StageOwner
	// Evacuations are data centres whose upstreams get no new calls, and those that were.
	Evacuations wire.Evacuations
	// Suspects are calls that end upstreams, as processes are told; Quarantine is what operators see of them.
	Suspects   wire.Suspects
	Quarantine []wire.QuarantineEntry
	// Rollouts are the last roll-outs of services.
	Rollouts wire.Rollouts
	log      []memberChange
	whole    *wholeList
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset(stored{}, nil)
	return m
}

func (m *Machine) reset(s stored, list []*ledgerEntry) {
	m.s = s
	if m.s.Members == nil {
		m.s.Members = map[wire.MemberID]wire.Member{}
	}
	if m.s.Fences == nil {
		m.s.Fences = map[wire.MemberID]uint64{}
	}
	m.byChange = map[string]int{}
	for i, c := range m.s.Changes {
		m.byChange[c.ID] = i
	}
	m.ledger = newLedger(list)
	m.s.Ledger = 0
	m.memberLog = nil
	m.view = nil
	m.teamsView, m.historyView = m.teams(), m.history()
	m.showQuarantine()
	m.parts = viewParts{history: textdelta.NewHistory(m.s.Version, m.s.Text)}
}

// Apply executes one encoded Command.
func (m *Machine) Apply(data []byte) (Result, error) {
	c, err := decodeCommand(data)
	if err != nil {
		return Result{}, err
	}
	m.s.Now = max(m.s.Now, c.Now)
	m.ledger.expire(m.s.Now)
	var r Result
	if c.Change != nil {
		res := m.change(c.Change)
		r.Change = &res
	}
	if c.Put != nil {
		res := m.put(c.Put)
		r.Put = &res
	}
	if c.PutDelta != nil {
		r.Put, r.Rebase = m.putDelta(c.PutDelta)
	}
	if c.Owner != nil && c.Owner.Epoch > m.s.Owner.Epoch {
		m.s.Owner = *c.Owner
	}
	if c.Evacuate != nil {
		res := m.evacuate(c.Evacuate)
		r.Evacuation = &res
	}
	m.quarantine(&c, &r)
	m.rollouts(&c, &r)
	for _, member := range c.Join {
		m.join(member)
	}
	for _, rm := range c.Remove {
		m.remove(rm)
	}
	for _, claim := range c.Claims {
		r.Claims = append(r.Claims, m.ledger.claim(claim, m.s.Now, c.LedgerLimit))
	}
	for _, settle := range c.Settles {
		r.Settles = append(r.Settles, m.ledger.settle(settle, m.s.Now))
	}
	for _, id := range c.Fences {
		r.Fences = append(r.Fences, m.fence(id))
	}
	if c.Team != nil {
		res := m.team(c.Team)
		m.teamsView = m.teams()
		r.Team = &res
	}
	if c.Orders != nil {
		r.Orders = m.applyOrders(c.Orders)
	}
	m.view = nil
	return r, nil
}

// change accepts a change whose number is the current version plus one. A
// resend gets the first answer and has no effect.
func (m *Machine) change(c *wire.ChangeRequest) wire.ChangeResult {
	hash := changeHash(c)
	if i, seen := m.byChange[c.ChangeID]; seen {
		first := m.s.Changes[i]
		if first.Hash != hash {
			return wire.ChangeResult{Version: m.s.Version, Reason: "the change id was used for another change", Winner: first.ID}
		}
		res := first.Result
		res.Resent = true
		return res
	}
	res := wire.ChangeResult{Version: m.s.Version}
	if c.Number == m.s.Version+1 {
		m.s.Version, m.s.Text, m.s.Winner = c.Number, c.Text, c.ChangeID
		m.parts.history = m.parts.history.Next(c.Number, c.Text)
		res = wire.ChangeResult{Accepted: true, Version: c.Number}
	} else {
		res.Reason = "the number is not the current version plus one"
		res.Winner = m.s.Winner
	}
	m.remember(changeRecord{ID: c.ChangeID, Hash: hash, Result: res, At: m.s.Now, Author: c.Author, Number: c.Number, Sections: c.Sections})
	return res
}

func changeHash(c *wire.ChangeRequest) uint64 {
	d := xxhash.New()
	data, _ := cbor.Marshal([2]any{c.Number, c.Text}) // cannot fail for these types
	d.Write(data)
	return d.Sum64()
}

func (m *Machine) remember(r changeRecord) {
	defer func() { m.historyView = m.history() }()
	m.byChange[r.ID] = len(m.s.Changes)
	m.s.Changes = append(m.s.Changes, r)
	if len(m.s.Changes) < 2*ChangeWindow {
		return
	}
	// Forget the older half at once, so that the cost per change is constant.
	for _, old := range m.s.Changes[:ChangeWindow] {
		delete(m.byChange, old.ID)
	}
	m.s.Changes = append([]changeRecord(nil), m.s.Changes[ChangeWindow:]...)
	for i, c := range m.s.Changes {
		m.byChange[c.ID] = i
	}
}

func (m *Machine) join(member wire.Member) {
	if old, known := m.s.Members[member.ID]; known && !member.NewerThan(old) {
		return
	}
	m.s.Members[member.ID] = member
	m.logMember(member.ID, false)
}

func (m *Machine) remove(r Removal) {
	current, ok := m.s.Members[r.ID]
	if !ok || current.Incarnation != r.Incarnation {
		return
	}
	delete(m.s.Members, r.ID)
	m.logMember(r.ID, true)
}

func (m *Machine) logMember(id wire.MemberID, removed bool) {
	m.s.MembersSeq++
	m.memberLog = append(m.memberLog, memberChange{m.s.MembersSeq, id, removed})
	if len(m.memberLog) >= 2*memberLogSize {
		m.memberLog = append([]memberChange(nil), m.memberLog[memberLogSize:]...)
	}
}

func (m *Machine) fence(id wire.MemberID) uint64 {
	m.s.Fence++
	m.s.Fences = cloneOrEmpty(m.s.Fences) // views share the old one
	m.s.Fences[id] = m.s.Fence
	return m.s.Fence
}

// Restore replaces the state by an encoded one; empty data is the empty state.
func (m *Machine) Restore(data []byte) error {
	var s stored
	if len(data) > 0 {
		rest, err := decoding.UnmarshalFirst(data, &s)
		if err != nil {
			return errors.Annotate(err, "state: snapshot")
		}
		data = rest
	}
	if err := s.unpackText(); err != nil {
		return errors.Annotate(err, "state: snapshot")
	}
	list, err := decodeLedger(data, s.Ledger)
	if err != nil {
		return errors.Annotate(err, "state: snapshot")
	}
	m.reset(s, list)
	return nil
}

// Held returns up to n claims that are unsettled for age, the oldest first and
// without those that skip names. It changes nothing that is replicated.
func (m *Machine) Held(now time.Time, age time.Duration, n int, skip func(wire.AttemptID) bool) []wire.ClaimRequest {
	return m.ledger.held(now.Add(-age).UnixMilli(), n, skip)
}

// View returns the current picture. It is safe to hand to other goroutines.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{
		Config:      m.parts.history.Text(),
		Texts:       m.parts.history,
		Winner:      m.s.Winner,
		MembersSeq:  m.s.MembersSeq,
		Members:     m.memberView(),
		whole:       m.parts.whole,
		Ledger:      len(m.ledger.entries),
		LedgerSize:  m.ledger.bytes,
		Teams:       m.teamsView,
		History:     m.historyView,
		Orders:      m.s.Orders,
		Forecast:    m.s.Forecast,
		Fences:      m.s.Fences,
		Fence:       m.s.Fence,
		Owner:       m.s.Owner,
		Evacuations: m.s.Evacuations,
		Suspects:    m.suspects,
		Quarantine:  m.quarantined,
		Rollouts:    m.s.Rollouts,
		log:         m.memberLog[:len(m.memberLog):len(m.memberLog)],
	}
	return m.view
}
