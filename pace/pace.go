// Package pace learns how long work takes at each endpoint relative to the usual endpoint of its
// group. Endpoints of one group may differ by their hardware, and one may become slower for a while
// because of what else runs beside it. Predictions of the usual duration are multiplied by the
// endpoint's factor.
//
// One VM observes an endpoint only once in some seconds, so the VMs exchange their samples and each
// of them computes the factors from all samples.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// MinFactor and MaxFactor bound a factor.
	MinFactor, MaxFactor = 0.25, 8
	// WholeSample is the count of a sample that is certain: of work without anything ahead of it. Less
	// certain samples count less.
	WholeSample = 8
	// priorSamples is the number of samples at the usual pace that each endpoint is assumed to have: one
	// sample moves the factor half of the way, four move it 0.8 of the way.
	priorSamples = 1.0
	// maxSamples bounds the samples that lasting differences are averaged over. An endpoint of a loaded
	// region gets several a second.
	maxSamples = 32.0
	// lastingHalfLife is the time after which an endpoint without samples counts half as many of them.
	lastingHalfLife = 30 * time.Second
	// recentHalfLife is that of samples that determine the present deviation from the lasting pace, and
	// recentPriorSamples the number of samples without deviation assumed. Endpoints become slower for half a
	// second, in which the VMs of a loaded region observe each of them three to five times. With half as many
	// assumed samples, the noise of samples behind queued work cost 0.01 of the requests of a burst on engines
	// that are alike (TestReplayBurstWithDelayedReports).
	recentHalfLife     = 300 * time.Millisecond
	recentPriorSamples = 3.0
	// maxDeviation bounds the deviation of a sample from the factor, in logarithm: a factor of two. A
	// single outlier thus changes a factor by at most 1.5; a real change is followed within three samples.
	maxDeviation = 0.7
	// reportInterval is the least time between two reports, and reportedEndpoints the most endpoints
	// that one contains: about 1 KB/s to each receiver.
	reportInterval    = 100 * time.Millisecond
	reportedEndpoints = 8
	// maxPending bounds the endpoints whose samples wait to be reported. Further samples are not reported.
	maxPending = 256
	// defaultMaxEndpoints is the largest number of endpoints whose factors are kept by default: of the
	// largest services planned. An entry takes about 100 bytes.
	defaultMaxEndpoints = 20_000
	// expiry is the time without a sample after which an endpoint may be evicted when the table is full. Its
	// factor is then close to 1.
	expiry = 5 * time.Minute
)

// Config configures a Tracker.
type Config struct {
	// MaxEndpoints bounds the endpoints whose factors are kept; zero means the default.
	MaxEndpoints int
}

// Statistic sums up samples of an endpoint.
type Statistic struct {
	// Endpoint is the hash of the endpoint's incarnation.
	Endpoint uint32
	// Samples is the number of samples, each of which counts 1 to WholeSample.
	Samples int
	// LogRatio is the sum over the samples, each counted as in Samples, of ln(observed/predicted). Predicted
	// is the duration at the usual pace.
	LogRatio float64
}

// Tracker holds the factors of endpoints. It is not safe for concurrent use.
type Tracker struct {
	maxEndpoints int
	endpoints    map[uint32]*endpointPace
	groups       map[uint32]*groupMean
	// pending are the statistics to be reported, in the order of their first samples, and pendingOf
	// holds them by endpoint.
	pending    []*Statistic
	pendingOf  map[uint32]*Statistic
	reportedAt time.Time
	evictedAt  time.Time
}

// New returns a tracker without samples.
func New(c Config) *Tracker {
	if c.MaxEndpoints <= 0 {
		c.MaxEndpoints = defaultMaxEndpoints
	}
	return &Tracker{maxEndpoints: c.MaxEndpoints, endpoints: map[uint32]*endpointPace{}, groups: map[uint32]*groupMean{}, pendingOf: map[uint32]*Statistic{}}
}

// SetGroup states which endpoints are compared: the factors of a group have a geometric mean of 1.
// Factors of endpoints without a group (0) are relative to the predictions alone. An endpoint keeps its
// factor when its group changes.
func (t *Tracker) SetGroup(endpoint, group uint32) {
	e := t.entry(time.Time{}, endpoint)
	if e == nil || e.groupID == group {
		return
	}
	e.lasting.sum -= e.group.mean() * e.lasting.samples
	t.leaveGroup(e)
	if group != 0 {
		if t.groups[group] == nil {
			t.groups[group] = &groupMean{}
		}
		e.groupID, e.group = group, t.groups[group]
		e.group.members++
	}
	e.lasting.sum += e.group.mean() * e.lasting.samples
	e.updateGroup()
}

// Factor returns the duration of work at an endpoint relative to the usual endpoint of its group.
func (t *Tracker) Factor(now time.Time, endpoint uint32) float64 {
	e := t.endpoints[endpoint]
	if e == nil {
		return 1
	}
	lasting, recent := e.lasting.decayed(now, e.at, lastingHalfLife), e.recent.decayed(now, e.at, recentHalfLife)
	factor := math.Exp(lasting.estimate(priorSamples, e.group.mean()) + recent.estimate(recentPriorSamples, 0))
	return min(max(factor, MinFactor), MaxFactor)
}

// Observe records that work took observed and was predicted to take predicted at the usual pace.
// Durations that are not positive are ignored.
func (t *Tracker) Observe(now time.Time, endpoint uint32, predicted, observed time.Duration) {
	t.ObserveCounted(now, endpoint, predicted, observed, WholeSample)
}

// ObserveCounted is Observe for a sample that counts 1 to WholeSample.
func (t *Tracker) ObserveCounted(now time.Time, endpoint uint32, predicted, observed time.Duration, count int) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	count = min(max(count, 1), WholeSample)
	logRatio := min(max(math.Log(float64(observed)/float64(predicted)), -math.Log(MaxFactor)), math.Log(MaxFactor))
	s := Statistic{Endpoint: endpoint, Samples: count, LogRatio: float64(count) * logRatio}
	observations.Inc()
	t.apply(now, s)
	if sum := t.pendingOf[endpoint]; sum != nil {
		sum.Samples += s.Samples
		sum.LogRatio += s.LogRatio
	} else if len(t.pending) < maxPending {
		t.pending, t.pendingOf[endpoint] = append(t.pending, &s), &s
	}
}

// Forget drops all samples of an endpoint.
func (t *Tracker) Forget(endpoint uint32) {
	if e := t.endpoints[endpoint]; e != nil {
		t.leaveGroup(e)
	}
	delete(t.endpoints, endpoint)
	delete(t.pendingOf, endpoint)
	t.pending = slices.DeleteFunc(t.pending, func(s *Statistic) bool { return s.Endpoint == endpoint })
}

// TakeReport returns the statistics of at most 8 endpoints with samples that were not yet reported, the
// earliest first; none within 100 ms of the previous report.
func (t *Tracker) TakeReport(now time.Time) []Statistic {
	if len(t.pending) == 0 || now.Sub(t.reportedAt) < reportInterval {
		return nil
	}
	t.reportedAt = now
	n := min(len(t.pending), reportedEndpoints)
	list := make([]Statistic, n)
	for i, s := range t.pending[:n] {
		list[i] = *s
		delete(t.pendingOf, s.Endpoint)
	}
	t.pending = t.pending[n:]
	return list
}

// Receive records statistics of other VMs. Invalid ones are ignored.
func (t *Tracker) Receive(now time.Time, list []Statistic) {
	for _, s := range list {
		if s.Samples <= 0 || math.IsNaN(s.LogRatio) || math.IsInf(s.LogRatio, 0) {
			continue
		}
		received.Inc()
		t.apply(now, s)
	}
}

// apply adds a statistic to the estimates of its endpoint.
func (t *Tracker) apply(now time.Time, s Statistic) {
	e := t.entry(now, s.Endpoint)
	if e == nil {
		dropped.Inc()
		return
	}
	e.lasting = e.lasting.decayed(now, e.at, lastingHalfLife)
	e.recent = e.recent.decayed(now, e.at, recentHalfLife)
	e.at = now
	samples := float64(s.Samples) / WholeSample
	expected := e.lasting.estimate(priorSamples, 0) + e.recent.estimate(recentPriorSamples, 0)
	deviation := min(max(s.LogRatio/float64(s.Samples)-expected, -maxDeviation), maxDeviation)
	before := e.lasting.estimate(priorSamples, 0)
	e.lasting.add(samples, expected+deviation, maxSamples)
	after := e.lasting.estimate(priorSamples, 0)
	e.recent.sum -= (after - before) * e.recent.samples // earlier deviations are relative to the new pace too
	e.recent.add(samples, expected+deviation-after, maxSamples)
	e.updateGroup()
}

// entry returns the entry of an endpoint, or nil if the table is full.
func (t *Tracker) entry(now time.Time, endpoint uint32) *endpointPace {
	e := t.endpoints[endpoint]
	if e != nil {
		return e
	}
	if len(t.endpoints) >= t.maxEndpoints {
		t.evict(now)
	}
	if len(t.endpoints) >= t.maxEndpoints {
		return nil
	}
	e = &endpointPace{}
	t.endpoints[endpoint] = e
	return e
}

// evict removes the endpoints that had no sample for long, at most once per expiry.
func (t *Tracker) evict(now time.Time) {
	if now.Sub(t.evictedAt) < expiry {
		return
	}
	t.evictedAt = now
	for endpoint, e := range t.endpoints {
		if now.Sub(e.at) >= expiry {
			t.Forget(endpoint)
		}
	}
}

// endpointPace holds the estimates of one endpoint as of its last sample.
type endpointPace struct {
	// lasting is the pace over many samples, and recent the present deviation from it.
	lasting, recent mean
	at              time.Time
	groupID         uint32
	group           *groupMean
	// confidence and sum are what this endpoint contributes to the mean of its group.
	confidence, sum float64
}

// mean is a weighted mean of logarithms of ratios.
type mean struct{ sum, samples float64 }

// decayed returns the mean with the weight that its samples have at a later time.
func (m mean) decayed(now, since time.Time, halfLife time.Duration) mean {
	elapsed := now.Sub(since)
	if m.samples == 0 || elapsed <= 0 {
		return m
	}
	weight := math.Exp2(-float64(elapsed) / float64(halfLife))
	return mean{m.sum * weight, m.samples * weight}
}

// add adds samples of the given value. Beyond limit samples, the earlier ones lose weight.
func (m *mean) add(samples, value, limit float64) {
	if total := m.samples + samples; total > limit {
		keep := max(0, limit-samples) / m.samples
		m.sum, m.samples = m.sum*keep, m.samples*keep
		samples = min(samples, limit)
	}
	m.samples += samples
	m.sum += samples * value
}

// estimate returns the mean relative to offset, shrunk towards zero by a number of assumed samples.
func (m mean) estimate(prior, offset float64) float64 {
	return (m.sum - offset*m.samples) / (m.samples + prior)
}

// groupMean is the mean of the lasting paces of the endpoints of a group, each weighted by how many
// samples support it. It is subtracted from all of them: otherwise a common error of the predictions would
// be learned as the pace of every endpoint, and the predictions would not be corrected.
type groupMean struct {
	members         int
	confidence, sum float64
}

// mean returns the mean, shrunk towards zero as if one more endpoint were at the usual pace; zero if g is
// nil.
func (g *groupMean) mean() float64 {
	if g == nil {
		return 0
	}
	return g.sum / (g.confidence + 1)
}

// updateGroup replaces the contribution of the endpoint to its group.
func (e *endpointPace) updateGroup() {
	if e.group == nil {
		return
	}
	e.group.confidence -= e.confidence
	e.group.sum -= e.sum
	e.confidence = e.lasting.samples / (e.lasting.samples + priorSamples)
	e.sum = e.lasting.estimate(priorSamples, 0)
	e.group.confidence += e.confidence
	e.group.sum += e.sum
}

// leaveGroup removes an endpoint from its group, and a group without endpoints.
func (t *Tracker) leaveGroup(e *endpointPace) {
	if e.group == nil {
		return
	}
	e.group.confidence -= e.confidence
	e.group.sum -= e.sum
	if e.group.members--; e.group.members == 0 {
		delete(t.groups, e.groupID)
	}
	e.confidence, e.sum, e.groupID, e.group = 0, 0, 0, nil
}

var (
	observations = metrics.NewCounter("springweir_pace_observations_total")
	received     = metrics.NewCounter("springweir_pace_received_total")
	dropped      = metrics.NewCounter("springweir_pace_dropped_total")
)
