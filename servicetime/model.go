// Package servicetime predicts how long a plain endpoint works on a request, from the durations of
// earlier requests that looked alike. It is a pure state machine over times passed in by the caller.
//
// A request belongs to one class at each of several levels: service, route, size, path without
// identifiers, path, organisation. Each level is trusted as far as its samples support it and
// otherwise follows the coarser one, so that costs that depend on the route, on the path or on the
// size are found without configuration.
package servicetime

import (
	"math"
	"time"
)

// Class is what is known of a request before it is sent. Path has no query.
type Class struct {
	Service, Route, Path string
	BodyBytes            int
	Organisation         string
}

// Estimate is a predicted duration at an endpoint of usual pace.
type Estimate struct {
	Mean time.Duration
	// Upper is the 95th percentile, at least Mean.
	Upper time.Duration
	// Samples is the decayed number of observations of the request's route.
	Samples float64
}

// Config configures a Model. Zero values take the defaults.
type Config struct {
	// Assumed is the mean without any samples (default 30 ms).
	Assumed time.Duration
	// HalfLife is the time in which the weight of an observation halves when others follow (default 20 s).
	HalfLife time.Duration
	// MaxEntries bounds the classes of all levels that are kept (default 4096, about 1 MB). The one
	// observed least recently is dropped.
	MaxEntries int
}

const (
	defaultAssumed    = 30 * time.Millisecond
	defaultHalfLife   = 20 * time.Second
	defaultMaxEntries = 4096
	// maxPriorWeight bounds the number of samples that the coarser level counts for.
	maxPriorWeight = 20
	// maxWeight bounds the weight of the past, in samples: a busy class follows a change within about
	// so many requests.
	maxWeight = 200
	// assumedSpread is the assumed ratio of the upper estimate to the mean without samples.
	assumedSpread = 3
	// upperQuantile is the quantile of Estimate.Upper.
	upperQuantile = 0.95
)

// Model holds the observed durations. It is not safe for concurrent use.
type Model struct {
	cfg     Config
	entries map[key]*entry
	// newest and oldest are the ends of the list of entries in the order of their last observations.
	newest, oldest *entry
}

// New returns a model without samples.
func New(c Config) *Model {
	if c.Assumed == 0 {
		c.Assumed = defaultAssumed
	}
	if c.HalfLife == 0 {
		c.HalfLife = defaultHalfLife
	}
	if c.MaxEntries == 0 {
		c.MaxEntries = defaultMaxEntries
	}
	return &Model{cfg: c, entries: map[key]*entry{}}
}

// Estimate predicts the duration of a request.
func (m *Model) Estimate(c Class) Estimate {
	mean, upper := float64(m.cfg.Assumed), assumedSpread*float64(m.cfg.Assumed)
	samples := 0.0
	levels := c.levels()
	for i, k := range levels {
		e := m.entries[k]
		if e == nil {
			continue
		}
		if i == routeLevel {
			samples = e.weight
		}
		trust := e.weight / (e.weight + e.priorWeight(mean))
		mean += trust * (e.mean() - mean)
		upper += trust * (e.quantile(upperQuantile) - upper)
	}
	return Estimate{Mean: time.Duration(mean), Upper: time.Duration(max(mean, upper)), Samples: samples}
}

// Observe records the duration of a request at an endpoint of usual pace. Durations that are not
// positive are ignored.
func (m *Model) Observe(now time.Time, c Class, d time.Duration) {
	if d <= 0 {
		return
	}
	for _, k := range c.levels() {
		e := m.entries[k]
		if e == nil {
			e = m.add(k, now)
		}
		m.touch(e)
		e.observe(now, m.cfg.HalfLife, d)
	}
}

// add adds an entry, and drops the oldest ones if there are too many.
func (m *Model) add(k key, now time.Time) *entry {
	for len(m.entries) >= m.cfg.MaxEntries {
		delete(m.entries, m.oldest.key)
		m.unlink(m.oldest)
	}
	e := &entry{key: k, at: now}
	m.entries[k] = e
	return e
}

// touch makes an entry the newest one.
func (m *Model) touch(e *entry) {
	if m.newest == e {
		return
	}
	m.unlink(e)
	e.older = m.newest
	if m.newest != nil {
		m.newest.newer = e
	}
	m.newest = e
	if m.oldest == nil {
		m.oldest = e
	}
}

// unlink removes an entry from the list, if it is in it.
func (m *Model) unlink(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else if m.newest == e {
		m.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else if m.oldest == e {
		m.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}

// entry holds the decayed observations of one class.
type entry struct {
	key          key
	newer, older *entry
	at           time.Time
	// weight is the number of samples, and sum and squares are sums of their durations in nanoseconds
	// and of the squares of these.
	weight, sum, squares float64
	// buckets are weights by duration: bucket i holds those up to the upper bound of i.
	buckets [numBuckets]float32
}

const (
	// shortest is the upper bound of the first bucket, and each later bound is bucketsPerDoubling-th
	// root of two times as long: the last one is 7 minutes.
	shortest           = 100 * time.Microsecond
	bucketsPerDoubling = 2
	numBuckets         = 45
)

func bucketOf(d time.Duration) int {
	i := math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(shortest)))
	return int(min(max(i, 0), numBuckets-1))
}

// bucketBound returns the upper bound of a bucket in nanoseconds.
func bucketBound(i int) float64 {
	return float64(shortest) * math.Exp2(float64(i)/bucketsPerDoubling)
}

func (e *entry) observe(now time.Time, halfLife, d time.Duration) {
	decay := math.Exp2(-float64(max(0, now.Sub(e.at))) / float64(halfLife))
	decay = min(decay, maxWeight/(e.weight+1))
	e.at = now
	e.weight = e.weight*decay + 1
	e.sum = e.sum*decay + float64(d)
	e.squares = e.squares*decay + float64(d)*float64(d)
	for i := range e.buckets {
		e.buckets[i] *= float32(decay)
	}
	e.buckets[bucketOf(d)]++
}

func (e *entry) mean() float64 { return e.sum / e.weight }

// priorWeight returns the number of samples that the coarser level, which has the given mean, counts
// for: the variance within the class, relative to the square of its distance from the coarser level.
// A class that differs by much is thus trusted after few samples, one that differs by chance is not.
// The variance of the first samples is unknown; it includes one with that of the coarser level.
func (e *entry) priorWeight(coarser float64) float64 {
	mean := e.mean()
	within := max(0, e.squares-e.weight*mean*mean) + coarser*coarser
	distance := mean - coarser
	return min(maxPriorWeight, within/(e.weight+1)/max(1, distance*distance))
}

// quantile returns the upper bound of the bucket that contains a quantile, in nanoseconds.
func (e *entry) quantile(q float64) float64 {
	left := q * e.weight
	for i, w := range e.buckets {
		if left -= float64(w); left <= 0 {
			return bucketBound(i)
		}
	}
	return bucketBound(numBuckets - 1)
}
