package streamorigin

import "expvar"

var (
	begunVar   = expvar.NewInt("stream_origins_begun")    // streams that began at this process and can be taken up
	unheldVar  = expvar.NewInt("stream_origins_unheld")   // of these, without a copy elsewhere when their first event went out
	copiesVar  = expvar.NewInt("stream_origins_sent")     // copies sent to other processes
	failedVar  = expvar.NewInt("stream_origins_not_sent") // of these, not taken
	movedVar   = expvar.NewInt("stream_origins_moved")    // copies sent since a process was lost or leaves
	recordsVar = expvar.NewInt("stream_origins_now")      // records held
	evictedVar = expvar.NewInt("stream_origins_evicted")  // records dropped before they expired
	findsVar   = expvar.NewMap("stream_origins_finds")    // streams that callers take up, by result
)
