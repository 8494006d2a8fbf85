package placement

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
)

// rendezvousKey returns a hash that requests with the same shared parts have in common: that of the
// second to last part, because the last part is usually unique to the request. A prompt of one part
// has the hash of that part, and a request without parts has the hash of its ID.
func (d *decision) rendezvousKey(chunks []chunk) uint32 {
	switch n := len(chunks); n {
	case 0:
		return loadshare.Hash(d.req.ID)
	case 1:
		return chunks[0].id
	default:
		return chunks[n-2].id
	}
}

// enginesWithRole returns the engines of a role, sorted by ID. It omits engines that refused recently
// and those in an unreachable zone, unless no others are left. The caller must not change the slice.
func (d *decision) enginesWithRole(role engine.Role) []*directory.Endpoint {
	prefills := role == engine.Prefill
	if d.withRole == nil {
		d.withRole = map[bool][]*directory.Endpoint{}
	}
	list, known := d.withRole[prefills]
	if !known {
		list = d.selectRole(prefills)
		d.withRole[prefills] = list
	}
	return list
}

// selectRole returns the engines that only prefill, or the others, as enginesWithRole does.
func (d *decision) selectRole(prefills bool) []*directory.Endpoint {
	paused, anyUnreachable := d.p.loads.paused(d.now), d.p.zones.anyUnreachable(d.now)
	all := make([]*directory.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		if (e.Role == engine.Prefill) == prefills {
			all = append(all, e)
		}
	}
	if len(paused) == 0 && !anyUnreachable {
		return all
	}
	var preferred []*directory.Endpoint
	for _, e := range all {
		if paused.get(e) == nil && (e.Zone == d.p.zone || !d.p.zones.unreachable(d.now, e.Zone)) {
			preferred = append(preferred, e)
		}
	}
	if len(preferred) == 0 {
		return all
	}
	return preferred
}

// inZone returns the engines of an availability zone in a new slice.
func inZone(engines []*directory.Endpoint, zone string) []*directory.Endpoint {
	var list []*directory.Endpoint
	for _, e := range engines {
		if e.Zone == zone {
			list = append(list, e)
		}
	}
	return list
}

// reportIntervalPerChoice is the interval of peer reports that costs one candidate. In a burst a
// prefill engine gets a prompt every 20 ms: older reports say little about its load, and VMs that
// compare engines by them all choose the same ones. In TestReplayBurstWithDelayedReports, one
// candidate served 0.90 and 0.98 of the two halves of the burst in time, three candidates 0.73 and
// 0.88. With reports every 10 ms, three candidates served 0.02 more than one.
const reportIntervalPerChoice = 30 * time.Millisecond

// numChoices returns the number of engines to compare: Tuning.Choices if peer reports are frequent,
// fewer as the interval between them grows, at least one.
func (d *decision) numChoices() int {
	limit := d.p.tuning.Choices
	interval := d.p.loads.reportInterval
	if interval <= 0 {
		return limit
	}
	return min(limit, 1+int(reportIntervalPerChoice/interval))
}

// sample returns a random subset of the engines and the rate-limited ones among the others. If every
// VM searched for the least loaded engine of all, VMs that decide at the same time would choose the
// same one.
func (d *decision) sample(engines []*directory.Endpoint) []*directory.Endpoint {
	return d.sampleOf(engines, d.numChoices())
}

// sampleOf returns n random engines and the rate-limited ones among the others.
func (d *decision) sampleOf(engines []*directory.Endpoint, n int) []*directory.Endpoint {
	engines = slices.Clone(engines)
	n = min(len(engines), n)
	for i := range n {
		j := i + d.p.random.IntN(len(engines)-i)
		engines[i], engines[j] = engines[j], engines[i]
	}
	return d.withRateLimited(engines[:n], engines[n:])
}

const (
	// collectedReportAge is the mean age of the work that a collector reports when it arrives: half an interval of
	// a member, one of its collector and one of another collector, and the network between them.
	collectedReportAge = 35 * time.Millisecond
	// maxUnseenWork is the most work that the best of the compared engines may expect from placements that no
	// report contains yet, as a fraction of the time within which the first event must come.
	maxUnseenWork = 0.25
)

// reportAge returns how old the reported work of other VMs is on average.
func (t *loadTracker) reportAge() time.Duration {
	if t.collected {
		return collectedReportAge + t.reportInterval/2
	}
	return t.reportInterval
}

// numUnseenChoices returns how many of the engines may be compared without too many VMs choosing the same one. Busy
// engines receive as much work as they do, so the work that VMs place while a report is on its way is the number of
// busy engines times the age of reports. An engine that is the best of n random ones of all gets n times the average.
// A burst of long prompts at 89 VMs otherwise sent twelve of them to one idle engine within 30 ms.
func (d *decision) numUnseenChoices(engines []*directory.Endpoint) int {
	busy := 0
	for _, e := range engines {
		if d.p.loads.inFlight(d.p.loads.get(e)).prefill.tokens > 0 {
			busy++
		}
	}
	unseen := float64(busy) * float64(d.p.loads.reportAge())
	tolerated := float64(len(engines)) * maxUnseenWork * float64(d.latencyBudget())
	if unseen <= 0 || tolerated >= unseen*float64(len(engines)) {
		return len(engines)
	}
	return max(1, int(tolerated/unseen))
}

// linkWait returns how long the VM's uplink is busy with requests that were placed before.
func (d *decision) linkWait() time.Duration { return d.p.uplink.wait(d.now) }

// pauseLeft returns how long an endpoint that refused remains paused.
func (d *decision) pauseLeft(e *endpointLoad) time.Duration { return max(0, e.pausedUntil.Sub(d.now)) }
