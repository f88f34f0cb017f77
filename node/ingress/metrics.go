package ingress

import "expvar"

var (
	takenVar       = expvar.NewInt("ingress_connections")         // new connections of callers that were taken
	refusedVar     = expvar.NewMap("ingress_connections_refused") // new connections that were closed unread, by reason
	idleClosedVar  = expvar.NewInt("ingress_idle_closed")         // idle connections that were closed for new ones
	inProgressVar  = expvar.NewInt("ingress_calls_in_progress")   // calls in progress, and new connections without one yet
	limitVar       = expvar.NewInt("ingress_limit")               // of calls in progress; 0: none
	roundTripVar   = expvar.NewInt("ingress_round_trip_us")       // to other processes, in excess of the shortest: waits for link and processor
	processorVar   = expvar.NewInt("ingress_processor_wait_us")   // that goroutines wait for the processor
	connectionsVar = expvar.NewInt("ingress_connection_wait_us")  // that calls wait for a connection to an upstream
	probesVar      = expvar.NewMap("ingress_probes")              // probes of other processes, by result
)
