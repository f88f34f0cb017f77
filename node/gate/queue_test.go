package gate

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
)

var testClasses = []optext.Class{optext.Confirmation, optext.Interactive, optext.Deferrable}

// queueOracle is a reference implementation of fairQueue over plain slices.
type queueOracle struct {
	waiting [numClasses][]*attempt
	tags    [numClasses]map[string]float64
	virtual [numClasses]float64
	passed  [numClasses]int
}

func (o *queueOracle) push(a *attempt) {
	r := classRank(a.class)
	if o.tags[r] == nil {
		o.tags[r] = map[string]float64{}
	}
	if !o.has(r, a.customer) {
		tag, known := o.tags[r][a.customer]
		credit := o.virtual[r] - burstCredit/clampShare(a.share)
		if !known || tag < credit {
			tag = credit
		}
		o.tags[r][a.customer] = tag
	}
	o.waiting[r] = append(o.waiting[r], a)
}

func (o *queueOracle) has(r int, customer string) bool {
	for _, a := range o.waiting[r] {
		if a.customer == customer {
			return true
		}
	}
	return false
}

func (o *queueOracle) remove(a *attempt) {
	r := classRank(a.class)
	for i, b := range o.waiting[r] {
		if a == b {
			o.waiting[r] = append(o.waiting[r][:i:i], o.waiting[r][i+1:]...)
		}
	}
	if len(o.waiting[r]) == 0 {
		o.tags[r], o.virtual[r] = nil, 0
	}
}

func (o *queueOracle) pop() *attempt {
	chosen := -1
	for r := range o.waiting {
		if len(o.waiting[r]) == 0 {
			o.passed[r] = 0
		} else if chosen < 0 || o.passed[r] >= maxPassedOver && o.passed[chosen] < maxPassedOver {
			chosen = r
		}
	}
	if chosen < 0 {
		return nil
	}
	for r := range o.waiting {
		if r != chosen && len(o.waiting[r]) > 0 {
			o.passed[r]++
		}
	}
	o.passed[chosen] = 0
	list, tags := o.waiting[chosen], o.tags[chosen]
	sorted := append([]*attempt(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.customer != b.customer {
			if tags[a.customer] != tags[b.customer] {
				return tags[a.customer] < tags[b.customer]
			}
			return a.customer < b.customer
		}
		return a.deadline.Before(b.deadline)
	})
	a := sorted[0]
	o.virtual[chosen] = max(o.virtual[chosen], tags[a.customer])
	tags[a.customer] += 1 / clampShare(a.share)
	o.remove(a)
	return a
}

func TestFairQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, o := newFairQueue(false), &queueOracle{}
		var waiting []*attempt
		drop := func(a *attempt) {
			for i, b := range waiting {
				if a == b {
					waiting = append(waiting[:i], waiting[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				a := &attempt{class: rapid.SampledFrom(testClasses).Draw(t, "class"), customer: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer"),
					share:    rapid.SampledFrom([]float64{1, 2, 0.25, 0, -1, math.NaN(), math.Inf(1)}).Draw(t, "share"),
					deadline: time.Unix(int64(rapid.IntRange(0, 5).Draw(t, "deadline")), 0)}
				q.push(a)
				o.push(a)
				waiting = append(waiting, a)
			},
			"pop": func(t *rapid.T) {
				got, want := q.pop(), o.pop()
				if got != want {
					t.Fatalf("popped %+v, want %+v", got, want)
				}
				drop(got)
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				a := rapid.SampledFrom(waiting).Draw(t, "attempt")
				if !q.remove(a) || q.remove(a) {
					t.Fatal("a waiting attempt must be removable exactly once")
				}
				o.remove(a)
				drop(a)
			},
			"": func(t *rapid.T) {
				if q.len() != len(waiting) {
					t.Fatalf("length %d, want %d", q.len(), len(waiting))
				}
				first := q.earliestDeadline()
				for _, a := range waiting {
					if a.deadline.Before(first.deadline) {
						t.Fatal("earliestDeadline missed an earlier one")
					}
				}
			},
		})
	})
}

// A customer gets its share however much another one sends, and a less urgent class is served however much
// arrives in the others.
func TestFairQueueUnderFlood(t *testing.T) {
	q := newFairQueue(false)
	push := func(n int, customer string, share float64, class optext.Class) {
		for range n {
			q.push(&attempt{customer: customer, share: share, class: class})
		}
	}
	push(10_000, "large", 3, optext.Interactive)
	push(100, "small", 1, optext.Interactive)
	push(50, "drafts", 1, optext.Deferrable)
	seen := map[string]int{}
	for range 400 {
		seen[q.pop().customer]++
	}
	if seen["small"] < 90 || seen["drafts"] < 400/(maxPassedOver+1)-1 || seen["drafts"] > 30 {
		t.Fatalf("first 400 by customer: %v", seen)
	}
	if a := (&attempt{customer: "small", share: 1, class: optext.Interactive}); q.attemptsAhead(a) > 60 {
		t.Errorf("%d attempts ahead of a small customer's attempt", q.attemptsAhead(a))
	}
	if v := q.victim(&attempt{customer: "small", share: 1, class: optext.Interactive}); v == nil || v.customer != "drafts" {
		t.Errorf("victim %+v, want a draft", v)
	}
	if v := q.victim(&attempt{customer: "new", share: 1, class: optext.Deferrable}); v == nil || v.customer != "drafts" {
		t.Errorf("victim %+v, want a draft", v)
	}
	if v := q.victim(&attempt{customer: "drafts", share: 1, class: optext.Deferrable}); v != nil {
		t.Errorf("a customer displaced its own attempt")
	}
}

func BenchmarkFairQueue(b *testing.B) {
	for _, customers := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			q := newFairQueue(false)
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
				q.push(&attempt{customer: names[i], share: 1})
				q.push(&attempt{customer: names[i], share: 1})
			}
			b.ResetTimer()
			for i := range b.N {
				a := q.pop()
				a.customer = names[i%customers]
				q.push(a)
			}
		})
	}
}
