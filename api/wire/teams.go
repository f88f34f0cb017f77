package wire

// Role is the permission level of a team.
type Role string

// Roles of teams.
const (
	RoleViewer        Role = "viewer"        // may read everything and change nothing
	RoleOperator      Role = "operator"      // may change the sections of its services and pipelines
	RoleAdministrator Role = "administrator" // may change everything
)

// TeamInfo describes a team.
type TeamInfo struct {
	Name      string    `json:"name"`
	Role      Role      `json:"role"`
	Services  []string  `json:"services,omitempty"`
	Pipelines []string  `json:"pipelines,omitempty"`
	Keys      []KeyInfo `json:"keys,omitempty"`
}

// KeyInfo describes a bearer key without its secret. Times are in milliseconds since the
// Unix epoch.
type KeyInfo struct {
	ID        string `json:"id"`
	CreatedAt int64  `json:"made"`
	ExpiresAt int64  `json:"end_at,omitempty"` // zero: the key does not expire
}

// NewKey is a new bearer key. Its secret is shown only once.
type NewKey struct {
	ID  string `json:"id"`
	Key string `json:"key"` // sent as "Authorization: Bearer KEY"
}

// InitReply answers the initialization of a cluster.
type InitReply struct {
	Status ControlStatus `json:"status"`
	Key    NewKey        `json:"key"` // of the first administrators
}

// ChangeInfo is one row of the change history.
type ChangeInfo struct {
	Number   uint64   `json:"number"`
	ChangeID string   `json:"change_id"`
	Author   string   `json:"author"`
	Accepted bool     `json:"accepted"`
	Reason   string   `json:"reason,omitempty"`
	At       int64    `json:"at"` // milliseconds since the Unix epoch
	Sections []string `json:"sections,omitempty"`
}
