package state

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"sort"
	"time"

	"caperdrum.org/api/wire"
)

// TeamCommand changes the teams or their keys. Exactly one of its parts is set.
type TeamCommand struct {
	Put    *Team  `cbor:"1,keyasint,omitempty"` // adds a team or replaces its permissions; its keys stay
	Delete string `cbor:"2,keyasint,omitempty"`
	AddKey *Key   `cbor:"3,keyasint,omitempty"`
	EndKey string `cbor:"4,keyasint,omitempty"` // id of the key that expires at EndAt
	EndAt  int64  `cbor:"5,keyasint,omitempty"` // milliseconds since the Unix epoch
	Author string `cbor:"6,keyasint,omitempty"`
}

// Team is a group of operators with their permissions.
type Team struct {
	Name      string    `cbor:"1,keyasint"`
	Role      wire.Role `cbor:"2,keyasint"`
	Services  []string  `cbor:"3,keyasint,omitempty"`
	Pipelines []string  `cbor:"4,keyasint,omitempty"`
}

// Key is a bearer key. Only the hash of its secret is stored; the secret has 256 random bits, so an unsalted
// hash resists guessing.
type Key struct {
	ID    string            `cbor:"1,keyasint"`
	Team  string            `cbor:"2,keyasint"`
	Hash  [sha256.Size]byte `cbor:"3,keyasint"`
	Made  int64             `cbor:"4,keyasint"`
	EndAt int64             `cbor:"5,keyasint,omitempty"` // 0: never expires
}

// TeamResult is the result of a TeamCommand.
type TeamResult struct {
	Done   bool
	Reason string
}

// maxTeamKeys limits the keys per team; two are enough to replace a key without an interruption.
const maxTeamKeys = 8

func (m *Machine) applyTeam(c *TeamCommand) TeamResult {
	m.dropEndedKeys()
	switch {
	case c.Put != nil:
		return m.putTeam(*c.Put)
	case c.Delete != "":
		return m.deleteTeam(c.Delete)
	case c.AddKey != nil:
		return m.addKey(*c.AddKey)
	default:
		return m.endKey(c.EndKey, c.EndAt)
	}
}

func (m *Machine) putTeam(t Team) TeamResult {
	if m.s.Teams == nil {
		m.s.Teams = map[string]Team{}
	}
	old, exists := m.s.Teams[t.Name]
	if exists && old.Role == wire.RoleAdministrator && t.Role != wire.RoleAdministrator && m.administrators() == 1 {
		return TeamResult{Reason: "the last team of administrators cannot lose that role"}
	}
	m.s.Teams[t.Name] = t
	return TeamResult{Done: true}
}

func (m *Machine) administrators() int {
	n := 0
	for _, t := range m.s.Teams {
		if t.Role == wire.RoleAdministrator {
			n++
		}
	}
	return n
}

func (m *Machine) deleteTeam(name string) TeamResult {
	t, ok := m.s.Teams[name]
	if !ok {
		return TeamResult{Reason: "no such team"}
	}
	if t.Role == wire.RoleAdministrator && m.administrators() == 1 {
		return TeamResult{Reason: "the last team of administrators cannot be deleted"}
	}
	delete(m.s.Teams, name)
	m.s.Keys = slices.DeleteFunc(slices.Clone(m.s.Keys), func(k Key) bool { return k.Team == name })
	return TeamResult{Done: true}
}

func (m *Machine) addKey(k Key) TeamResult {
	if _, ok := m.s.Teams[k.Team]; !ok {
		return TeamResult{Reason: "no such team"}
	}
	count := 0
	for _, other := range m.s.Keys {
		if other.ID == k.ID {
			return TeamResult{Done: true} // duplicate of the same command
		}
		if other.Team == k.Team {
			count++
		}
	}
	if count >= maxTeamKeys {
		return TeamResult{Reason: "the team has too many keys: end one first"}
	}
	k.Made = m.s.Now
	m.s.Keys = append(slices.Clone(m.s.Keys), k)
	return TeamResult{Done: true}
}

func (m *Machine) endKey(id string, at int64) TeamResult {
	for i, k := range m.s.Keys {
		if k.ID == id {
			m.s.Keys = slices.Clone(m.s.Keys)
			m.s.Keys[i].EndAt = max(at, m.s.Now)
			return TeamResult{Done: true}
		}
	}
	return TeamResult{Reason: "no such key"}
}

func (m *Machine) dropEndedKeys() {
	m.s.Keys = slices.DeleteFunc(slices.Clone(m.s.Keys), func(k Key) bool { return k.EndAt != 0 && k.EndAt < m.s.Now })
}

// Teams is an immutable copy of the teams and their keys.
type Teams struct {
	byName map[string]Team
	keys   []Key
}

func (m *Machine) buildTeams() *Teams {
	byName := make(map[string]Team, len(m.s.Teams))
	for name, t := range m.s.Teams {
		byName[name] = t
	}
	return &Teams{byName: byName, keys: m.s.Keys}
}

// Authenticate returns the team that owns the key, if the secret matches and the key is valid at the given
// time.
func (t *Teams) Authenticate(id, secret string, now time.Time) (Team, bool) {
	hash := sha256.Sum256([]byte(secret))
	for _, k := range t.keys {
		if k.ID != id || subtle.ConstantTimeCompare(k.Hash[:], hash[:]) != 1 {
			continue
		}
		if k.EndAt != 0 && k.EndAt <= now.UnixMilli() {
			return Team{}, false
		}
		team, ok := t.byName[k.Team]
		return team, ok
	}
	return Team{}, false
}

// List returns the teams sorted by name, with their keys but without secrets.
func (t *Teams) List() []wire.TeamInfo {
	var out []wire.TeamInfo
	for _, team := range t.byName {
		info := wire.TeamInfo{Name: team.Name, Role: team.Role, Services: team.Services, Pipelines: team.Pipelines}
		for _, k := range t.keys {
			if k.Team == team.Name {
				info.Keys = append(info.Keys, wire.KeyInfo{ID: k.ID, CreatedAt: k.Made, ExpiresAt: k.EndAt})
			}
		}
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// maxHistoryEntries is the number of changes that a view lists.
const maxHistoryEntries = 200

func (m *Machine) buildHistory() []wire.ChangeInfo {
	records := m.s.Changes[max(0, len(m.s.Changes)-maxHistoryEntries):]
	out := make([]wire.ChangeInfo, len(records))
	for i, r := range records {
		out[i] = wire.ChangeInfo{Number: r.Number, ChangeID: r.ID, Author: r.Author, Accepted: r.Result.Accepted,
			Reason: r.Result.Reason, At: r.At, Sections: r.Sections}
	}
	return out
}
