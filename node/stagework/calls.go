package stagework

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/upstream"
)

// call makes a call of an upstream.
func (s *Service) call(c *call) {
	o := s.exchange(c)
	if o.results != nil {
		s.log.V(logging.Routine).Info("stage call made", "service", c.service, "upstream", c.worker.member.ID, "pieces", len(c.pieces), "longest_wait", c.waited,
			"left_waiting", c.behind, "expected", c.expect, "took", time.Since(c.began))
	} else {
		s.log.Info("stage call failed", "service", c.service, "upstream", c.worker.member.ID, "address", c.worker.member.Direct,
			"pieces", len(c.pieces), "full", o.full, "moved", o.moved, "limit", c.limit, "took", time.Since(c.began), "error", o.err)
	}
	s.post(func(now time.Time) {
		s.free(s.scheduler.finish(now, c, o))
	})
}

func (s *Service) exchange(c *call) outcome {
	ctx, cancel := context.WithTimeout(s.ctx, c.limit)
	defer cancel()
	path, body := s.protocol.RunPieces(c.request)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.Tell(header, upstream.Told{Instance: c.worker.member.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: c.worker.member.Start(), Address: c.worker.member.Direct, Method: http.MethodPost, Target: path,
		Host: c.worker.member.Direct, Header: header, Body: body, Fresh: true})
	if err != nil {
		return withheld(err)
	}
	defer resp.Close()
	o := s.readPieces(c, resp)
	o.pause, o.leaving = resp.Answer.Pause, resp.Answer.Leaving
	return o
}

// withheld is the outcome of a call that got no answer: as that of a full upstream where it wants none.
func withheld(err error) outcome {
	v := verdict.From(err)
	switch {
	case v.Verdict == verdict.NotRun && v.Code == verdict.CodeOverloaded:
		return outcome{full: true, pause: v.RetryAfter, err: err.Error()}
	case v.Verdict == verdict.NotRun && v.Code == verdict.CodeUpstreamLeaving:
		return outcome{full: true, leaving: true, err: err.Error()}
	}
	return outcome{err: err.Error(), dark: upstream.Unreached(err)}
}

func (s *Service) readPieces(c *call, resp *upstream.Response) outcome {
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return outcome{moved: true, err: "another upstream has the address"}
	case resp.Answer.NotRun:
		return outcome{full: true, err: "full"}
	case resp.Status != http.StatusOK:
		return outcome{err: http.StatusText(resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return outcome{err: err.Error()}
	}
	results, err := s.protocol.PieceResults(data)
	if err == nil && len(results) != len(c.pieces) {
		err = errors.Errorf("%d results for %d pieces", len(results), len(c.pieces))
	}
	if err != nil {
		return outcome{err: err.Error()}
	}
	return outcome{results: results}
}

// askRoom asks an upstream how much room it has for results.
func (s *Service) askRoom(w *worker) {
	room, err := s.roomOf(w.member)
	s.post(func(now time.Time) {
		s.scheduler.reported(now, w, room)
		s.startedAgain(now, s.scheduler.takeLost())
		if err != nil {
			unreadVar.Add(w.member.Service, 1)
			s.log.Info("upstream's room not known", "service", w.member.Service, "upstream", w.member.ID, "error", err.Error())
		}
		s.log.V(logging.Detail).Info("upstream asked for its room", "service", w.member.Service, "upstream", w.member.ID, "report", room, "own", w.own, "of_others", w.foreign)
	})
}

// roomOf returns an upstream's report of its room.
func (s *Service) roomOf(m wire.Member) (*upstream.Room, error) {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	header := http.Header{}
	s.protocol.Tell(header, upstream.Told{Instance: m.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: http.MethodGet, Target: s.protocol.RoomPath(), Host: m.Direct, Header: header})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	return s.protocol.Room(data)
}

// free collects results that are given up and frees them a little later, many
// in a call.
func (s *Service) free(results []made) {
	for _, m := range results {
		if !m.worker.gone {
			s.toFree[m.worker] = append(s.toFree[m.worker], m)
		}
	}
	if s.freeing || len(s.toFree) == 0 {
		return
	}
	s.freeing = true
	time.AfterFunc(freeInterval, func() { s.post(func(time.Time) { s.sendFree() }) })
}

func (s *Service) sendFree() {
	s.freeing = false
	for w, results := range s.toFree {
		go s.freeAt(w.member, results)
	}
	clear(s.toFree)
}

// freeAt is not repeated: results that stay are gone by themselves soon.
func (s *Service) freeAt(m wire.Member, results []made) {
	defer s.post(func(time.Time) { s.scheduler.freed(results) })
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.handle
	}
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	defer cancel()
	path, body := s.protocol.FreeResults(handles)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.Tell(header, upstream.Told{Instance: m.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Upstream: m.Start(), Address: m.Direct, Method: http.MethodPost, Target: path, Host: m.Direct, Header: header, Body: body})
	if err != nil {
		s.log.V(logging.Detail).Info("results not freed", "upstream", m.ID, "error", err.Error())
		return
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		s.log.V(logging.Detail).Info("results perhaps not freed", "upstream", m.ID, "error", err.Error())
	}
}
