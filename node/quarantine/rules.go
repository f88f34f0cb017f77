package quarantine

import (
	"cmp"
	"slices"

	"caperdrum.org/api/wire"
)

// crashesPerAccuser is how many crashes under copies of one call count against a part of its prompt. One call that is
// sent again and again says little about a part that it does not say about itself.
const crashesPerAccuser = 2

// weight returns how many of the recorded crashes that counts selects say something against the suspect.
func (r Record) weight(counts func(start wire.Start) bool) int {
	n, accusers := 0, map[wire.Fingerprint]bool{}
	for i, start := range r.Starts {
		if !counts(start) {
			continue
		}
		n++
		if i < len(r.Accusers) {
			accusers[r.Accusers[i]] = true
		}
	}
	if r.Call.Kind == wire.SuspectPart {
		return min(n, crashesPerAccuser*len(accusers))
	}
	return n
}

// crashes returns the weight of all recorded crashes.
func (r Record) crashes() int {
	if r.Call.Kind == wire.SuspectCall || len(r.Starts) <= crashesPerAccuser {
		return len(r.Starts)
	}
	return r.weight(func(wire.Start) bool { return true })
}

// barredSince returns when a part was barred, in milliseconds since the Unix epoch; zero for others.
func (r Record) barredSince() int64 {
	if r.Call.Kind != wire.SuspectPart || !r.Barred {
		return 0
	}
	return r.Since
}

// accusedOnlyBy reports whether the record is of a part that fewer than suspectAfter other calls than the given one accuse.
func (r Record) accusedOnlyBy(call wire.Fingerprint) bool {
	others := map[wire.Fingerprint]bool{}
	for _, accuser := range r.Accusers {
		if accuser != call {
			others[accuser] = true
		}
	}
	return r.Call.Kind == wire.SuspectPart && len(others) < suspectAfter
}

// limitStarts drops the oldest crashes beyond n.
func (r *Record) limitStarts(n int) {
	r.Starts = slices.Clone(r.Starts[max(0, len(r.Starts)-n):])
	r.Accusers = slices.Clone(r.Accusers[max(0, len(r.Accusers)-n):])
}

// updateBars bars the calls and parts with enough crashes that nothing else explains. It also lifts bars: reports
// arrive one after the other, so a late one may show that a barred one merely was in flight beside another.
func (l *Ledger) updateBars(now int64, change *wire.QuarantineChange) {
	c := l.candidates()
	for _, r := range c.list {
		if r.Barred && l.isExplained(r, c) {
			r.Barred, r.Since = false, now
			l.Records[r.Call.Fingerprint] = r
			change.Lifted = append(change.Lifted, r.Call.Fingerprint)
		}
	}
	for _, r := range c.list {
		if l.Records[r.Call.Fingerprint].Barred || !l.shouldBar(r, c, now) {
			continue
		}
		r.Barred, r.Since = true, now
		l.Records[r.Call.Fingerprint] = r
		change.Barred = append(change.Barred, r.entry())
	}
	for _, r := range c.list {
		if r = l.Records[r.Call.Fingerprint]; r.Joint != l.isJoint(r, now) {
			r.Joint = !r.Joint
			l.Records[r.Call.Fingerprint] = r
			if r.Joint {
				change.Joint = append(change.Joint, r.entry())
			}
		}
	}
}

// candidates are the records that may be barred, and those that may explain their crashes.
type candidates struct {
	list    []Record // with enough crashes for a bar, most crashes first: once these are barred, they explain crashes
	byStart map[wire.Start][]wire.Fingerprint
	weights map[wire.Fingerprint]int // see Record.crashes
}

// candidates returns the current candidates. A part explains crashes from its second one on.
func (l *Ledger) candidates() candidates {
	c := candidates{byStart: map[wire.Start][]wire.Fingerprint{}, weights: map[wire.Fingerprint]int{}}
	for f, r := range l.Records {
		weight := r.crashes()
		if weight < barAfter && !(r.isUnclearedPart() && weight >= suspectAfter) {
			continue
		}
		if weight >= barAfter {
			c.list = append(c.list, r)
		}
		c.weights[f] = weight
		for _, start := range r.Starts {
			c.byStart[start] = append(c.byStart[start], f)
		}
	}
	slices.SortFunc(c.list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(c.weights[b.Call.Fingerprint], c.weights[a.Call.Fingerprint]), cmp.Compare(a.Call.Fingerprint, b.Call.Fingerprint))
	})
	return c
}

// shouldBar reports whether the call or part is considered the cause of crashes.
func (l *Ledger) shouldBar(r Record, c candidates, now int64) bool {
	switch {
	case r.Call.Kind == wire.SuspectPart && r.Cleared:
		return r.onProbationUntil() <= now && l.unexplained(r, c, Record.isUnclearedPart) >= barAfterAmbiguous
	case r.Call.Kind == wire.SuspectPart:
		return r.onProbationUntil() <= now && l.unexplained(r, c, Record.isUnclearedPart) >= barAfter
	case l.unexplained(r, c, Record.isUnclearedPart) >= barAfterAmbiguous:
		return true
	case r.Cleared, l.ambiguous(r, c):
		return false // another call was in flight at all of these upstreams; the next crash distinguishes them
	default:
		return l.unexplained(r, c, Record.explainsCalls) >= barAfter
	}
}

// isExplained reports whether a barred suspect merely was beside others.
func (l *Ledger) isExplained(r Record, c candidates) bool {
	unexplained := l.unexplained(r, c, Record.isUnclearedPart)
	switch {
	case r.Call.Kind == wire.SuspectPart && r.Cleared:
		return unexplained < barAfterAmbiguous
	case unexplained < barAfter:
		return true
	default:
		return r.Call.Kind == wire.SuspectCall && len(r.Starts) < barAfterAmbiguous && l.ambiguous(r, c)
	}
}

// isJoint reports whether the part was in flight in as many crashes as bar a part, but never without another such part.
// Calls with two such parts are refused; one with a single one is served, which tells which part is the cause.
func (l *Ledger) isJoint(r Record, now int64) bool {
	return r.isUnclearedPart() && !r.Barred && r.crashes() >= barAfter && r.onProbationUntil() <= now
}

// onProbationUntil returns when a part may be barred; see probation.
func (r Record) onProbationUntil() int64 { return r.Suspect + probation.Milliseconds() }

// isUnclearedPart reports whether the record is a part that no answer has cleared. A candidate of that kind explains
// crashes of the calls and other parts that were in flight with it.
func (r Record) isUnclearedPart() bool { return r.Call.Kind == wire.SuspectPart && !r.Cleared }

// explainsCalls reports whether the record explains crashes of a call.
func (r Record) explainsCalls() bool { return r.Barred || r.isUnclearedPart() }

// explainingShare bounds how much weaker a suspect may be than another one whose crashes it explains, so that the many
// parts that were in flight in a few crashes do not hide the one that was in flight in all of them.
const explainingShare = 4

// unexplained returns the weight of the crashes of r at which no other candidate was that explains them.
func (l *Ledger) unexplained(r Record, c candidates, explains func(Record) bool) int {
	weight := c.weights[r.Call.Fingerprint]
	return r.weight(func(start wire.Start) bool {
		return !slices.ContainsFunc(c.byStart[start], func(f wire.Fingerprint) bool {
			other := l.Records[f]
			return f != r.Call.Fingerprint && explains(other) && c.weights[f]*explainingShare >= weight && !other.accusedOnlyBy(r.Call.Fingerprint)
		})
	})
}

// ambiguous reports whether another candidate call, which no answer has cleared, was in flight at all crashes of
// the call r.
func (l *Ledger) ambiguous(r Record, c candidates) bool {
	for _, f := range c.byStart[r.Starts[0]] {
		other := l.Records[f]
		if other.Call.Kind == wire.SuspectPart {
			continue
		}
		if f != r.Call.Fingerprint && !other.Cleared && isSubset(r.Starts, other.Starts) {
			return true
		}
	}
	return false
}

func isSubset(part, whole []wire.Start) bool {
	for _, start := range part {
		if !slices.Contains(whole, start) {
			return false
		}
	}
	return true
}
