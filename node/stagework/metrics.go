package stagework

import (
	"expvar"
	"time"

	"caperdrum.org/api/verdict"
)

// Counters since the start of the process. Labels are services of the text and the
// outcomes below, so their number is bounded.
var (
	jobsVar     = expvar.NewMap("stagework_jobs")           // that this process ended as an owner, by outcome
	callsVar    = expvar.NewMap("stagework_calls")          // of upstreams, by service
	piecesVar   = expvar.NewMap("stagework_pieces")         // in those calls, by service
	againVar    = expvar.NewMap("stagework_pieces_again")   // asked for once more, by service/reason
	placesVar   = expvar.NewMap("stagework_places")         // that calls had while a whole one waited, by service
	takenVar    = expvar.NewMap("stagework_taken")          // of these, pieces in them
	noRoomVar   = expvar.NewMap("stagework_no_room")        // pieces that met no room, by service
	unreadVar   = expvar.NewMap("stagework_reports_unread") // of room, that did not come or could not be read, by service
	givenUpVar  = expvar.NewInt("stagework_given_up")       // results that were freed once they were fetched
	fetchesVar  = expvar.NewInt("stagework_fetches")        // calls for which an engine fetches parts of the prompt
	ownerSince  = expvar.NewString("stagework_owner_since")
	waitingVar  = expvar.NewMap("stagework_waiting")   // pieces, by service; at the owner
	roomVar     = expvar.NewMap("stagework_room_free") // bytes at all healthy upstreams, by service; at the owner
	underWayVar = expvar.NewInt("stagework_jobs_now")  // at the owner
)

// Outcomes of jobs.
const (
	jobInTime  = "in_time"
	jobLate    = "late"
	jobFailed  = "failed"
	jobMoved   = "moved"
	jobRefused = "refused"
)

// gaugeInterval is how often the owner's gauges are set: its queues are walked for that.
const gaugeInterval = time.Second

// gauges sets what the owner holds now.
func (s *scheduler) gauges(now time.Time) {
	if now.Sub(s.gauged) < gaugeInterval {
		return
	}
	s.gauged = now
	underWayVar.Set(int64(len(s.jobs)))
	for name, q := range s.services {
		set(waitingVar, name, int64(len(q.waiting)))
		if q.spec.ResultRoom > 0 {
			set(roomVar, name, q.freeRoom())
		}
	}
}

func set(m *expvar.Map, name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.Set(name, v)
}

// countCall counts a call that is made.
func (q *serviceQueue) countCall(c *call) {
	callsVar.Add(q.spec.Name, 1)
	piecesVar.Add(q.spec.Name, int64(len(c.pieces)))
	if c.behind >= q.spec.Batch {
		placesVar.Add(q.spec.Name, int64(q.spec.Batch))
		takenVar.Add(q.spec.Name, int64(len(c.pieces)))
	}
}

// outcomeOf names how a job ended.
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
