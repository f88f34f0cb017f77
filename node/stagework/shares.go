package stagework

import (
	"encoding/json"
	"math"
	"sync"
	"time"
)

// The owner sends the measured shares of the nominal throughput with its answers, and the submitting processes send
// them with their jobs to the next owner, until it has answered. Without them it would estimate by initialShare
// until it has measured for itself, and admit far more than the services complete.

// shares are measured shares of the nominal throughput, by service. Entries that are no valid share are dropped when
// shares are decoded: they must not cost the job or the result that they come with.
type shares map[string]float64

// UnmarshalJSON implements json.Unmarshaler.
func (t *shares) UnmarshalJSON(text []byte) error {
	*t = nil
	var entries map[string]json.RawMessage
	if json.Unmarshal(text, &entries) != nil {
		return nil
	}
	for service, entry := range entries {
		var share float64
		if json.Unmarshal(entry, &share) != nil || !validShare(share) {
			continue
		}
		if *t == nil {
			*t = shares{}
		}
		(*t)[service] = share
	}
	return nil
}

// validShare reports whether a share can have been measured. Zero cannot: the assumed share is a part of each, and no
// job could be estimated by it.
func validShare(share float64) bool { return share > 0 && share <= maxShare && !math.IsNaN(share) }

// measuredShares returns the shares of the services that have been measured; nil if there are none.
func (s *scheduler) measuredShares() shares {
	var out shares
	for name, q := range s.services {
		if !q.meter.measured() {
			continue
		}
		if share := q.meter.share(q.nominalThroughput()); validShare(share) {
			if out == nil {
				out = shares{}
			}
			out[name] = share
		}
	}
	return out
}

// takeOverShares uses the shares that a job brings from a previous owner, for the services that have not been
// measured here, and returns those used. Only the first ones count in each ownership: later jobs bring the same
// shares, or older ones of processes with few calls.
func (s *scheduler) takeOverShares(now time.Time, received shares) shares {
	if !s.owner || s.sharesTaken {
		return nil
	}
	var used shares
	for service, share := range received {
		q := s.services[service]
		if q == nil || !validShare(share) || q.meter.measured() {
			continue
		}
		q.advanceMeter(now)
		q.meter.prior = share
		if used == nil {
			used = shares{}
		}
		used[service] = share
	}
	s.sharesTaken = used != nil
	return used
}

// knownShares are the last shares that an owner sent to this process. Its zero value is ready to use.
type knownShares struct {
	mu       sync.Mutex
	last     shares
	epoch    uint64 // of the owner that sent them
	answered uint64 // epoch of the newest owner that has answered
}

// record records an answer of the owner of that epoch. An owner that sends none any more has not been busy lately. One
// of a later epoch that sends none has not measured yet, and may be lost before it has.
func (k *knownShares) record(epoch uint64, received shares) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch == 0 {
		return // the answer to a job that names no owner
	}
	k.answered = max(k.answered, epoch)
	if epoch == k.epoch || epoch > k.epoch && len(received) > 0 {
		k.last, k.epoch = received, epoch
	}
}

// recordRefusal records that the owner of that epoch has answered without a result.
func (k *knownShares) recordRefusal(epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered = max(k.answered, epoch)
}

// forOwner returns the shares to send to the owner of that epoch; nil once it has answered, or if it sent them.
func (k *knownShares) forOwner(epoch uint64) shares {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch <= k.epoch || epoch <= k.answered {
		return nil
	}
	return k.last
}
