package quarantine

import (
	"hash/maphash"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

const (
	// answerStart is how long after the first event of an answer its upstream may still crash because of the call. One
	// that runs for longer has begun to answer without a crash.
	answerStart = 250 * time.Millisecond
	// partMemory is how long an answer to a call with a part keeps crashes from accusing the part at this process.
	partMemory = 2 * time.Second
	// maxAnsweredParts is how many answered parts a process remembers.
	maxAnsweredParts = 8192
)

// Evidence is what one process has seen of calls and of the parts of their prompts, and the reports that follow from it.
type Evidence struct {
	guard   *Guard
	answers *AnsweredCalls
	parts   *answeredParts
	recent  *recentParts
}

// NewEvidence returns an Evidence without any knowledge.
func NewEvidence(guard *Guard) *Evidence {
	return &Evidence{guard: guard, answers: NewAnsweredCalls(), parts: newAnsweredParts(), recent: &recentParts{counts: map[partKey]int{}}}
}

// Crashed returns the report of an upstream that crashed under the call. A part of its prompt is accused only if the
// call had not begun to be answered, and no other call with the part was answered lately. A call or part that was
// answered before is reported as such once.
func (e *Evidence) Crashed(b InterruptedCall, now time.Time) *wire.CrashReport {
	report := &wire.CrashReport{}
	var accused []wire.CallSummary
	sketch := b.Call.Sketch(b.Route)
	if e.answers.Take(b.Call) {
		report.Answered = append(report.Answered, sketch)
	} else {
		accused = append(accused, sketch)
	}
	if b.Running < answerStart {
		for _, id := range b.Call.parts() {
			part := b.Call.partSummary(id, b.Route)
			part.Accuser = sketch.Fingerprint
			switch lately, before := e.parts.take(b.Call.Service, id, now.Add(-partMemory)); {
			case lately:
				continue
			case before:
				report.Answered = append(report.Answered, part)
			}
			accused = append(accused, part)
		}
	}
	if len(accused) > 0 {
		report.Crashes = []wire.Crash{{Upstream: b.Upstream.Start(), Calls: accused}}
	}
	return report
}

// Answered records that an upstream has answered the call and still runs. It returns a report if the call or a part of
// its prompt is a suspect, else nil.
func (e *Evidence) Answered(c Call, route string, now time.Time) *wire.CrashReport {
	e.answers.Add(c)
	report := e.Begun(c, route, now)
	if status, _ := e.guard.checkCall(c, true); status != Unsuspected {
		if report == nil {
			report = &wire.CrashReport{}
		}
		report.Answered = append(report.Answered, c.Sketch(route))
	}
	return report
}

// Begun records that an upstream answers the call for longer than answerStart, which clears the parts of its prompt. It
// returns a report if one is a suspect, else nil.
func (e *Evidence) Begun(c Call, route string, now time.Time) (report *wire.CrashReport) {
	for _, id := range c.parts() {
		e.parts.add(c.Service, id, now)
	}
	e.guard.eachPart(c, true, func(id string, _ wire.Fingerprint, s Status) {
		if s == Unsuspected {
			return
		}
		if report == nil {
			report = &wire.CrashReport{}
		}
		report.Answered = append(report.Answered, c.partSummary(id, route))
	})
	return report
}

// Seen records that the call arrived at this process, whether or not it is refused.
func (e *Evidence) Seen(c Call) { e.recent.add(c) }

// IsCommon reports whether many of the calls that arrived lately have the part, so that a bar refuses many sound calls if
// the part is not the cause of crashes.
func (e *Evidence) IsCommon(part wire.Fingerprint) bool { return e.recent.isCommon(part) }

// HasBegun reports whether an answer whose first event is this old counts as begun; see Begun.
func HasBegun(sinceFirstEvent time.Duration) bool { return sinceFirstEvent >= answerStart }

// answeredParts remembers when calls with a part were last answered. The oldest parts are evicted when the set is full.
type answeredParts struct {
	seed maphash.Seed

	mu     sync.Mutex
	at     map[uint64]time.Time
	oldest int
	ring   [maxAnsweredParts]uint64
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{seed: maphash.MakeSeed(), at: map[uint64]time.Time{}}
}

func (a *answeredParts) add(service, id string, now time.Time) {
	h := a.hash(service, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.at[h]; !known {
		delete(a.at, a.ring[a.oldest])
		a.ring[a.oldest] = h
		a.oldest = (a.oldest + 1) % maxAnsweredParts
	}
	a.at[h] = now
}

// take reports whether the part was answered after since, or before; then it is removed.
func (a *answeredParts) take(service, id string, since time.Time) (after, before bool) {
	h := a.hash(service, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.at[h]
	if !known || at.After(since) {
		return known, false
	}
	delete(a.at, h)
	return false, true
}

func (a *answeredParts) hash(service, id string) uint64 {
	var h maphash.Hash
	h.SetSeed(a.seed)
	writeField(&h, service)
	h.WriteString(id)
	return h.Sum64()
}
