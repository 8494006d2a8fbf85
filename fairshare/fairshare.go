// Package fairshare decides which requests are admitted while a service has less capacity than its
// callers request: by priority, then in equal shares of the organisations, in units of predicted work.
// The VMs exchange what is requested and completed of them, compute the same shares, and each admits the same
// fraction of what arrives at it. There is no coordinator. See docs/design/fair-shares.md.
package fairshare

import (
	"time"

	"github.com/springweir/springweir/internal/splitmix"
)

const (
	// demandSpan is the time constant of the demand of a key: shares follow a change within two seconds.
	demandSpan = time.Second
	// surgeSpan is the time constant of the total demand of a service. A peak of one second would
	// otherwise be over before the demands show it.
	surgeSpan = 200 * time.Millisecond
	// completedSpan is the time constant of the completed work.
	completedSpan = 200 * time.Millisecond
	// reportTTL is how long the demands of another VM are counted without newer ones, as
	// loadshare.TTL.
	reportTTL = 700 * time.Millisecond
	// sharesInterval is how long computed shares are used: as long as the time between two reports of work.
	sharesInterval = 10 * time.Millisecond
	// maxServices, maxKeys and maxSources bound the tables. The total demands of a zone of 127 VMs come
	// from as many sources.
	maxServices, maxKeys, maxSources = 64, 256, 512
	// minRate is the least demand that is reported, in slots.
	minRate = 0.001
	// MaxReported is the maximum number of demands of one service in a report, as
	// loadshare.MaxDemands.
	MaxReported = 32
	// CompletedPriority marks a Demand that states completed work, as loadshare.CompletedPriority.
	CompletedPriority = 255
	// MaxPriority is the highest priority number that is distinguished.
	MaxPriority = CompletedPriority - 1
)

// Key identifies what shares are given to. Service and Organisation are hashes of names; organisation
// 0 is for requests without one. Priority 0 is the most urgent.
type Key struct {
	Service, Organisation uint32
	Priority              uint8
}

// Config configures a Tracker.
type Config struct {
	// Seed distinguishes VMs, so that not all of them admit and refuse their first requests at the same
	// time.
	Seed uint64
}

// Scarcity is what is known of the capacity of a service at a decision.
type Scarcity struct {
	// Free is the number of free slots, and Age how old the reports of the other VMs about them may be.
	// Nothing is refused while there are more than others may have taken in this time.
	Free int
	Age  time.Duration
	// Backlog is the predicted work that waits for a slot at all endpoints.
	Backlog time.Duration
	// Slots is the capacity assumed until completions show it, in slots.
	Slots float64
	// Objective is the latency objective of the request; zero means none.
	Objective time.Duration
}

// Tracker measures demands and decides. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	services map[uint32]*service
	sources  map[string]source
}

// source is the last report of another VM, a zone or the region.
type source struct {
	list []Demand
	at   time.Time
}

// New returns a Tracker without demands.
func New(c Config) *Tracker {
	return &Tracker{config: c, services: map[uint32]*service{}, sources: map[string]source{}}
}

// Arrived records offered work. It is called once for each request, also if it is refused.
func (t *Tracker) Arrived(now time.Time, k Key, cost time.Duration) {
	s := t.service(k.Service)
	if s == nil {
		return
	}
	s.surge.add(now, cost.Seconds(), surgeSpan)
	s.total.add(now, cost.Seconds(), demandSpan)
	s.requests.add(now, 1, demandSpan)
	s.recent.add(now, 1, recentSpan)
	s.lagging.add(now, 1, laggingSpan)
	if a := s.account(now, k, t.config.Seed); a != nil {
		a.offered.add(now, cost.Seconds(), demandSpan)
	}
}

// Completed records work that an endpoint has completed for this VM, in the same unit as the cost at
// its arrival. The total of all VMs while the service is saturated is its capacity.
func (t *Tracker) Completed(now time.Time, service uint32, cost time.Duration) {
	if s := t.service(service); s != nil {
		s.completed.add(now, cost.Seconds(), completedSpan)
	}
}

// Admit decides on a request that was recorded with Arrived. If it is refused, retryAfter is when the caller
// should retry.
func (t *Tracker) Admit(now time.Time, k Key, cost time.Duration, c Scarcity) (ok bool, retryAfter time.Duration) {
	s := t.service(k.Service)
	if s == nil {
		return true, 0
	}
	completedByOthers := t.completedByOthers(now, k.Service)
	c = s.ownPart(now, c, completedByOthers)
	s.learn(now, cost, c, completedByOthers)
	a := s.account(now, k, t.config.Seed)
	if a == nil {
		return true, 0
	}
	s.share(now, c, func() map[Key]float64 { return t.others(now, k.Service) })
	fraction := s.fraction(k)
	if s.surelyFree(c) || a.take(cost, fraction) {
		return true, 0
	}
	s.refusedAt = now
	return false, a.retryAfter(now, cost, fraction*a.offered.value(now, demandSpan))
}

// Refund returns what Admit has granted to a request that was not sent for another reason.
func (t *Tracker) Refund(k Key, cost time.Duration) {
	if s := t.services[k.Service]; s != nil {
		if a := s.accounts[k]; a != nil {
			a.credit[costBucket(cost)] = min(maxCredit, a.credit[costBucket(cost)]+1)
		}
	}
}

// MeanCost returns the mean cost of the requests of a service that arrive at this VM.
func (t *Tracker) MeanCost(now time.Time, service uint32) time.Duration {
	if s := t.services[service]; s != nil {
		return time.Duration(s.meanCost(now) * float64(time.Second))
	}
	return 0
}

// State is the situation of a key at the last decision, in slots.
type State struct{ Demand, Share, Capacity float64 }

// State returns the situation of a key.
func (t *Tracker) State(k Key) State {
	s := t.services[k.Service]
	if s == nil {
		return State{}
	}
	return State{Demand: s.demand[k], Share: s.shares[k], Capacity: s.effective}
}

// Allotted calls f with each key of a service, its demand and its share at the last decision, in slots.
func (t *Tracker) Allotted(service uint32, f func(k Key, demand, share float64)) {
	if s := t.services[service]; s != nil {
		for k, share := range s.shares {
			f(k, s.demand[k], share)
		}
	}
}

// TakeReport returns this VM's completed work and demands, the MaxReported largest of each service, and
// drops what has expired.
func (t *Tracker) TakeReport(now time.Time) []Demand {
	for name, source := range t.sources {
		if now.Sub(source.at) > reportTTL {
			delete(t.sources, name)
		}
	}
	var list []Demand
	for hash, s := range t.services {
		list = append(list, s.report(now, hash)...)
		if s.idle(now) {
			delete(t.services, hash)
		}
	}
	return list
}

// Receive replaces the demands of a source: another VM, or a part of the sum of a zone or the region.
func (t *Tracker) Receive(now time.Time, name string, list []Demand) {
	if _, known := t.sources[name]; known || len(t.sources) < maxSources {
		t.sources[name] = source{list: list, at: now}
	}
}

// Forget drops the demands of a source.
func (t *Tracker) Forget(name string) { delete(t.sources, name) }

// others returns the demands that the other VMs report of a service.
func (t *Tracker) others(now time.Time, service uint32) map[Key]float64 {
	sum := map[Key]float64{}
	t.eachOther(now, service, func(d Demand) { sum[d.Key] += d.Rate })
	delete(sum, completedKey(service))
	return sum
}

func (t *Tracker) completedByOthers(now time.Time, service uint32) (sum float64) {
	t.eachOther(now, service, func(d Demand) {
		if d.Key == completedKey(service) {
			sum += d.Rate
		}
	})
	return sum
}

func (t *Tracker) eachOther(now time.Time, service uint32, f func(Demand)) {
	for _, source := range t.sources {
		if now.Sub(source.at) > reportTTL {
			continue
		}
		for _, d := range source.list {
			if d.Key.Service == service {
				f(d)
			}
		}
	}
}

func completedKey(service uint32) Key { return Key{Service: service, Priority: CompletedPriority} }

// service returns the state of a service, or nil if there are too many.
func (t *Tracker) service(hash uint32) *service {
	s := t.services[hash]
	if s == nil && len(t.services) < maxServices {
		s = &service{accounts: map[Key]*account{}}
		t.services[hash] = s
	}
	return s
}

// phase returns a number in [0, 1) that depends on the VM, the key and n.
func phase(seed uint64, k Key, n int) float64 {
	x := splitmix.Mix(seed ^ uint64(k.Organisation)<<32 ^ uint64(k.Service) ^ uint64(k.Priority)<<16 ^ uint64(n)<<56)
	return float64(x>>11) / (1 << 53)
}
