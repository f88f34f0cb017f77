package pipeline

import (
	"expvar"
	"time"
)

// Cost by stage. stageSeconds is the time in seconds that attempts of a stage occupied an upstream;
// stageWasted is the part of it whose response was not used: losing hedges, failed attempts and streams that
// broke off.
var (
	stageSeconds = expvar.NewMap("stage_upstream_seconds")
	stageWasted  = expvar.NewMap("stage_wasted_seconds")
	stageCalls   = expvar.NewMap("stage_calls")
	retriesVar   = expvar.NewInt("retries")
	hedgesVar    = expvar.NewInt("hedges")
	hedgesWon    = expvar.NewInt("hedges_won")
	resumesVar   = expvar.NewInt("streams_resumed")
	recomputed   = expvar.NewInt("tokens_recomputed") // tokens forwarded before resumptions
)

func countStage(stage string, took time.Duration, used bool) {
	stageSeconds.AddFloat(stage, took.Seconds())
	stageCalls.Add(stage, 1)
	if !used {
		stageWasted.AddFloat(stage, took.Seconds())
	}
}
