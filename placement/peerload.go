package placement

import (
	"maps"
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// source identifies what one report covers: a segment of the work of a VM, or of the sum of a zone
// or the region. A sum has the same source whichever VM collected it.
type source struct {
	vm, zone string
	region   bool
	segment  uint32
}

func sourceOf(load *sharepb.Load) source {
	switch {
	case load.RegionSum:
		return source{region: true, segment: load.Segment}
	case load.ZoneSum:
		return source{zone: load.Zone, segment: load.Segment}
	}
	return source{vm: load.Vm, segment: load.Segment}
}

// peerLoad is the last report of a source.
type peerLoad struct {
	work       []*sharepb.Work
	refusing   []uint32
	receivedAt time.Time
}

// receive records the work that a peer reported.
func (t *loadTracker) receive(now time.Time, load *sharepb.Load) {
	if !load.NoWork {
		t.replace(now, sourceOf(load), load)
	}
}

// replace replaces the previous report of a source, and drops segments that the source no longer
// uses: their endpoints are now in other segments.
func (t *loadTracker) replace(now time.Time, from source, load *sharepb.Load) {
	if last, ok := t.peers[from]; ok {
		t.reportInterval += (now.Sub(last.receivedAt) - t.reportInterval) / reportIntervalSamples
	}
	t.collected = from.region
	t.dropOverlapping(from.region)
	t.subtract(from)
	t.peers[from] = peerLoad{work: load.Work, refusing: load.Refusing, receivedAt: now}
	unused := from
	for unused.segment = load.Segments; unused.segment > 0; unused.segment++ {
		if _, ok := t.peers[unused]; !ok {
			break
		}
		t.subtract(unused)
	}
	for _, id := range load.Changing {
		t.changing[id] = now.Add(roleChangeTTL)
	}
	for _, hash := range load.Refusing {
		if e := t.byHash[hash]; e != nil {
			e.refusals = max(e.refusals, peerRefusals)
			t.refused[e] = true
		}
	}
	for _, w := range load.Work {
		sum := t.peerWork[w.Endpoint]
		sum.add(workFromProto(w))
		t.peerWork[w.Endpoint] = sum
	}
}

// dropOverlapping drops the sum of the region when a narrower report arrives, and narrower reports
// when the sum arrives. A VM receives one kind until its collector is replaced; keeping both would
// count work twice.
func (t *loadTracker) dropOverlapping(region bool) {
	for from := range t.peers {
		if from.region != region {
			t.subtract(from)
		}
	}
}

// reportIntervalSamples is the number of reports in the moving average of their interval: those of
// about 50 ms in a large region.
const reportIntervalSamples = 16

// subtract removes the last report of a source.
func (t *loadTracker) subtract(from source) {
	for _, w := range t.peers[from].work {
		sum := t.peerWork[w.Endpoint]
		sum.sub(workFromProto(w))
		if sum == (work{}) {
			delete(t.peerWork, w.Endpoint)
		} else {
			t.peerWork[w.Endpoint] = sum
		}
	}
	delete(t.peers, from)
}

// expire drops role changes and peer reports whose TTL has passed.
func (t *loadTracker) expire(now time.Time) {
	maps.DeleteFunc(t.changing, func(_ uint32, until time.Time) bool { return !now.Before(until) })
	for from, p := range t.peers {
		if now.Sub(p.receivedAt) > loadshare.TTL {
			t.subtract(from)
		}
	}
}

// oldestReportAge returns the age of the oldest report of a peer.
func (t *loadTracker) oldestReportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range t.peers {
		oldest = max(oldest, now.Sub(p.receivedAt))
	}
	return oldest
}
