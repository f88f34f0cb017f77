// Package state implements the replicated state machine of the control processes: configuration, idempotency
// ledger, members, teams, evacuations, quarantine, rollouts, orders and fencing tokens. Apply is
// deterministic: it takes the time from the commands.
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

// Command is the content of a log entry. All parts that are set are applied, in a fixed order.
type Command struct {
	Now     int64                `cbor:"1,keyasint"` // leader's clock, milliseconds since the Unix epoch
	Change  *wire.ChangeRequest  `cbor:"2,keyasint,omitempty"`
	Join    []wire.Member        `cbor:"3,keyasint,omitempty"`
	Remove  []Removal            `cbor:"4,keyasint,omitempty"`
	Claims  []wire.ClaimRequest  `cbor:"5,keyasint,omitempty"`
	Settles []wire.SettleRequest `cbor:"6,keyasint,omitempty"`
	Fences  []wire.MemberID      `cbor:"7,keyasint,omitempty"` // upstreams to issue a new fencing token for
	// LedgerLimit is the ledger size in bytes at which Claims take no new keys; zero means no limit. It is
	// part of the command because settings may differ between replicas.
	LedgerLimit int64            `cbor:"8,keyasint,omitempty"`
	Put         *wire.PutRequest `cbor:"9,keyasint,omitempty"`
	Owner       *wire.StageOwner `cbor:"10,keyasint,omitempty"`
	// PutDelta is a Put expressed as a delta against the text in force.
	PutDelta *wire.ConfigDelta `cbor:"11,keyasint,omitempty"`
	// Evacuate starts or ends the evacuation of a data centre.
	Evacuate *wire.EvacuationOrder `cbor:"12,keyasint,omitempty"`
	// Crashes reports calls during which upstreams ended, and clears suspects that were answered.
	Crashes *wire.CrashReport `cbor:"13,keyasint,omitempty"`
	// Lift ends the quarantine of the call with this fingerprint.
	Lift wire.Fingerprint `cbor:"14,keyasint,omitempty"`
	// StartRollout starts a rollout; StepRollout applies a decision about a running one.
	StartRollout *wire.RolloutOrder `cbor:"15,keyasint,omitempty"`
	StepRollout  *wire.RolloutStep  `cbor:"16,keyasint,omitempty"`
	Team         *TeamCommand       `cbor:"20,keyasint,omitempty"`
	Orders       *OrderCommand      `cbor:"40,keyasint,omitempty"`
}

// Removal ends a membership, unless the process has since rejoined with another incarnation.
type Removal struct {
	ID          wire.MemberID `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
}

// Result holds the results of a Command's parts.
type Result struct {
	Change  *wire.ChangeResult
	Claims  []wire.ClaimReply
	Settles []wire.SettleReply
	Fences  []uint64
	Put     *wire.PutResult
	// Rebase is set if PutDelta was based on another text than the one in force and had no effect.
	Rebase     bool
	Evacuation *wire.EvacuationResult
	Quarantine *wire.QuarantineChange
	Rollout    *wire.RolloutResult
	Team       *TeamResult
	Orders     []IssueResult
}

const (
	// ChangeWindow is the number of changes whose first answer is kept for resends. An older resend is still
	// never applied, because its number is used up.
	ChangeWindow  = 100_000
	memberLogSize = 4096
)

type changeRecord struct {
	ID     string            `cbor:"1,keyasint"`
	Hash   uint64            `cbor:"2,keyasint"` // hash of number and text
	Result wire.ChangeResult `cbor:"3,keyasint"`
	At     int64             `cbor:"4,keyasint"`
	Author string            `cbor:"5,keyasint,omitempty"`
	Number uint64            `cbor:"6,keyasint,omitempty"`
	// Sections are the sections of the text that the change modified.
	Sections []string `cbor:"7,keyasint,omitempty"`
}

type memberChange struct {
	seq     uint64
	id      wire.MemberID
	removed bool
}

// stored is the part of a Machine that goes into snapshots.
type stored struct {
	Now        int64                         `cbor:"1,keyasint"`
	Version    uint64                        `cbor:"2,keyasint"`
	Text       string                        `cbor:"3,keyasint"`
	Winner     string                        `cbor:"4,keyasint"` // id of the change that set Version; empty after a put
	Changes    []changeRecord                `cbor:"5,keyasint"`
	Ledger     int                           `cbor:"6,keyasint"` // only in snapshots: number of ledger parts that follow
	Members    map[wire.MemberID]wire.Member `cbor:"7,keyasint"`
	MembersSeq uint64                        `cbor:"8,keyasint"`
	Fence      uint64                        `cbor:"9,keyasint"`
	Fences     map[wire.MemberID]uint64      `cbor:"10,keyasint"`
	Owner      wire.StageOwner               `cbor:"11,keyasint"`
	PackedText []byte                        `cbor:"12,keyasint,omitempty"` // only in snapshots: compressed Text, if it is long
	Teams      map[string]Team               `cbor:"20,keyasint,omitempty"`
	Keys       []Key                         `cbor:"21,keyasint,omitempty"`
	Orders     map[wire.MemberID]OrderRecord `cbor:"40,keyasint,omitempty"`
	Bucket     bucket                        `cbor:"41,keyasint"`
	Forecast   map[string][]uint32           `cbor:"42,keyasint,omitempty"`

	Evacuations wire.Evacuations  `cbor:"43,keyasint"`
	Quarantine  quarantine.Ledger `cbor:"44,keyasint"`
	Rollouts    wire.Rollouts     `cbor:"45,keyasint"`
	Versions    versionTimes      `cbor:"46,keyasint,omitempty"`
	// VersionsFrom is when the history in Versions begins, or sinceCreation; zero if there is none yet.
	VersionsFrom int64 `cbor:"47,keyasint,omitempty"`
}

// Machine is the state machine. A single goroutine owns it; others read its View.
type Machine struct {
	s           stored
	ledger      ledger
	changeIndex map[string]int // change id to index in s.Changes
	memberLog   []memberChange

	teamsView         *Teams            // built from the current teams
	historyView       []wire.ChangeInfo // built from the current changes
	suspects          wire.Suspects     // built from the current quarantine
	quarantineEntries []wire.QuarantineEntry
	quarantineExpiry  int64 // next time at which a quarantine entry expires; milliseconds since the Unix epoch
	view              *View
	cache             viewCache
}

// View is an immutable read-only copy of the state.
type View struct {
	Config        wire.ConfigText
	TextHistory   *textdelta.History
	Winner        string // id of the change that set the version in force; empty after a put
	MembersSeq    uint64
	Members       map[wire.MemberID]wire.Member
	LedgerEntries int
	Teams         *Teams
	ChangeHistory []wire.ChangeInfo             // newest last
	LedgerBytes   int64                         // as compared with Command.LedgerLimit
	Orders        map[wire.MemberID]OrderRecord // last order of each upstream
	Forecast      map[string][]uint32           // peaks per slot by service, see ForecastSlot
	Fences        map[wire.MemberID]uint64      // highest fencing token of each upstream
	Fence         uint64                        // highest fencing token of all upstreams
	Owner         wire.StageOwner
	// Evacuations lists the data centres whose upstreams get no new calls, and those evacuated earlier.
	Evacuations wire.Evacuations
	// Suspects lists calls that end upstreams, in the form sent to processes; Quarantine is the operators'
	// list of them.
	Suspects   wire.Suspects
	Quarantine []wire.QuarantineEntry
	// Rollouts holds the last rollout of each service.
	Rollouts     wire.Rollouts
	memberLog    []memberChange
	fullList     *fullMemberList
	now          int64 // of the last command, milliseconds since the Unix epoch
	versions     versionTimes
	versionsFrom int64
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
	m.changeIndex = map[string]int{}
	for i, c := range m.s.Changes {
		m.changeIndex[c.ID] = i
	}
	m.ledger = newLedger(list)
	m.s.Ledger = 0
	m.memberLog = nil
	m.view = nil
	m.teamsView, m.historyView = m.buildTeams(), m.buildHistory()
	m.refreshQuarantine()
	m.cache = viewCache{history: textdelta.NewHistory(m.s.Version, m.s.Text)}
}

// Apply decodes and executes one Command.
func (m *Machine) Apply(data []byte) (Result, error) {
	c, err := decodeCommand(data)
	if err != nil {
		return Result{}, err
	}
	m.beginVersions()
	m.s.Now = max(m.s.Now, c.Now)
	m.ledger.expire(m.s.Now)
	var r Result
	if c.Change != nil {
		res := m.applyChange(c.Change)
		r.Change = &res
	}
	if c.Put != nil {
		res := m.applyPut(c.Put)
		r.Put = &res
	}
	if c.PutDelta != nil {
		r.Put, r.Rebase = m.applyPutDelta(c.PutDelta)
	}
	if c.Owner != nil && c.Owner.Epoch > m.s.Owner.Epoch {
		m.s.Owner = *c.Owner
	}
	if c.Evacuate != nil {
		res := m.applyEvacuation(c.Evacuate)
		r.Evacuation = &res
	}
	m.applyQuarantine(&c, &r)
	m.applyRollouts(&c, &r)
	for _, member := range c.Join {
		m.addMember(member)
	}
	for _, rm := range c.Remove {
		m.removeMember(rm)
	}
	for _, claim := range c.Claims {
		r.Claims = append(r.Claims, m.ledger.claim(claim, m.s.Now, c.LedgerLimit))
	}
	for _, settle := range c.Settles {
		r.Settles = append(r.Settles, m.ledger.settle(settle, m.s.Now))
	}
	for _, id := range c.Fences {
		r.Fences = append(r.Fences, m.issueToken(id))
	}
	if c.Team != nil {
		res := m.applyTeam(c.Team)
		m.teamsView = m.buildTeams()
		r.Team = &res
	}
	if c.Orders != nil {
		r.Orders = m.applyOrders(c.Orders)
	}
	m.view = nil
	return r, nil
}

// applyChange accepts a change whose number is the current version plus one. A resend gets the first answer
// again and has no effect.
func (m *Machine) applyChange(c *wire.ChangeRequest) wire.ChangeResult {
	hash := changeHash(c)
	if i, seen := m.changeIndex[c.ChangeID]; seen {
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
		m.cache.history = m.cache.history.Next(c.Number, c.Text)
		res = wire.ChangeResult{Accepted: true, Version: c.Number}
	} else {
		res.Reason = "the number is not the current version plus one"
		res.Winner = m.s.Winner
	}
	m.recordChange(changeRecord{ID: c.ChangeID, Hash: hash, Result: res, At: m.s.Now, Author: c.Author, Number: c.Number, Sections: c.Sections})
	return res
}

func changeHash(c *wire.ChangeRequest) uint64 {
	d := xxhash.New()
	data, _ := cbor.Marshal([2]any{c.Number, c.Text}) // cannot fail for these types
	d.Write(data)
	return d.Sum64()
}

func (m *Machine) recordChange(r changeRecord) {
	defer func() { m.historyView = m.buildHistory() }()
	m.changeIndex[r.ID] = len(m.s.Changes)
	m.s.Changes = append(m.s.Changes, r)
	if len(m.s.Changes) < 2*ChangeWindow {
		return
	}
	// Drop the older half at once, which keeps the amortized cost per change constant.
	for _, old := range m.s.Changes[:ChangeWindow] {
		delete(m.changeIndex, old.ID)
	}
	m.s.Changes = append([]changeRecord(nil), m.s.Changes[ChangeWindow:]...)
	for i, c := range m.s.Changes {
		m.changeIndex[c.ID] = i
	}
}

func (m *Machine) addMember(member wire.Member) {
	old, known := m.s.Members[member.ID]
	if known && !member.NewerThan(old) {
		return
	}
	m.recordVersion(old)
	m.recordVersion(member)
	m.s.Members[member.ID] = member
	m.recordMemberChange(member.ID, false)
}

func (m *Machine) removeMember(r Removal) {
	current, ok := m.s.Members[r.ID]
	if !ok || current.Incarnation != r.Incarnation {
		return
	}
	m.recordVersion(current)
	delete(m.s.Members, r.ID)
	m.recordMemberChange(r.ID, true)
}

func (m *Machine) recordMemberChange(id wire.MemberID, removed bool) {
	m.s.MembersSeq++
	m.memberLog = append(m.memberLog, memberChange{m.s.MembersSeq, id, removed})
	if len(m.memberLog) >= 2*memberLogSize {
		m.memberLog = append([]memberChange(nil), m.memberLog[memberLogSize:]...)
	}
}

func (m *Machine) issueToken(id wire.MemberID) uint64 {
	m.s.Fence++
	m.s.Fences = cloneOrEmpty(m.s.Fences) // views share the old map
	m.s.Fences[id] = m.s.Fence
	return m.s.Fence
}

// Restore replaces the state by an encoded snapshot; empty data stands for the empty state.
func (m *Machine) Restore(data []byte) error {
	var s stored
	if len(data) > 0 {
		rest, err := decMode.UnmarshalFirst(data, &s)
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

// UnsettledClaims returns up to n claims that have been unsettled for at least age, oldest first, without
// those for which skip is true. It does not change the state.
func (m *Machine) UnsettledClaims(now time.Time, age time.Duration, n int, skip func(wire.AttemptID) bool) []wire.ClaimRequest {
	return m.ledger.unsettledClaims(now.Add(-age).UnixMilli(), n, skip)
}

// View returns the current view. Other goroutines may use it.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{
		Config:        m.cache.history.Text(),
		TextHistory:   m.cache.history,
		Winner:        m.s.Winner,
		MembersSeq:    m.s.MembersSeq,
		Members:       m.memberView(),
		fullList:      m.cache.fullList,
		LedgerEntries: len(m.ledger.entries),
		LedgerBytes:   m.ledger.bytes,
		Teams:         m.teamsView,
		ChangeHistory: m.historyView,
		Orders:        m.s.Orders,
		Forecast:      m.s.Forecast,
		Fences:        m.s.Fences,
		Fence:         m.s.Fence,
		Owner:         m.s.Owner,
		Evacuations:   m.s.Evacuations,
		Suspects:      m.suspects,
		Quarantine:    m.quarantineEntries,
		Rollouts:      m.s.Rollouts,
		memberLog:     m.memberLog[:len(m.memberLog):len(m.memberLog)],
		now:           m.s.Now,
		versions:      m.s.Versions,
		versionsFrom:  m.s.VersionsFrom,
	}
	return m.view
}
