package bench

import (
	"sort"
	"time"

	"caperdrum.org/fake/standin"
)

// idealCacheHits returns, for each request, the prompt tokens that a single prefix cache as large as those of
// all engines together would hit, and the ratio of all hits to all prompt tokens.
func idealCacheHits(d Deployment, schedule []*Request) (hits []int, share float64) {
	p := d.Pool(engineService)
	cache := standin.NewPrefixCache(p.Count * p.Options.CacheBlocks)
	hits = make([]int, len(schedule))
	sum, all := 0, 0
	for i, r := range schedule {
		if r.Prompt == "" {
			continue
		}
		hits[i] = cache.Match(standin.Blocks(r.Prompt)) * standin.BlockTokens
		cache.Store(standin.Blocks(r.Prompt + r.Answer))
		sum += hits[i]
		all += standin.PromptTokens(r.Prompt)
	}
	return hits, float64(sum) / float64(max(all, 1))
}

// assumedHitRatio is the fraction of the ideal cache hits that the nominal capacity assumes.
const assumedHitRatio = 0.9

// workByRequest returns, for each request, the work at each service that it uses, in seconds of one upstream.
func workByRequest(d Deployment, schedule []*Request) []map[string]float64 {
	hits, _ := idealCacheHits(d, schedule)
	out := make([]map[string]float64, len(schedule))
	for i, r := range schedule {
		out[i] = map[string]float64{}
		prompt := standin.PromptTokens(r.Prompt) - int(assumedHitRatio*float64(hits[i]))
		for _, s := range r.Flow.Services {
			out[i][s] = d.Pool(s).work(r.queryBytes, prompt, r.Flow.Tokens)
		}
	}
	return out
}

// NominalRates returns the request rate of each flow at load 1, per second: its share of the capacity of its
// home service divided by the mean work of a request in a trial schedule.
func NominalRates(d Deployment, sc Scenario, seed uint64) map[string]float64 {
	rates := map[string]float64{}
	for _, f := range d.Flows {
		p := d.Pool(f.Home)
		rates[f.Name] = f.CapacityShare * float64(p.Count) / p.work(f.Median, f.Median, f.Tokens)
	}
	trial := Plan{Deployment: d, Scenario: Scenario{Name: "trial", Profile: constantLoad(trialTime, 1), LongPrompts: sc.LongPrompts}, Seed: seed, Tag: "trial", Rates: rates}
	schedule := trial.Schedule()
	sum, count := map[string]float64{}, map[string]float64{}
	for i, w := range workByRequest(d, schedule) {
		f := schedule[i].Flow
		sum[f.Name] += w[f.Home]
		count[f.Name]++
	}
	for _, f := range d.Flows {
		rates[f.Name] = f.CapacityShare * float64(d.Pool(f.Home).Count) * count[f.Name] / sum[f.Name]
	}
	return rates
}

const (
	trialTime = 10 * time.Second
	slotTime  = time.Second
)

// markFitting marks the requests that are within capacity. In every second, capacity is given first to the
// requests of small customers, then to those of large customers that stay within their share, then to those
// of the flooding customer, each in order of arrival. A request fits if every service that it uses has
// capacity left.
func markFitting(p Plan, schedule []*Request) {
	work := workByRequest(p.Deployment, schedule)
	index := make([]int, len(schedule))
	for i := range index {
		index[i] = i
	}
	rank := func(r *Request) int {
		switch {
		case !r.Customer.Large:
			return 0
		case p.Scenario.FloodLoad > 0 && r.Customer == p.Deployment.Customers[0]:
			return 2
		default:
			return 1
		}
	}
	slot := func(i int) time.Duration { return schedule[i].At / slotTime }
	sort.SliceStable(index, func(a, b int) bool {
		i, j := index[a], index[b]
		if slot(i) != slot(j) {
			return slot(i) < slot(j)
		}
		return rank(schedule[i]) < rank(schedule[j])
	})
	left := map[string]float64{}
	for n, i := range index {
		if n == 0 || slot(i) != slot(index[n-1]) {
			left = p.capacityAt(schedule[i].At)
		}
		schedule[i].FitsCapacity = reserve(left, work[i])
	}
}

func reserve(left, work map[string]float64) bool {
	for s, w := range work {
		if left[s] < w {
			return false
		}
	}
	for s, w := range work {
		left[s] -= w
	}
	return true
}

// capacityAt returns the capacity of each service in one slot, in seconds of one upstream, reduced by the
// capacity that faulty upstreams lose.
func (p Plan) capacityAt(at time.Duration) map[string]float64 {
	out := map[string]float64{}
	for _, pool := range p.Deployment.Pools {
		out[pool.Service] = float64(pool.Count) * slotTime.Seconds()
		if pool.Options.Kind != standin.KindEngine {
			out[pool.Service] *= maxPlainUtilization
		}
	}
	for _, f := range p.Scenario.Faults {
		if at < f.At {
			continue
		}
		lost := 1.0
		if f.Fault.Slow > 1 {
			lost = 1 - 1/f.Fault.Slow
		}
		n := float64(f.count(p.Deployment.Pool(f.service(p.Deployment))))
		out[f.service(p.Deployment)] -= n * lost * slotTime.Seconds()
	}
	return out
}
