package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
)

// trialTimes are the times after the start of a bar in which one call with a barred part is sent all the same. An answer
// lifts the bar: a common part may have been in flight in crashes that had other causes, and once it is barred nothing
// else would show that. The calls are so few that a fatal part crashes few upstreams more.
var trialTimes = []struct{ from, to time.Duration }{{time.Second, 6 * time.Second}, {10 * time.Second, 40 * time.Second}}

// maxTrials bounds how many trials a process remembers.
const maxTrials = 1024

// Trials decides which calls are trials of barred parts. One process is elected for each trial, without a message: the
// same one at all processes with the same members.
type Trials struct {
	mu    sync.Mutex
	taken map[trial]bool
}

type trial struct {
	part   wire.Fingerprint
	number int
	since  int64
}

// NewTrials returns a Trials without any taken.
func NewTrials() *Trials { return &Trials{taken: map[trial]bool{}} }

// Take reports whether a call with the part, which is barred since the given time, is a trial at process self.
func (t *Trials) Take(part wire.Fingerprint, since, now time.Time, self string, processes []string) bool {
	for number, window := range trialTimes {
		if age := now.Sub(since); age < window.from || age >= window.to {
			continue
		}
		key := trial{part, number, since.UnixMilli()}
		if elect(key, processes) != self {
			return false
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.taken[key] || len(t.taken) >= maxTrials {
			return false
		}
		t.taken[key] = true
		return true
	}
	return false
}

// elect returns the process with the highest hash.
func elect(key trial, processes []string) (elected string) {
	best := uint64(0)
	for _, p := range processes {
		d := xxhash.New()
		writeField(d, string(key.part))
		writeField(d, p)
		d.Write([]byte{byte(key.number)})
		if sum := d.Sum64(); elected == "" || sum > best {
			elected, best = p, sum
		}
	}
	return elected
}
