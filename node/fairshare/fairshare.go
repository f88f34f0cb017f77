// Package fairshare computes how a capacity is shared between customers: weighted max-min fair allocations. It does no
// I/O and reads no clock and no random numbers.
package fairshare

import "math"

// Demand is what a customer asks for.
type Demand struct {
	Customer string
	Weight   float64 // above 0
	Amount   float64 // 0 or more
}

// Allocation is a weighted max-min fair allocation: a customer gets what it asks for, up to its weight times Level.
type Allocation struct {
	Level float64 // +Inf if the capacity satisfies all demands
}

// Of returns the allocation of one demand.
func (a Allocation) Of(d Demand) float64 { return min(d.Amount, d.Weight*a.Level) }

// entry is a demand of which it is not known yet whether the level satisfies it.
type entry struct {
	ratio          float64 // the level that satisfies it
	amount, weight float64
}

// MaxMin shares the capacity between the demands by water-filling. It finds the level by selection instead of sorting,
// so that the time is proportional to the number of demands on average. The order of the demands changes the result by
// rounding errors only.
func MaxMin(capacity float64, demands []Demand) Allocation {
	open := make([]entry, len(demands))
	for i, d := range demands {
		open[i] = entry{d.Amount / d.Weight, d.Amount, d.Weight}
	}
	left := max(0, capacity) // for open and for the unsatisfied demands
	unsatisfied := 0.0       // weight of the demands that the level does not satisfy
	for len(open) > 0 {
		pivot := median(open[0].ratio, open[len(open)/2].ratio, open[len(open)-1].ratio)
		below, above := partition(open, pivot)
		amount, weight := 0.0, unsatisfied
		for _, e := range open[:above] {
			amount += e.amount
		}
		for _, e := range open[above:] {
			weight += e.weight
		}
		if amount+pivot*weight <= left { // the level is the pivot or higher
			left, open = max(0, left-amount), open[above:]
			continue
		}
		for _, e := range open[below:above] {
			weight += e.weight
		}
		unsatisfied, open = weight, open[:below]
	}
	if unsatisfied == 0 {
		return Allocation{Level: math.Inf(1)}
	}
	return Allocation{Level: left / unsatisfied}
}

// partition orders entries into those with a ratio below the pivot, equal to it and above it, and returns where the
// second and the third part begin.
func partition(list []entry, pivot float64) (equal, above int) {
	above = len(list)
	for i := 0; i < above; {
		switch {
		case list[i].ratio < pivot:
			list[i], list[equal] = list[equal], list[i]
			equal++
			i++
		case list[i].ratio > pivot:
			above--
			list[i], list[above] = list[above], list[i]
		default:
			i++
		}
	}
	return equal, above
}

func median(a, b, c float64) float64 { return max(min(a, b), min(max(a, b), c)) }
