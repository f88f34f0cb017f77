package configsync

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// TestContinuousConfirmation checks, for lists of confirmation times, for how long the view then counts as
// continuously confirmed.
func TestContinuousConfirmation(t *testing.T) {
	const moment = 100 * time.Millisecond
	cases := map[string]struct {
		at   []time.Duration // after the start
		wait time.Duration   // after the last of them
		want time.Duration
	}{
		"never":                                  {nil, moment, 0},
		"once":                                   {[]time.Duration{0}, moment, moment},
		"repeatedly":                             {[]time.Duration{0, time.Second, 3 * time.Second}, moment, 3*time.Second + moment},
		"no confirmation for MaxConfirmationGap": {[]time.Duration{0, time.Second}, MaxConfirmationGap, time.Second + MaxConfirmationGap},
		"no confirmation for longer":             {[]time.Duration{0, time.Second}, MaxConfirmationGap + 1, 0},
		"again after a gap":                      {[]time.Duration{0, time.Second, 5 * time.Second, 6 * time.Second}, moment, time.Second + moment},
		"an older confirmation does not close a gap": {[]time.Duration{0, 5 * time.Second, time.Second, 6 * time.Second}, moment, time.Second + moment},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			h := NewHolder(wire.Member{ID: "m"})
			now := start
			for _, at := range c.at {
				now = start.Add(at)
				if _, err := h.Apply(&wire.SyncReply{StampAge: 0}, now); err != nil {
					t.Fatal(err)
				}
			}
			if got := h.ConfirmedFor(now.Add(c.wait)); got != c.want {
				t.Fatalf("confirmed without a gap for %v, want %v", got, c.want)
			}
		})
	}
}

// TestViewIsPublishedBeforeItsConfirmationCounts checks that whoever reads a recent confirmation finds the view that it confirms
// published, so that a key which that view revokes is not accepted as recently confirmed.
func TestViewIsPublishedBeforeItsConfirmationCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(wire.Member{ID: "m"})
	apply := func(version uint64) (published uint64) {
		t.Helper()
		reply := &wire.SyncReply{StampAge: 0, Version: version, Config: &wire.ConfigText{Version: version, Text: "", Hash: xxhash.Sum64String("")}}
		_, err := h.ApplyAndPublish(reply, now, func(v *View) {
			published = v.Version
			if version > 1 && h.StampAge(now) < time.Minute {
				t.Errorf("version %d counts as confirmed %v ago before it is published", version, h.StampAge(now))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		return published
	}
	apply(1)
	now = now.Add(time.Minute) // cut off
	if got := apply(2); got != 2 {
		t.Fatalf("version %d was published", got)
	}
	if age := h.StampAge(now); age != 0 {
		t.Fatalf("confirmed %v ago", age)
	}
}
