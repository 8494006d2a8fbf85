package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// TTL is how long the report of a VM is counted without a newer one. A few datagrams may be lost,
// and a VM that failed must not appear busy for long.
const TTL = 700 * time.Millisecond

// maxPlaced bounds the prompts that wait to be sent; the oldest are dropped.
const maxPlaced = 512

// loadAggregate adds up the loads of the VMs of a zone, or of the other zones, for a collector.
type loadAggregate struct {
	loads  map[segmentKey]receivedLoad
	placed []*sharepb.Placed
	// paces are those received since the last sum, added up by endpoint.
	paces paceQueue
	// demands holds the newest datagrams with demands, which have segments of their own.
	demands map[segmentKey]receivedLoad
}

// segmentKey identifies one segment of the work of a VM or of a zone.
type segmentKey struct {
	source  string
	segment uint32
}

// sourceOf returns whose work a load contains: a zone, whichever VM collected it, or a VM.
func sourceOf(load *sharepb.Load) string {
	if load.ZoneSum {
		return load.Zone
	}
	return load.Vm
}

type receivedLoad struct {
	load       *sharepb.Load
	receivedAt time.Time
}

func newLoadAggregate() loadAggregate {
	return loadAggregate{loads: map[segmentKey]receivedLoad{}, demands: map[segmentKey]receivedLoad{}}
}

// record stores a load. A leaving VM accepts no new requests and its remaining work ends soon, so
// its work is no longer counted.
func (a *loadAggregate) record(now time.Time, load *sharepb.Load) {
	a.placed = append(a.placed, load.Placed...)
	a.placed = a.placed[max(0, len(a.placed)-maxPlaced):]
	a.paces.add(load.Paces)
	a.recordDemands(now, load)
	if load.NoWork {
		return
	}
	key := segmentKey{sourceOf(load), load.Segment}
	if load.Leaving {
		delete(a.loads, key)
		return
	}
	a.loads[key] = receivedLoad{load: load, receivedAt: now}
	for key.segment = load.Segments; key.segment > 0 && a.loads[key].load != nil; key.segment++ {
		delete(a.loads, key)
	}
}

// sum returns the work of all sources and of the local report, and the prompts placed and the paces observed since the
// last call. It removes sources whose load is older than TTL.
func (a *loadAggregate) sum(now time.Time, local Report) Report {
	total := totals{}
	total.add(local.Work)
	changing, refusing, impaired := slices.Clone(local.Changing), slices.Clone(local.Refusing), slices.Clone(local.Impaired)
	for key, l := range a.loads {
		if now.Sub(l.receivedAt) > TTL {
			delete(a.loads, key)
			continue
		}
		total.add(l.load.Work)
		changing = append(changing, l.load.Changing...)
		refusing = append(refusing, l.load.Refusing...)
		impaired = append(impaired, l.load.Impaired...)
	}
	slices.Sort(changing)
	slices.Sort(refusing)
	slices.Sort(impaired)
	placed := append(a.placed, local.Placed...)
	a.placed = nil
	a.paces.add(local.Paces)
	return Report{Work: total.list(), Placed: placed, Paces: a.paces.takeFirst(maxPendingPaces), Changing: slices.Compact(changing), Refusing: slices.Compact(refusing), Impaired: slices.Compact(impaired), Demands: a.sumDemands(now, local.Demands)}
}

// without returns a report less the work of one VM, which has more recent data on its own work.
func (a *loadAggregate) without(all Report, vm string) Report {
	excluded := totals{}
	for key, l := range a.loads {
		if key.source == vm {
			excluded.add(l.load.Work)
		}
	}
	rest := make([]*sharepb.Work, 0, len(all.Work))
	for _, w := range all.Work {
		if t := excluded[w.Endpoint]; t != nil {
			w = subtract(w, t)
		}
		if !isZero(w) {
			rest = append(rest, w)
		}
	}
	all.Work = rest
	all.Demands = a.demandsWithout(all.Demands, vm)
	return all
}

// plus returns the sum of two reports.
func (r Report) plus(o Report) Report {
	sum := totals{}
	sum.add(r.Work)
	sum.add(o.Work)
	return Report{
		Work: sum.list(), Placed: slices.Concat(r.Placed, o.Placed), Paces: slices.Concat(r.Paces, o.Paces),
		Changing: slices.Concat(r.Changing, o.Changing), Refusing: slices.Concat(r.Refusing, o.Refusing),
		Impaired: slices.Concat(r.Impaired, o.Impaired),
		Demands:  addDemands(r.Demands, o.Demands).list(),
	}
}

// subtract returns w less part.
func subtract(w, part *sharepb.Work) *sharepb.Work {
	return &sharepb.Work{
		Endpoint:         w.Endpoint,
		PrefillTokens:    w.PrefillTokens - part.PrefillTokens,
		PrefillMegaPairs: w.PrefillMegaPairs - part.PrefillMegaPairs,
		Runs:             w.Runs - part.Runs,
		KvTokens:         w.KvTokens - part.KvTokens,
		ServiceUs:        w.ServiceUs - part.ServiceUs,
	}
}

func isZero(w *sharepb.Work) bool {
	return w.PrefillTokens == 0 && w.PrefillMegaPairs == 0 && w.Runs == 0 && w.KvTokens == 0 && w.ServiceUs == 0
}

// totals holds the total work by endpoint.
type totals map[uint32]*sharepb.Work

func (t totals) add(list []*sharepb.Work) {
	for _, w := range list {
		sum := t.entry(w.Endpoint)
		sum.PrefillTokens += w.PrefillTokens
		sum.PrefillMegaPairs += w.PrefillMegaPairs
		sum.Runs += w.Runs
		sum.KvTokens += w.KvTokens
		sum.ServiceUs += w.ServiceUs
	}
}

func (t totals) entry(endpoint uint32) *sharepb.Work {
	sum := t[endpoint]
	if sum == nil {
		sum = &sharepb.Work{Endpoint: endpoint}
		t[endpoint] = sum
	}
	return sum
}

// list returns the endpoints that have work, sorted by endpoint.
func (t totals) list() []*sharepb.Work {
	list := make([]*sharepb.Work, 0, len(t))
	for _, endpoint := range slices.Sorted(maps.Keys(t)) {
		if w := t[endpoint]; !isZero(w) {
			list = append(list, w)
		}
	}
	return list
}
