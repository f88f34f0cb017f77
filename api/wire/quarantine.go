package wire

// Fingerprint identifies a call by what its caller sends, whatever id a try has: two
// calls with one fingerprint are copies of each other. It reveals nothing of the body.
type Fingerprint string
