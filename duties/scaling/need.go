package scaling

import "math"

const (
	// lateFraction is the fraction of requests that may wait longer than patience, and
	// peakLateFraction that at a peak: a burst at the top of a wave, which lasts about 3 s.
	lateFraction, peakLateFraction = 0.01, 0.1
	// patience is the longest wait that still leaves an answer within its objective, as a fraction of
	// the mean duration of a prefill: short prompts may wait 240 ms of their 250 ms, behind long ones
	// that take 343 ms (17,000 tokens at 49.6 tokens/ms).
	patience = 0.7
	// maxUtilisation and maxPeakUtilisation bound the utilisation of the endpoints by sustained load
	// and at peaks. A VM doesn't know exactly what the others have placed: at 0.75 and 0.9 placement
	// serves 0.95 and 0.90 of what a central queue serves on time.
	maxUtilisation, maxPeakUtilisation = 0.75, 0.95
	// prefillShare and decodeShare are the largest shares of the engines that a role can be expected to
	// have: the share of prefill engines without any pressure, and what rolechange's minimum share of
	// prefill engines leaves.
	prefillShare, decodeShare = 0.6, 0.6
	// smallestFleet is the fraction of the base that is kept when there is no work: a service that
	// becomes busy needs endpoints before others can start.
	smallestFleet = 0.25
	// maxBusy bounds the busy servers that are calculated with.
	maxBusy = 10_000
	// releaseThreshold is how far the number needed must fall, as a fraction, before endpoints are
	// released. Each released one loses its cache, and each added one starts with an empty cache.
	releaseThreshold = 0.15
	// releaseMargin is the fraction by which the number kept at a release exceeds the number needed, so
	// that the fluctuation of a forecast does not add what was just released.
	releaseMargin = 0.06
)

// need is a requirement on the number of endpoints of a service.
type need struct {
	// total is the number required while nothing fails, and reserve the number that must remain when
	// all endpoints of any one zone, or its revocable ones, are lost.
	total, reserve int
}

// needOf returns what a forecast requires of a service with a base.
func needOf(f Forecast, base int) need {
	least := int(math.Ceil(smallestFleet * float64(base)))
	n := need{
		total:   max(least, endpointsFor(f.Peak, maxPeakUtilisation, peakLateFraction)),
		reserve: max(least/2, endpointsFor(f.Sustained, maxUtilisation, lateFraction)),
	}
	n.total = max(n.total, n.reserve)
	return n
}

// follow returns the need to plan for after a new one: more at once, less only if clearly less is
// needed.
func (n need) follow(next need, mayRelease bool) need {
	return need{total: followOne(n.total, next.total, mayRelease), reserve: followOne(n.reserve, next.reserve, mayRelease)}
}

func followOne(held, next int, mayRelease bool) int {
	switch {
	case held > 0 && next > held:
		return next
	case held == 0, mayRelease && float64(next) < (1-releaseThreshold)*float64(held):
		return int(math.Ceil((1 + releaseMargin) * float64(next)))
	}
	return held
}

// endpointsFor returns the number of endpoints that serve a demand on time. Engines have one role at
// a time, so a role's engines are a share of all.
func endpointsFor(d Demand, utilisation, late float64) int {
	servers := func(busy float64) int { return serversFor(busy, utilisation, late) }
	prefill, decode := servers(d.Prefill), servers(d.Decode)
	engines := max(prefill+decode, servers(d.Prefill+d.Decode+d.Either))
	engines = max(engines, int(math.Ceil(float64(prefill)/prefillShare)), int(math.Ceil(float64(decode)/decodeShare)))
	return engines + servers(d.Plain)
}

// serversFor returns the least number of servers at which no more than a fraction late of the
// requests wait longer than patience, and which are not used beyond utilisation: a queue with Poisson arrivals
// and busy servers on average (M/M/k, Erlang C).
func serversFor(busy, utilisation, late float64) int {
	if !(busy > 0) { // also not a number
		return 0
	}
	busy = min(busy, maxBusy)
	blocked := 1.0 // Erlang B
	for k := 1; ; k++ {
		blocked = busy * blocked / (float64(k) + busy*blocked)
		spare := float64(k) - busy
		if spare <= 0 || float64(k)*utilisation < busy {
			continue
		}
		waiting := blocked / (1 - busy/float64(k)*(1-blocked)) // Erlang C
		if waiting*math.Exp(-spare*patience) <= late {
			return k
		}
	}
}
