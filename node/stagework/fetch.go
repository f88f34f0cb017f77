package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/node/upstream"
)

// Engines can fetch shared parts of a prompt from one that keeps them. On links of
// 550 Gbit/s that takes 6 ms for a part of 5,400 tokens which takes 50 ms to read, so a
// call may go to the engine that begins soonest without its part being read again.

const (
	// fetchSetup is what a fetch takes besides the transfer: two round trips between data
	// centres of a region.
	fetchSetup = 5 * time.Millisecond
	// fetchGain is how many times longer reading must take for parts to be fetched: a
	// transfer takes link and memory at two engines, and the source may yield the parts.
	fetchGain = 2
)

// fetch is where an engine gets shared parts from.
type fetch struct {
	source   *engineLoad   // nil: nothing is fetched
	transfer time.Duration // on the source's link
	takes    time.Duration // with what is sent before it
}

// holders are the engines that keep a shared part, or will with a call that was sent
// there, by the part's ID, in the order in which they got it.
type holders map[string][]*engineLoad

func (h holders) add(id string, l *engineLoad) { h[id] = append(h[id], l) }

func (h holders) remove(id string, l *engineLoad) {
	h[id] = slices.DeleteFunc(h[id], func(o *engineLoad) bool { return o == l })
	if len(h[id]) == 0 {
		delete(h, id)
	}
}

// forget removes an engine that is gone, or has started again.
func (h holders) forget(l *engineLoad) {
	for id := range l.parts {
		h.remove(id, l)
	}
}

// of returns engines that keep all shared parts of a prompt, mostLooked at most.
func (h holders) of(p *Prompt) []*engineLoad {
	parts := shared(p.Parts)
	if len(parts) == 0 {
		return nil
	}
	list := h[parts[len(parts)-1].ID]
	return list[:min(len(list), mostLooked)]
}

// source returns the engine of the prompt's service that can send its shared parts first,
// nil where none keeps all of them. One that failed lately is none: nobody should wait for
// an engine that is gone.
func (e *engines) source(now time.Time, p *Prompt) *engineLoad {
	if !fetches(e.services[p.Service]) {
		return nil
	}
	var best *engineLoad
	for _, l := range e.holders.of(p) {
		if l.member.Service != p.Service || l.member.Leaving || l.failures > 0 || !p.Within.Contains(l.member.DataCenter) || !l.keeps(shared(p.Parts)) {
			continue
		}
		if best == nil || l.sendsBefore(best, now) {
			best = l
		}
	}
	return best
}

// fetches reports whether a service's text says what fetching takes.
func fetches(spec *optext.Service) bool {
	return spec != nil && spec.TokenBytes > 0 && spec.EngineLink > 0
}

func (l *engineLoad) keeps(parts []upstream.PromptPart) bool {
	for _, p := range parts {
		if kept := l.parts[p.ID]; kept == nil || !kept.read {
			return false
		}
	}
	return true
}

// sendsBefore prefers the engine whose link is free sooner: transfers of one source run
// one after another.
func (l *engineLoad) sendsBefore(o *engineLoad, now time.Time) bool {
	a, b := l.sendingFor(now), o.sendingFor(now)
	return a < b || a == b && l.member.ID < o.member.ID
}

// sendingFor is how long the engine's link is busy.
func (l *engineLoad) sendingFor(now time.Time) time.Duration { return max(0, l.sending.Sub(now)) }

// fetchTime is what it takes an engine to fetch parts that it is missing, and whether that
// is worth it.
func (e *engines) fetchTime(now time.Time, spec *optext.Service, l, source *engineLoad, missing reading) (f fetch, ok bool) {
	if source == nil || source == l || missing.tokens == 0 {
		return fetch{}, false
	}
	seconds := float64(missing.tokens) * float64(spec.TokenBytes) * 8 / float64(spec.EngineLink)
	f = fetch{source: source, transfer: span(seconds)}
	f.takes = source.sendingFor(now) + fetchSetup + f.transfer
	return f, fetchGain*f.takes < e.pace.readTime(missing)
}

// begin notes that a transfer is asked for.
func (f fetch) begin(now time.Time) {
	f.source.sending = now.Add(f.source.sendingFor(now) + f.transfer)
}

// from is the source's address, empty where nothing is fetched.
func (f fetch) from() string {
	if f.source == nil {
		return ""
	}
	return f.source.member.Direct
}

// promptPart is a shared part at an engine.
type promptPart struct {
	used time.Time
	read bool // a call with it has begun there
}

// sendParts notes that an engine gets shared parts with a call.
func (e *engines) sendParts(now time.Time, l *engineLoad, parts []upstream.PromptPart) {
	for _, p := range parts {
		if l.parts[p.ID] == nil {
			l.parts[p.ID] = &promptPart{}
			e.holders.add(p.ID, l)
		}
		l.parts[p.ID].used = now
	}
	if len(l.parts) > maxParts {
		e.forgetOldest(l)
	}
}

// readParts notes that an engine has read shared parts.
func (l *engineLoad) readParts(parts []upstream.PromptPart) {
	for _, p := range parts {
		if kept := l.parts[p.ID]; kept != nil {
			kept.read = true
		}
	}
}
