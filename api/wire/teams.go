package wire

// Role is what a team may do.
type Role string

// Roles of teams.
const (
	RoleViewer        Role = "viewer"        // reads everything, changes nothing
	RoleOperator      Role = "operator"      // changes the sections of its services and pipelines
	RoleAdministrator Role = "administrator" // changes everything
)

// TeamInfo describes a team.
type TeamInfo struct {
	Name      string    `json:"name"`
	Role      Role      `json:"role"`
	Services  []string  `json:"services,omitempty"`
	Pipelines []string  `json:"pipelines,omitempty"`
	Keys      []KeyInfo `json:"keys,omitempty"`
}

// KeyInfo describes a bearer key without its secret. Times are milliseconds
// since the Unix epoch.
type KeyInfo struct {
	ID    string `json:"id"`
	Made  int64  `json:"made"`
	EndAt int64  `json:"end_at,omitempty"` // zero: does not end
}

// NewKey is a bearer key as it is shown once, when it is made.
type NewKey struct {
	ID  string `json:"id"`
	Key string `json:"key"` // sent as "Authorization: Bearer KEY"
}

// InitReply answers the forming of a cluster.
type InitReply struct {
	Status ControlStatus `json:"status"`
	Key    NewKey        `json:"key"` // of the first administrators
}

// ChangeInfo is one row of the history of changes.
type ChangeInfo struct {
	Number   uint64   `json:"number"`
	ChangeID string   `json:"change_id"`
	Author   string   `json:"author"`
	Accepted bool     `json:"accepted"`
	Reason   string   `json:"reason,omitempty"`
	At       int64    `json:"at"` // milliseconds since the Unix epoch
	Sections []string `json:"sections,omitempty"`
}
