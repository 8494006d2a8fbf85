package placement

import (
	"math"
	"time"
)

// speedTracker learns how long each endpoint of a plain service takes relative to the usual one. It is
// guarded by the lock of its Planner.
type speedTracker struct {
	byHash map[uint32]*endpointSpeed
}

// endpointSpeed holds the decayed sum of the ratios of observed to predicted durations.
type endpointSpeed struct {
	weight, sum float64
	at          time.Time
}

const (
	// speedHalfLife is the time in which an observation loses half of its weight. An endpoint that has
	// become slower is thus known as usual again after some time without requests.
	speedHalfLife = 8 * time.Second
	// maxSpeedWeight bounds the weight of the past, in samples.
	maxSpeedWeight = 12
	// speedPriorWeight is the number of samples of factor 1 with which an endpoint starts.
	speedPriorWeight = 1
	// minSpeedFactor and maxSpeedFactor bound a factor, and the ratio of one sample.
	minSpeedFactor, maxSpeedFactor = 0.25, 8
	// maxSpeeds bounds the endpoints that are tracked. The one observed least recently is dropped.
	maxSpeeds = 1024
)

func newSpeedTracker() *speedTracker { return &speedTracker{byHash: map[uint32]*endpointSpeed{}} }

// Factor returns the duration of a request at an endpoint, relative to the usual one.
func (t *speedTracker) Factor(now time.Time, endpoint uint32) float64 {
	s := t.byHash[endpoint]
	if s == nil {
		return 1
	}
	weight := s.weight * s.decay(now)
	factor := (weight*s.sum/s.weight + speedPriorWeight) / (weight + speedPriorWeight)
	return min(max(factor, minSpeedFactor), maxSpeedFactor)
}

// Observe records the duration of a request and the one that was predicted at the usual endpoint.
func (t *speedTracker) Observe(now time.Time, endpoint uint32, predicted, observed time.Duration) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	s := t.byHash[endpoint]
	if s == nil {
		t.makeRoom()
		s = &endpointSpeed{at: now}
		t.byHash[endpoint] = s
	}
	decay := min(s.decay(now), maxSpeedWeight/(s.weight+1))
	s.at = now
	s.weight = s.weight*decay + 1
	s.sum = s.sum*decay + min(max(float64(observed)/float64(predicted), minSpeedFactor), maxSpeedFactor)
}

func (s *endpointSpeed) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(s.at))) / float64(speedHalfLife))
}

// makeRoom drops the endpoint that was observed least recently if the table is full.
func (t *speedTracker) makeRoom() {
	if len(t.byHash) < maxSpeeds {
		return
	}
	var oldest uint32
	var at time.Time
	for hash, s := range t.byHash {
		if at.IsZero() || s.at.Before(at) {
			oldest, at = hash, s.at
		}
	}
	delete(t.byHash, oldest)
}
