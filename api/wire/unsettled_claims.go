package wire

// UnsettledClaims lists claims that were not settled in time, for an entry to settle.
type UnsettledClaims struct {
	Claims []ClaimRequest `json:"claims"`
}
