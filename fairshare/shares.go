package fairshare

import (
	"cmp"
	"slices"
)

const (
	// guaranteedShare is the part of the capacity that each less urgent class with demand gets while a
	// more urgent one is short: without it, permanent demand of an urgent class would stop the others.
	guaranteedShare = 0.05
	// maxGuaranteed bounds the total of these parts.
	maxGuaranteed = 0.25
	// bisections halve the interval of a class's served fraction: 2^-30 is exact enough.
	bisections = 30
)

// Demand is the work that one key requests, in slots: seconds of one endpoint slot per second.
type Demand struct {
	Key  Key
	Rate float64
}

// Shares computes max-min fair shares by water filling: by priority first, within a priority equal
// shares of the organisations. The result has the share of each demand, in its order and unit. The sum is
// the capacity or the total demand, whichever is less. Each less urgent class has guaranteedShare of the
// capacity, but the fraction of its demand that it is given is never higher than that of a more urgent class.
func Shares(demand []Demand, capacity float64) []float64 {
	shares := make([]float64, len(demand))
	classes := classesOf(demand)
	totals := make([]float64, len(classes))
	for i, members := range classes {
		for _, d := range members {
			totals[i] += demand[d].Rate
		}
	}
	for i, total := range classShares(totals, capacity) {
		fill(demand, classes[i], total, shares)
	}
	return shares
}

// classesOf returns the indexes of the demands of each priority, the most urgent first.
func classesOf(demand []Demand) [][]int {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demand[a].Key.Priority, demand[b].Key.Priority) })
	var classes [][]int
	for i, d := range order {
		if i == 0 || demand[order[i-1]].Key.Priority != demand[d].Key.Priority {
			classes = append(classes, nil)
		}
		classes[len(classes)-1] = append(classes[len(classes)-1], d)
	}
	return classes
}

// classShares divides the capacity among classes with the given demands, the most urgent first.
func classShares(totals []float64, capacity float64) []float64 {
	shares := make([]float64, len(totals))
	guaranteed := capacity * min(guaranteedShare, maxGuaranteed/float64(max(1, len(totals)-1)))
	for i, total := range totals {
		if divide(totals[i:], 1, guaranteed, shares[i:]) > capacity {
			divideShort(totals[i:], capacity, guaranteed, shares[i:])
			break
		}
		shares[i] = total
		capacity -= total
	}
	return shares
}

// divide gives the first class a fraction of its demand, and the others their guaranteed shares but no larger
// fraction than the class before. It returns the sum.
func divide(totals []float64, fraction, guaranteed float64, shares []float64) (sum float64) {
	for i, total := range totals {
		if i > 0 && total*fraction > guaranteed {
			fraction = guaranteed / total
		}
		shares[i] = total * fraction
		sum += shares[i]
	}
	return sum
}

// divideShort divides a capacity that does not suffice for the first class and the guaranteed shares
// of the others. It searches the fraction of the first class's demand that uses up the capacity.
func divideShort(totals []float64, capacity, guaranteed float64, shares []float64) {
	low, high := 0.0, 1.0
	for range bisections {
		if middle := (low + high) / 2; divide(totals, middle, guaranteed, shares) <= capacity {
			low = middle
		} else {
			high = middle
		}
	}
	divide(totals, low, guaranteed, shares)
}

// fill divides the total of a class equally among its members, of which none gets more than its
// demand: what one does not need is divided among the others.
func fill(demand []Demand, members []int, total float64, shares []float64) {
	slices.SortStableFunc(members, func(a, b int) int { return cmp.Compare(demand[a].Rate, demand[b].Rate) })
	for i, d := range members {
		shares[d] = max(0, min(demand[d].Rate, total/float64(len(members)-i)))
		total -= shares[d]
	}
}
