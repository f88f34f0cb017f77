package stagework

import (
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/node/upstream"
)

// Engines can fetch cached prompt parts from another engine. Over links of 550 Gbit/s a part
// of 5,400 tokens takes 6 ms to fetch and 50 ms to prefill, so a call may go to the engine that
// starts it soonest without prefilling its shared parts again.

const (
	// fetchOverhead is the time of a fetch besides the transfer: two round trips between data
	// centres of a region.
	fetchOverhead = 5 * time.Millisecond
	// minFetchSpeedup is how many times longer the prefill must take than a fetch for parts to be
	// fetched: a transfer takes bandwidth and memory at two engines, and the source may evict the
	// parts meanwhile.
	minFetchSpeedup = 2
)

// fetch is a transfer of shared parts from another engine.
type fetch struct {
	source   *engineLoad   // nil: nothing is fetched
	transfer time.Duration // time on the source's link
	duration time.Duration // with the overhead and the transfers queued before it
}

// holders are the engines that hold a shared part, or will with a call sent there, by the ID
// of the part, in the order in which they got it.
type holders map[string][]*engineLoad

func (h holders) add(id string, l *engineLoad) { h[id] = append(h[id], l) }

func (h holders) remove(id string, l *engineLoad) {
	h[id] = slices.DeleteFunc(h[id], func(o *engineLoad) bool { return o == l })
	if len(h[id]) == 0 {
		delete(h, id)
	}
}

// forget removes an engine that is gone or has restarted.
func (h holders) forget(l *engineLoad) {
	for id := range l.parts {
		h.remove(id, l)
	}
}

// find returns engines that hold all shared parts of a prompt, maxCandidates at most.
func (h holders) find(p *Prompt) []*engineLoad {
	parts := sharedParts(p.Parts)
	if len(parts) == 0 {
		return nil
	}
	list := h[parts[len(parts)-1].ID]
	return list[:min(len(list), maxCandidates)]
}

// fetchSources are the best sources of a prompt's shared parts, by software version: what one version has cached may
// be of no use to another.
type fetchSources map[string]*engineLoad

func (f fetchSources) find(e *engines, now time.Time, p *Prompt, version string) *engineLoad {
	l, known := f[version]
	if !known {
		l = e.fetchSource(now, p, version)
		f[version] = l
	}
	return l
}

// fetchSource returns the engine of the prompt's service and the version that can send the shared parts
// soonest, nil where none has prefilled all of them. Engines that failed lately are left out, as they may
// be gone and a fetch would wait for them.
func (e *engines) fetchSource(now time.Time, p *Prompt, version string) *engineLoad {
	if !supportsFetch(e.services[p.Service]) {
		return nil
	}
	var best *engineLoad
	for _, l := range e.holders.find(p) {
		if l.member.Service != p.Service || l.member.Leaving || l.failures > 0 || l.member.Version != version || !p.Within.Contains(l.member.DataCenter) || !l.hasPrefilled(sharedParts(p.Parts)) {
			continue
		}
		if best == nil || l.sendsSooner(best, now) {
			best = l
		}
	}
	return best
}

// supportsFetch reports whether the configuration of a service has the sizes that a prediction
// of fetches needs.
func supportsFetch(spec *optext.Service) bool {
	return spec != nil && spec.TokenBytes > 0 && spec.EngineLink > 0
}

func (l *engineLoad) hasPrefilled(parts []upstream.PromptPart) bool {
	for _, p := range parts {
		if kept := l.parts[p.ID]; kept == nil || !kept.prefilled {
			return false
		}
	}
	return true
}

// sendsSooner prefers the engine whose link is free sooner: transfers from one source run one
// after another.
func (l *engineLoad) sendsSooner(o *engineLoad, now time.Time) bool {
	a, b := l.sendingFor(now), o.sendingFor(now)
	return a < b || a == b && l.member.ID < o.member.ID
}

// sendingFor is how long the engine's link stays busy.
func (l *engineLoad) sendingFor(now time.Time) time.Duration { return max(0, l.sendingUntil.Sub(now)) }

// planFetch returns a fetch of the parts missing at an engine, and whether it is worth it.
func (e *engines) planFetch(now time.Time, spec *optext.Service, l, source *engineLoad, missing prefill) (f fetch, ok bool) {
	if source == nil || source == l || missing.tokens == 0 {
		return fetch{}, false
	}
	seconds := float64(missing.tokens) * float64(spec.TokenBytes) * 8 / float64(spec.EngineLink)
	f = fetch{source: source, transfer: toDuration(seconds)}
	f.duration = source.sendingFor(now) + fetchOverhead + f.transfer
	return f, minFetchSpeedup*f.duration < e.ttft.prefillTime(missing)
}

// start records that the transfer is requested.
func (f fetch) start(now time.Time) {
	f.source.sendingUntil = now.Add(f.source.sendingFor(now) + f.transfer)
}

// sourceAddress is empty where nothing is fetched.
func (f fetch) sourceAddress() string {
	if f.source == nil {
		return ""
	}
	return f.source.member.Direct
}

// promptPart is a shared part at an engine.
type promptPart struct {
	lastUsed  time.Time
	prefilled bool // a call with it has started to answer there
}

// addParts records that an engine gets shared parts with a call.
func (e *engines) addParts(now time.Time, l *engineLoad, parts []upstream.PromptPart) {
	for _, p := range parts {
		if l.parts[p.ID] == nil {
			l.parts[p.ID] = &promptPart{}
			e.holders.add(p.ID, l)
		}
		l.parts[p.ID].lastUsed = now
	}
	if len(l.parts) > maxParts {
		e.evictOldestPart(l)
	}
}

// markPrefilled records that an engine has prefilled shared parts.
func (l *engineLoad) markPrefilled(parts []upstream.PromptPart) {
	for _, p := range parts {
		if kept := l.parts[p.ID]; kept != nil {
			kept.prefilled = true
		}
	}
}
