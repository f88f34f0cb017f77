package control

import (
	"testing"
	"time"
)

// TestOverloadedOwnersAreNotReplacedInTurn lets each owner answer late during an overload. Only a few may be
// replaced.
func TestOverloadedOwnersAreNotReplacedInTurn(t *testing.T) {
	const (
		overload = 8 * time.Second
		longest  = 900 * time.Millisecond // for which an overloaded owner does not answer
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

// TestProbeTimeoutRecovers loses owners one at a time: each failure must be detected as quickly as the first.
func TestProbeTimeoutRecovers(t *testing.T) {
	var s probeBackoff
	now := time.Unix(1000, 0)
	for range 5 {
		if got := s.timeout(now); got != baseProbeTimeout {
			t.Fatalf("timeout %s", got)
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
		t.Fatalf("after ten failures: %s", got)
	}
}
