package pipeline

import (
	"expvar"
	"time"
)

// Cost by stage. Held is the time that attempts of the stage held an upstream;
// wasted is the part of it whose answer was not used: losers of hedges,
// attempts that failed, and streams that were cut.
var (
	stageSeconds = expvar.NewMap("stage_upstream_seconds")
	stageWasted  = expvar.NewMap("stage_wasted_seconds")
	stageCalls   = expvar.NewMap("stage_calls")
	retriesVar   = expvar.NewInt("retries")
	hedgesVar    = expvar.NewInt("hedges")
	hedgesWon    = expvar.NewInt("hedges_won")
	resumesVar   = expvar.NewInt("streams_resumed")
	recomputed   = expvar.NewInt("tokens_recomputed") // prefixes of resumed streams
)

func countStage(stage string, took time.Duration, used bool) {
	stageSeconds.AddFloat(stage, took.Seconds())
	stageCalls.Add(stage, 1)
	if !used {
		stageWasted.AddFloat(stage, took.Seconds())
	}
}
