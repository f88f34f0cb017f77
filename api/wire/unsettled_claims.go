package wire

// HeldReply lists claims that were not settled in time, for an entry to settle.
type HeldReply struct {
	Claims []ClaimRequest `json:"claims"`
}
