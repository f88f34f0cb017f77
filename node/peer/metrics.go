package peer

import "expvar"

// openedVar counts connections that were opened to other processes.
var openedVar = expvar.NewInt("peer_connections_opened")

// silentVar counts connections to other processes that fell silent, and of these the ones that were closed as dead with
// calls in progress.
var silentVar = expvar.NewMap("peer_connections_silent")
