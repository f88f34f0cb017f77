package control

import (
	"testing"
	"time"
)

// TestOverloadedOwnersAreNotReplacedInTurn has each owner answer late for as long as there is more work than it
// can do: a few are replaced, and not all of them, one after the other.
func TestOverloadedOwnersAreNotReplacedInTurn(t *testing.T) {
	const (
		overload = 8 * time.Second
		longest  = 900 * time.Millisecond // that an overloaded owner does not answer
	)
	var s probeBackoff
	now := time.Unix(1000, 0)
	replaced := 0
	for end := now.Add(overload); now.Before(end); now = now.Add(longest) {
		if longest > s.timeout(now) {
			s.add(now)
			replaced++
		}
	}
	if replaced > 2 {
		t.Fatalf("%d owners were replaced in %s", replaced, overload)
	}
}

// TestPatienceComesBack has owners be lost one at a time: each loss is noticed as soon as the first.
func TestPatienceComesBack(t *testing.T) {
	var s probeBackoff
	now := time.Unix(1000, 0)
	for range 5 {
		if got := s.timeout(now); got != baseProbeTimeout {
			t.Fatalf("patience %s", got)
		}
		s.add(now)
		if got := s.timeout(now.Add(time.Second)); got != 2*baseProbeTimeout {
			t.Fatalf("a second later: %s", got)
		}
		now = now.Add(backoffWindow + time.Second)
	}
	for range 10 {
		s.add(now)
	}
	if got := s.timeout(now); got != baseProbeTimeout<<maxBackoffDoublings {
		t.Fatalf("after ten losses: %s", got)
	}
}
