package stagework

import (
	"expvar"
	"fmt"
	"math"
	"time"

	"caperdrum.org/api/verdict"
)

// Counters since the start of the process. The labels are configured services and the
// outcomes below, so their number is bounded.
var (
	jobsVar              = expvar.NewMap("stagework_jobs")                // jobs that this process ended as the owner, by outcome
	callsVar             = expvar.NewMap("stagework_calls")               // of upstreams, by service
	piecesVar            = expvar.NewMap("stagework_pieces")              // in those calls, by service
	retriedVar           = expvar.NewMap("stagework_pieces_again")        // pieces tried again, by service/reason
	hedgesVar            = expvar.NewMap("stagework_hedges")              // hedges started, by service
	hedgesWonVar         = expvar.NewMap("stagework_hedges_won")          // hedges that brought the first result of a piece, by service
	hedgesWastedVar      = expvar.NewMap("stagework_hedges_wasted")       // hedges that brought none, by service
	batchSlotsVar        = expvar.NewMap("stagework_places")              // batch slots of calls made while another batch waited, by service
	batchSlotsUsedVar    = expvar.NewMap("stagework_taken")               // used ones of those slots, by service
	noRoomVar            = expvar.NewMap("stagework_no_room")             // pieces rejected for want of room, by service
	failedReportsVar     = expvar.NewMap("stagework_reports_unread")      // room reports that failed, by service
	earlyFreedVar        = expvar.NewInt("stagework_given_up")            // results freed as soon as they were fetched
	permitsVar           = expvar.NewMap("stagework_permits")             // permits handed out for upstreams that limit their requests, by service; at the owner
	permitsDeniedVar     = expvar.NewMap("stagework_permits_denied")      // requests for a permit that no upstream's limit admitted, by service; at the owner
	permitsUnansweredVar = expvar.NewInt("stagework_permits_unanswered")  // requests for a permit that the owner did not answer
	fetchesVar           = expvar.NewInt("stagework_fetches")             // calls for which an engine fetches prompt parts
	overShareVar         = expvar.NewMap("stagework_refused_over_share")  // jobs put behind others because their customers are over their shares, by service
	predictionsVar       = expvar.NewMap("stagework_predictions")         // jobs that ended, by what was predicted at admission/their outcome
	pieceLabelsVar       = expvar.NewMap("stagework_pieces_by_label")     // pieces in calls, by service/whether their jobs could still reach their goals
	rankPredictionsVar   = expvar.NewMap("stagework_predictions_by_rank") // jobs that ended, by rank/what was predicted at admission/their outcome
	rankPiecesVar        = expvar.NewMap("stagework_pieces_by_rank")      // pieces in calls, by rank/whether their jobs could still reach their goals
	rankRefusedVar       = expvar.NewMap("stagework_refused_by_rank")     // jobs refused because of the work ahead, by rank/whether that work alone makes them miss their goals
	predictedTimeVar     = expvar.NewMap("stagework_predicted_ms")        // sum of the predicted times of jobs that ended with a result, by rank
	actualTimeVar        = expvar.NewMap("stagework_actual_ms")           // sum of the actual times of the same jobs, by rank
	goalPassedVar        = expvar.NewMap("stagework_goal_passed")         // jobs that were predicted in time and ended late, by rank/service at which their goals passed
	ownerSince           = expvar.NewString("stagework_owner_since")
	waitingVar           = expvar.NewMap("stagework_waiting")    // pieces, by service; at the owner
	roomVar              = expvar.NewMap("stagework_room_free")  // bytes at all healthy upstreams, by service; at the owner
	activeJobsVar        = expvar.NewInt("stagework_jobs_now")   // at the owner
	throughputVar        = expvar.NewMap("stagework_throughput") // pieces a second that are expected now, without the bound by room for results; by service, at the owner
)

// Outcomes of jobs.
const (
	jobInTime  = "in_time"
	jobLate    = "late"
	jobFailed  = "failed"
	jobMoved   = "moved"
	jobRefused = "refused"
)

// gaugeInterval is how often the owner's gauges are set, which walks over its queues.
const gaugeInterval = time.Second

// setGauges sets the gauges to the owner's current state.
func (s *scheduler) setGauges(now time.Time) {
	if now.Sub(s.gaugesSet) < gaugeInterval {
		return
	}
	s.gaugesSet = now
	activeJobsVar.Set(int64(len(s.jobs)))
	for name, q := range s.services {
		setGauge(waitingVar, name, int64(len(q.waiting)))
		setGauge(throughputVar, name, int64(math.Round(q.throughput(0, 0))))
		if q.spec.ResultRoom > 0 {
			setGauge(roomVar, name, q.freeRoom())
		}
	}
}

func setGauge(m *expvar.Map, name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.Set(name, v)
}

// pieceCounts counts pieces by whether their jobs could reach their goals when the call started.
type pieceCounts struct{ inTime, late int }

func (n pieceCounts) minus(o pieceCounts) pieceCounts {
	return pieceCounts{n.inTime - o.inTime, n.late - o.late}
}

// countCall counts a call and its pieces.
func (q *serviceQueue) countCall(now time.Time, c *call) {
	callsVar.Add(q.spec.Name, 1)
	piecesVar.Add(q.spec.Name, int64(len(c.pieces)))
	var n pieceCounts
	for _, p := range c.pieces {
		if _, late := p.latestStart(now, q.spec); late {
			n.late++
			rankPiecesVar.Add(p.job.rankLabel()+"/"+jobLate, 1)
		} else {
			n.inTime++
			rankPiecesVar.Add(p.job.rankLabel()+"/"+jobInTime, 1)
		}
	}
	q.taken.inTime += n.inTime
	q.taken.late += n.late
	pieceLabelsVar.Add(q.spec.Name+"/"+jobInTime, int64(n.inTime))
	pieceLabelsVar.Add(q.spec.Name+"/"+jobLate, int64(n.late))
	if c.leftWaiting >= q.spec.Batch {
		batchSlotsVar.Add(q.spec.Name, int64(q.spec.Batch))
		batchSlotsUsedVar.Add(q.spec.Name, int64(len(c.pieces)))
	}
}

// rankLabel is the metric label of a job's rank: its priority, and that of its route.
func (j *Job) rankLabel() string { return fmt.Sprintf("%d.%d", j.Priority, j.RoutePriority) }

// countEnd counts a job that ended, by its rank.
func (j *job) countEnd(now time.Time, outcome string) {
	rank := j.rankLabel()
	predictionsVar.Add(j.prediction()+"/"+outcome, 1)
	rankPredictionsVar.Add(rank+"/"+j.prediction()+"/"+outcome, 1)
	if outcome == jobInTime || outcome == jobLate {
		predictedTimeVar.Add(rank, j.estimate.Milliseconds())
		actualTimeVar.Add(rank, now.Sub(j.arrived).Milliseconds())
	}
	if !j.predictedLate && outcome != jobMoved && now.After(j.goal) {
		goalPassedVar.Add(rank+"/"+j.goalPassedAt(), 1)
	}
}

// goalPassedAt is the service of the first stage that was not done when the goal passed; empty: all stages were done.
func (j *job) goalPassedAt() string {
	for i, st := range j.Stages {
		if done := j.times[i].done; st.Pieces > 0 && (done.IsZero() || done.After(j.goal)) {
			return st.Service
		}
	}
	return ""
}

// prediction is the metric label for what was predicted of the job at its admission.
func (j *job) prediction() string {
	if j.predictedLate {
		return jobLate
	}
	return jobInTime
}

// outcomeOf is the metric label for how a job ended.
func (j *job) outcomeOf(now time.Time, r Result, err error) string {
	switch {
	case r.Moved || err != nil && verdict.From(err).Code == verdict.CodeUpstreamLeaving:
		return jobMoved
	case err != nil:
		return jobFailed
	case now.After(j.goal):
		return jobLate
	}
	return jobInTime
}
