package stagework

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/upstream"
)

// runCall makes a call of an upstream and hands its outcome to the scheduler.
func (s *Service) runCall(c *call) {
	o := s.doCall(c)
	if o.results != nil {
		s.log.V(logging.Routine).Info("stage call succeeded", "service", c.service, "upstream", c.worker.member.ID, "pieces", len(c.pieces), "longest_wait", c.longestWait,
			"left_waiting", c.leftWaiting, "expected", c.expected, "took", time.Since(c.started))
	} else {
		s.log.Info("stage call failed", "service", c.service, "upstream", c.worker.member.ID, "address", c.worker.member.Direct,
			"pieces", len(c.pieces), "full", o.full, "moved", o.misdirected, "limit", c.timeout, "took", time.Since(c.started), "error", o.err)
	}
	s.post(func(now time.Time) {
		s.scheduleFree(s.scheduler.finishCall(now, c, o))
	})
}

func (s *Service) doCall(c *call) outcome {
	ctx, cancel := context.WithTimeout(s.ctx, c.timeout)
	defer cancel()
	path, body := s.protocol.RunPieces(c.request)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.SetHeaders(header, upstream.CallMetadata{Instance: c.worker.member.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: c.worker.member.Start(), Address: c.worker.member.Direct, Method: http.MethodPost, Target: path,
		Host: c.worker.member.Direct, Header: header, Body: body, NewConnection: true, Permit: upstream.NewPermit(c.worker.member.Start(), s.notices.PermitExpiry())})
	if err != nil {
		return errorOutcome(err)
	}
	defer resp.Close()
	o := s.readPieces(c, resp)
	o.pause, o.leaving = resp.Info.Pause, resp.Info.Leaving
	return o
}

// errorOutcome is the outcome of a call without an answer. If the call was held back because the
// upstream wants no calls, the upstream counts as full.
func errorOutcome(err error) outcome {
	v := verdict.From(err)
	switch {
	case v.Verdict == verdict.NotRun && v.Code == verdict.CodeOverloaded:
		return outcome{full: true, pause: v.RetryAfter, err: err.Error()}
	case v.Verdict == verdict.NotRun && v.Code == verdict.CodeUpstreamLeaving:
		return outcome{full: true, leaving: true, err: err.Error()}
	}
	return outcome{err: err.Error(), unreachable: upstream.IsUnreachable(err)}
}

func (s *Service) readPieces(c *call, resp *upstream.Response) outcome {
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return outcome{misdirected: true, err: "another upstream answers at the address"}
	case resp.Info.NotRun:
		return outcome{full: true, err: "full"}
	case resp.Status != http.StatusOK:
		return outcome{err: http.StatusText(resp.Status)}
	}
	data, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return outcome{err: err.Error()}
	}
	results, err := s.protocol.ParsePieceResults(data)
	if err == nil && len(results) != len(c.pieces) {
		err = errors.Errorf("got %d results for %d pieces", len(results), len(c.pieces))
	}
	if err != nil {
		return outcome{err: err.Error()}
	}
	return outcome{results: results}
}

// requestReport asks an upstream how much room it has for results.
func (s *Service) requestReport(w *worker) {
	room, err := s.roomReport(w.member)
	s.post(func(now time.Time) {
		s.scheduler.applyReport(now, w, room)
		s.upstreamsRestarted(now, s.scheduler.takeRestarted())
		if err != nil {
			failedReportsVar.Add(w.member.Service, 1)
			s.log.Info("room report failed", "service", w.member.Service, "upstream", w.member.ID, "error", err.Error())
		}
		s.log.V(logging.Detail).Info("room report", "service", w.member.Service, "upstream", w.member.ID, "report", room, "own", w.ownBytes, "of_others", w.foreignBytes)
	})
}

// roomReport fetches an upstream's report of its room.
func (s *Service) roomReport(m wire.Member) (*upstream.Room, error) {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	header := http.Header{}
	s.protocol.SetHeaders(header, upstream.CallMetadata{Instance: m.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: http.MethodGet, Target: s.protocol.RoomPath(), Host: m.Direct, Header: header, Auxiliary: true})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("unexpected status %d", resp.Status)
	}
	data, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return s.protocol.ParseRoom(data)
}

// scheduleFree collects results to be freed, and frees them a little later, many with each request.
func (s *Service) scheduleFree(results []storedResult) {
	for _, m := range results {
		if !m.worker.gone {
			s.pendingFrees[m.worker] = append(s.pendingFrees[m.worker], m)
		}
	}
	if s.freeScheduled || len(s.pendingFrees) == 0 {
		return
	}
	s.freeScheduled = true
	time.AfterFunc(freeInterval, func() { s.post(func(time.Time) { s.sendFrees() }) })
}

func (s *Service) sendFrees() {
	s.freeScheduled = false
	for w, results := range s.pendingFrees {
		go s.freeResults(w.member, results)
	}
	clear(s.pendingFrees)
}

// freeResults frees results at an upstream, without retries: results that stay expire soon.
func (s *Service) freeResults(m wire.Member, results []storedResult) {
	defer s.post(func(time.Time) { s.scheduler.recordFreed(results) })
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.handle
	}
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	defer cancel()
	path, body := s.protocol.FreeResults(handles)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.SetHeaders(header, upstream.CallMetadata{Instance: m.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: http.MethodPost, Target: path, Host: m.Direct, Header: header, Body: body, Auxiliary: true})
	if err != nil {
		s.log.V(logging.Detail).Info("results not freed", "upstream", m.ID, "error", err.Error())
		return
	}
	defer resp.Close()
	if _, err := resp.ReadAll(maxAnswerBytes); err != nil {
		s.log.V(logging.Detail).Info("response to freeing results not read", "upstream", m.ID, "error", err.Error())
	}
}
