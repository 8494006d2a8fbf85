package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// saturationTime is how long a service has been saturated before its completions show its capacity:
	// the completed work is an average over completedSpan.
	saturationTime = 2 * completedSpan
	// freeTolerance is the part of the slots that may seem free in a saturated service, since reports are
	// old.
	freeTolerance = 0.1
	// capacitySpan is the time constant with which the capacity follows the completions.
	capacitySpan = 500 * time.Millisecond
	// growthSpan is the time constant with which the capacity grows while slots are free although requests
	// are refused and limitedFraction of it is completed: it is then too low.
	growthSpan      = 200 * time.Millisecond
	limitedFraction = 0.9
	// maxLearnInterval bounds the time that one observation stands for.
	maxLearnInterval = 200 * time.Millisecond
	// waitFraction is the part of the objective for which admitted requests wait at endpoints. With none
	// slots would be idle between two reports; the rest is for the request itself and for peaks.
	waitFraction = 0.25
	// slackFraction bounds the wait as a part of what the objective leaves beside the request itself.
	slackFraction = 0.2
	// minWait and maxWait bound this wait; defaultWait applies to requests without an objective.
	minWait, maxWait, defaultWait = 10 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond
	// A wait that differs from this is corrected in drainDelays times the age of reports or drainRequests times
	// the usual duration of a request, from minDrainTime to maxDrainTime. A faster correction of what is known
	// late would overshoot, and the wait for few long requests differs by chance.
	drainDelays, drainRequests = 3, 5
	minDrainTime, maxDrainTime = 200 * time.Millisecond, 600 * time.Millisecond
	// minCapacity and maxCapacity bound the correction, as factors of the capacity.
	minCapacity, maxCapacity = 0.1, 1.5
	// minReduction is the least part of their shares that remains to those that request more, while a
	// backlog is drained.
	minReduction = 0.1
	// recentSpan and laggingSpan are the time constants of the rates whose ratio is the trend of demands.
	// The latter is about the delay with which demands are known: their average, the time between two
	// reports and their way.
	recentSpan, laggingSpan = 100 * time.Millisecond, 400 * time.Millisecond
	// chanceDeviations and chanceRequests are the number of standard deviations and of requests that a
	// rise must exceed, and maxTrend bounds its factor.
	chanceDeviations, chanceRequests, maxTrend = 2, 2, 4
	// partMemory is how long a VM that hears no other keeps to its part of the capacity. After that the
	// others have probably failed.
	partMemory = 10 * time.Second
	// slopeSpan is the time over which the slope of the wait is measured, and maxSlopeSpan the longest for
	// which it says something of the present. A slope of up to usualSlope may be chance.
	slopeSpan, maxSlopeSpan = 20 * time.Millisecond, 100 * time.Millisecond
	usualSlope              = 0.5
	// waitWeightDown and waitWeightUp are the weights of a request in the wait that is aimed at.
	waitWeightDown, waitWeightUp = 0.2, 0.005
	// floorPerSecond is the number of requests of each key that are admitted per second even if its share
	// is less, so that no organisation is without service for two seconds. floorShare bounds the capacity
	// that this may take.
	floorPerSecond, floorShare = 4, 0.2
)

// service is the state of one service.
type service struct {
	accounts map[Key]*account
	// surge and total are the total demand over a short and a long time, requests the number of
	// requests, and completed the completed work.
	surge, total, requests, completed meter
	// recent and lagging are the numbers of requests per second over a short time, and as reports show
	// them.
	recent, lagging meter
	// capacity is the learned capacity in slots; zero is unknown.
	capacity float64
	// saturatedSince is when the last free slot was seen to be taken; zero while there is one.
	saturatedSince, learnedAt time.Time
	// heardAt is when completed work of others was last known, and part this VM's part of all completed
	// work then. alone is set while capacity is that of this part.
	heardAt time.Time
	part    float64
	alone   bool
	// lastWait is the wait at waitAt, in seconds, and rise its slope before that.
	lastWait, rise float64
	waitAt         time.Time
	// refusedAt is when this VM last refused a request.
	refusedAt time.Time
	// wait is the wait of admitted requests that is aimed at.
	wait time.Duration
	// demand and shares are in slots as of sharedAt, for an effective capacity.
	demand, shares map[Key]float64
	effective      float64
	// othersPerSecond is the number of requests that arrive at other VMs.
	othersPerSecond float64
	sharedAt        time.Time
}

// account returns the account of a key, or nil if there are too many.
func (s *service) account(now time.Time, k Key, seed uint64) *account {
	if a := s.accounts[k]; a != nil {
		return a
	}
	if len(s.accounts) >= maxKeys {
		s.forgetIdle(now)
	}
	if len(s.accounts) >= maxKeys {
		return nil
	}
	a := &account{}
	for i := range a.credit {
		a.credit[i] = phase(seed, k, i)
	}
	s.accounts[k] = a
	return a
}

// forgetIdle removes accounts without recent demand.
func (s *service) forgetIdle(now time.Time) {
	for k, a := range s.accounts {
		if a.offered.value(now, demandSpan) < minRate {
			delete(s.accounts, k)
		}
	}
}

// idle reports whether nothing is left to remember but the capacity.
func (s *service) idle(now time.Time) bool {
	return now.Sub(s.total.at) > time.Minute && now.Sub(s.completed.at) > time.Minute
}

// ownPart reduces a scarcity to this VM's part of the service while the others, which do most of the work, are
// not heard: what they run at the endpoints is then unknown.
func (s *service) ownPart(now time.Time, c Scarcity, completedByOthers float64) Scarcity {
	own := s.completed.value(now, completedSpan)
	if completedByOthers > 0 {
		if s.heardAt.IsZero() {
			s.part = 1
		}
		s.part += (own/(own+completedByOthers) - s.part) * (1 - math.Exp(-min(maxLearnInterval, now.Sub(s.heardAt)).Seconds()/demandSpan.Seconds()))
		if s.alone {
			s.alone, s.capacity = false, s.capacity/s.part
		}
		s.heardAt = now
	}
	if s.heardAt.IsZero() || now.Sub(s.heardAt) < reportTTL || now.Sub(s.heardAt) > partMemory {
		return c
	}
	if !s.alone {
		s.alone, s.capacity = true, s.capacity*s.part
	}
	taken := c.Slots * (1 - s.part)
	c.Backlog += time.Duration(max(0, taken-float64(c.Free)) * s.meanCost(now) * float64(time.Second))
	c.Free = max(0, c.Free-int(taken))
	c.Slots *= s.part
	return c
}

// learn updates the capacity from the completions of all VMs. While slots are free, they show only a
// lower bound of it.
func (s *service) learn(now time.Time, cost time.Duration, c Scarcity, completedByOthers float64) {
	elapsed := min(maxLearnInterval, now.Sub(s.learnedAt))
	s.learnedAt = now
	if s.capacity == 0 {
		s.capacity = c.Slots
	}
	s.aimAt(c.Objective, s.duration(cost, c))
	done := s.completed.value(now, completedSpan) + completedByOthers
	switch {
	case float64(c.Free) > freeTolerance*c.Slots:
		s.saturatedSince = time.Time{}
		if now.Sub(s.refusedAt) < growthSpan && done > limitedFraction*s.capacity {
			s.capacity *= 1 + elapsed.Seconds()/growthSpan.Seconds()
		}
	case s.saturatedSince.IsZero():
		s.saturatedSince = now
	case now.Sub(s.saturatedSince) >= saturationTime:
		if done > 0 {
			s.capacity += (done - s.capacity) * (1 - math.Exp(-elapsed.Seconds()/capacitySpan.Seconds()))
		}
	}
}

// aimAt adapts the wait that is aimed at to the objective of a request and the time that it needs itself.
// It follows the requests that can wait least: the others share the same queues.
func (s *service) aimAt(objective, cost time.Duration) {
	wait := defaultWait
	if slack := objective - cost; slack > 0 {
		wait = min(maxWait, max(minWait, min(time.Duration(waitFraction*float64(objective)), time.Duration(slackFraction*float64(slack)))))
	}
	switch {
	case s.wait == 0:
		s.wait = wait
	case wait < s.wait:
		s.wait += time.Duration(waitWeightDown * float64(wait-s.wait))
	default:
		s.wait += time.Duration(waitWeightUp * float64(wait-s.wait))
	}
}

// share computes the shares of all keys, unless they are recent. The capacity is corrected so that the
// wait at endpoints becomes the one aimed at: a wrong capacity is thus harmless.
func (s *service) share(now time.Time, c Scarcity, others func() map[Key]float64) {
	if !s.sharedAt.IsZero() && now.Sub(s.sharedAt) < sharesInterval {
		return
	}
	s.sharedAt = now
	wait := (c.Backlog.Seconds() - float64(max(0, c.Free))*s.meanCost(now)) / max(s.capacity, minRate)
	wait += max(0, s.slope(now, wait)-usualSlope) * c.Age.Seconds()
	duration := s.duration(time.Duration(s.meanCost(now)*float64(time.Second)), c)
	drainTime := min(maxDrainTime, max(minDrainTime, drainDelays*c.Age, drainRequests*duration))
	correction := 1 + (s.wait.Seconds()-wait)/drainTime.Seconds()
	s.effective = s.capacity * min(maxCapacity, max(minCapacity, correction))
	s.demand = others()
	trend := s.trend(now)
	s.othersPerSecond = 0
	if mean := s.meanCost(now); mean > 0 {
		for k, rate := range s.demand {
			s.demand[k] = rate * trend
			s.othersPerSecond += rate / mean
		}
	}
	for k := range s.accounts {
		if rate := s.ownDemand(now, k); rate > 0 {
			s.demand[k] += rate * trend
		}
	}
	list := make([]Demand, 0, len(s.demand))
	for k, rate := range s.demand {
		list = append(list, Demand{k, rate})
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Key.Priority, b.Key.Priority), cmp.Compare(a.Key.Organisation, b.Key.Organisation))
	})
	s.shares = make(map[Key]float64, len(list))
	for i, share := range Shares(list, max(s.capacity, s.effective)) {
		s.shares[list[i].Key] = share
	}
	s.reduce(list)
	s.raiseToFloor(now, list)
}

// duration returns how long a request takes in a slot: its cost, corrected by what completions show.
func (s *service) duration(cost time.Duration, c Scarcity) time.Duration {
	return time.Duration(float64(cost) * c.Slots / max(s.capacity, minRate))
}

// slope returns by how much the wait rises in a time, as a factor of that time: 1 means that twice as much
// arrives as can be done. The wait is as old as the reports, and rises further meanwhile.
func (s *service) slope(now time.Time, wait float64) float64 {
	if elapsed := now.Sub(s.waitAt); elapsed >= slopeSpan {
		s.rise = 0
		if elapsed <= maxSlopeSpan {
			s.rise = (wait - s.lastWait) / elapsed.Seconds()
		}
		s.lastWait, s.waitAt = wait, now
	}
	return s.rise
}

// trend returns the factor by which demands have probably risen since they were reported: that of the
// requests at this VM, less what chance may bring. A peak is otherwise known a few hundred milliseconds late,
// and in this time fills the queues of endpoints for as long.
func (s *service) trend(now time.Time) float64 {
	lagging := s.lagging.value(now, laggingSpan)
	rise := s.recent.value(now, recentSpan) - lagging - chanceDeviations*math.Sqrt(lagging/recentSpan.Seconds()) - chanceRequests/recentSpan.Seconds()
	if lagging <= 0 || rise <= 0 {
		return 1
	}
	return min(maxTrend, 1+rise/lagging)
}

// reduce lowers the shares to the effective capacity if that is less than the capacity. The backlog is
// drained by those that request more than their shares: at each short fall of the effective capacity the others
// would lose what they cannot request later. If that does not suffice, the effective capacity is shared.
func (s *service) reduce(list []Demand) {
	satisfied, limited := 0.0, 0.0
	for _, d := range list {
		if share := s.shares[d.Key]; share < d.Rate {
			limited += share
		} else {
			satisfied += share
		}
	}
	switch factor := (s.effective - satisfied) / max(limited, minRate); {
	case satisfied+limited <= s.effective:
	case factor < minReduction:
		reduced := slices.Clone(list)
		for i, d := range list {
			if share := s.shares[d.Key]; share < d.Rate {
				reduced[i].Rate = minReduction * share
			}
		}
		for i, share := range Shares(reduced, s.effective) {
			s.shares[list[i].Key] = share
		}
	default:
		for _, d := range list {
			if s.shares[d.Key] < d.Rate {
				s.shares[d.Key] *= factor
			}
		}
	}
}

// meanCost returns the mean cost of the requests that arrive at this VM, in seconds.
func (s *service) meanCost(now time.Time) float64 {
	if requests := s.requests.value(now, demandSpan); requests > 0 {
		return s.total.value(now, demandSpan) / requests
	}
	return 0
}

// surelyFree reports whether more slots are free than the requests of others may have taken since their
// reports. If all VMs filled the slots that each believes to be free, a burst would arrive at every report.
func (s *service) surelyFree(c Scarcity) bool {
	return float64(c.Free) > s.othersPerSecond*c.Age.Seconds()
}

// raiseToFloor raises the shares of keys that would be served too rarely, and then lowers those of classes that
// would be given a larger part of their demand than a more urgent class. list is sorted by priority.
func (s *service) raiseToFloor(now time.Time, list []Demand) {
	floor := min(floorPerSecond*s.meanCost(now), floorShare*s.capacity/float64(max(1, len(list))))
	limit := 1.0
	for from, to := 0, 0; from < len(list); from = to {
		demand, given := 0.0, 0.0
		for ; to < len(list) && list[to].Key.Priority == list[from].Key.Priority; to++ {
			d := list[to]
			s.shares[d.Key] = max(s.shares[d.Key], min(d.Rate, floor))
			demand += d.Rate
			given += s.shares[d.Key]
		}
		if given > limit*demand {
			for _, d := range list[from:to] {
				s.shares[d.Key] *= limit * demand / given
			}
			given = limit * demand
		}
		limit = min(limit, given/max(demand, minRate))
	}
}

// ownDemand returns the demand of a key at this VM, in slots: its part of the demands of the last
// second, scaled by the present total.
func (s *service) ownDemand(now time.Time, k Key) float64 {
	total := s.total.value(now, demandSpan)
	if total <= 0 {
		return 0
	}
	return s.accounts[k].offered.value(now, demandSpan) * s.surge.value(now, surgeSpan) / total
}

// fraction returns the part of a key's demand that is served.
func (s *service) fraction(k Key) float64 {
	demand := s.demand[k]
	if demand <= 0 {
		return 1
	}
	return s.shares[k] / demand
}

// report returns the completed work and the largest demands of this VM.
func (s *service) report(now time.Time, hash uint32) []Demand {
	var list []Demand
	for k := range s.accounts {
		if rate := s.ownDemand(now, k); rate >= minRate {
			list = append(list, Demand{k, rate})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key.Priority, b.Key.Priority), cmp.Compare(a.Key.Organisation, b.Key.Organisation))
	})
	list = list[:min(len(list), MaxReported-1)]
	if rate := s.completed.value(now, completedSpan); rate >= minRate {
		list = append(list, Demand{completedKey(hash), rate})
	}
	return list
}
