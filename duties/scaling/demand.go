package scaling

import (
	"slices"
	"time"
)

// Demand is the work of a service that all VMs have in flight at one moment, in endpoints that it
// keeps busy. Queued work counts too, so a demand may exceed the number of endpoints.
type Demand struct {
	// Prefill and Decode are the busy engines of each role, Either those that prefill short prompts,
	// which both roles may do, and Plain the busy endpoints of a service without engines.
	Prefill, Decode, Either, Plain float64
	// Known reports whether the other VMs have reported their work recently.
	Known bool
}

// isZero reports whether there is no work.
func (d Demand) isZero() bool {
	return d.Prefill == 0 && d.Decode == 0 && d.Either == 0 && d.Plain == 0
}

// merge combines two demands, role by role.
func (d Demand) merge(o Demand, combine func(a, b float64) float64) Demand {
	return Demand{Prefill: combine(d.Prefill, o.Prefill), Decode: combine(d.Decode, o.Decode), Either: combine(d.Either, o.Either), Plain: combine(d.Plain, o.Plain), Known: true}
}

// larger returns the larger demand of each role.
func (d Demand) larger(o Demand) Demand {
	return d.merge(o, func(a, b float64) float64 { return max(a, b) })
}

// times returns the demand multiplied by a factor.
func (d Demand) times(factor float64) Demand {
	return d.merge(Demand{}, func(a, _ float64) float64 { return factor * a })
}

// Forecast is what a service is expected to need while endpoints that are ordered now would start.
type Forecast struct {
	// Newest is the last demand, Sustained the largest one that lasted as long as an endpoint takes
	// to start, and Peak the largest one that a burst may bring.
	Newest, Sustained, Peak Demand
	// Known reports whether there is a forecast: the history covers the window, and is recent.
	Known bool
	// Incomplete reports that too many reports are missing to conclude that endpoints are unneeded.
	Incomplete bool
}

const (
	// forecastWindow is the time over which a maximum is taken. It covers one period of the waves of
	// 11 s in which the load of the deployment with revocable endpoints rises and falls by 27%.
	forecastWindow = 12 * time.Second
	// medianWindow is the time over which the median is taken. It is several times as long as the
	// longest burst (10 s), so that a burst is not multiplied by burstFactor once more.
	medianWindow = 60 * time.Second
	// peakTime is the time over which samples are averaged for the peak. Work in flight fluctuates
	// from one sample to the next; the fluctuation is accounted for by the queueing formula.
	peakTime = 900 * time.Millisecond
	// burstFactor is the largest factor of a burst, and waveFactor the largest load of a wave
	// relative to its median.
	burstFactor, waveFactor = 1.9, 1.27
	// sampleMaxAge is the age of the newest sample beyond which no endpoint is released, and
	// historyMaxAge the one beyond which there is no forecast.
	sampleMaxAge, historyMaxAge = time.Second, 10 * time.Second
	// minCoverage is the fraction of the samples of a window without which no endpoint is released.
	minCoverage = 0.75
)

// sample is the demand at one time.
type sample struct {
	at     time.Time
	demand Demand
}

// history holds the samples of medianWindow, in order of time. It starts with the first work: a
// service that has not been used yet has shown nothing of its load.
type history struct {
	samples []sample
	// since is the time of the first sample after the last loss of reports.
	since time.Time
}

// add records a sample and drops expired ones. A demand that is not known is no sample.
func (h *history) add(now time.Time, d Demand) {
	if !d.Known || len(h.samples) == 0 && d.isZero() {
		return
	}
	if n := len(h.samples); n == 0 || now.Sub(h.samples[n-1].at) > historyMaxAge {
		h.samples, h.since = nil, now
	}
	h.samples = append(h.samples, sample{now, d})
	expired := 0
	for now.Sub(h.samples[expired].at) > medianWindow {
		expired++
	}
	h.samples = slices.Delete(h.samples, 0, expired)
}

// forecast returns the forecast for endpoints that take boot to start.
func (h *history) forecast(now time.Time, boot time.Duration) Forecast {
	n := len(h.samples)
	if n == 0 || now.Sub(h.samples[n-1].at) > historyMaxAge || now.Sub(h.since) < forecastWindow {
		return Forecast{}
	}
	f := Forecast{Newest: h.samples[n-1].demand, Known: true}
	f.Sustained = h.largestMean(now, boot)
	f.Peak = h.largestMean(now, peakTime).larger(h.median().times(burstFactor * waveFactor)).larger(f.Sustained)
	f.Incomplete = now.Sub(h.samples[n-1].at) > sampleMaxAge || float64(h.numWithin(now, forecastWindow)) < minCoverage*float64(forecastWindow/reconcileInterval)
	return f
}

// numWithin returns the number of samples that are not older than age.
func (h *history) numWithin(now time.Time, age time.Duration) int {
	n := 0
	for _, s := range h.samples {
		if now.Sub(s.at) <= age {
			n++
		}
	}
	return n
}

// means returns the mean demand of the time span that ends with each sample.
func (h *history) means(span time.Duration) []Demand {
	add := func(a, b float64) float64 { return a + b }
	sub := func(a, b float64) float64 { return a - b }
	var sum Demand
	list, first := make([]Demand, len(h.samples)), 0
	for i, s := range h.samples {
		sum = sum.merge(s.demand, add)
		for s.at.Sub(h.samples[first].at) >= span {
			sum = sum.merge(h.samples[first].demand, sub)
			first++
		}
		list[i] = sum.times(1 / float64(i-first+1))
	}
	return list
}

// largestMean returns the largest mean demand of each role over a time span that ends within
// forecastWindow.
func (h *history) largestMean(now time.Time, span time.Duration) Demand {
	var largest Demand
	for i, mean := range h.means(span) {
		if now.Sub(h.samples[i].at) <= forecastWindow {
			largest = largest.larger(mean)
		}
	}
	return largest
}

// median returns the median of each role's mean demand over peakTime.
func (h *history) median() Demand {
	means := h.means(peakTime)
	middle := func(role func(Demand) float64) float64 {
		values := make([]float64, len(means))
		for i, mean := range means {
			values[i] = role(mean)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return Demand{
		Prefill: middle(func(d Demand) float64 { return d.Prefill }), Decode: middle(func(d Demand) float64 { return d.Decode }),
		Either: middle(func(d Demand) float64 { return d.Either }), Plain: middle(func(d Demand) float64 { return d.Plain }), Known: true,
	}
}
