package loadshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// MaxDemands is the maximum number of demands of one service in a report. The largest are kept:
	// the others are those that a shortage affects least.
	MaxDemands = 32
	// CompletedPriority marks a Demand that states completed instead of requested work. Requests have
	// lower numbers.
	CompletedPriority = 255
	// demandInterval and collectedDemandInterval are the times between two datagrams with demands in a
	// small region and in one with collectors. Demands are averages over about a second, and 32 of them
	// every 200 ms take 3.5 KB/s of the 8 KB/s that a VM of a large region has for all reports.
	demandInterval          = 100 * time.Millisecond
	collectedDemandInterval = 200 * time.Millisecond
	// maxDemandEntries is the number of demands aimed at for one datagram: about 900 bytes.
	maxDemandEntries = 48
)

// demandPacer spaces the datagrams with demands.
type demandPacer struct{ sentAt [scopeRegion + 1]time.Time }

// omitEarly removes the demands from messages of a scope whose demands were sent recently. Receivers
// keep those of an earlier datagram until TTL.
func (p *demandPacer) omitEarly(now time.Time, usesCollectors bool, list []message) {
	interval := demandInterval
	if usesCollectors {
		interval = collectedDemandInterval
	}
	var due [scopeRegion + 1]bool
	for scope := range due {
		due[scope] = now.Sub(p.sentAt[scope]) >= interval
	}
	for i := range list {
		m := &list[i]
		switch {
		case !due[m.scope]:
			m.report.Demands = nil
		case len(m.report.Demands) > 0:
			p.sentAt[m.scope] = now
		}
	}
}

// demandDatagrams returns the datagrams with the demands of a report. They contain no work, and the
// segment of a demand is determined by its key, so that no two segments contain it.
func (x *Exchange) demandDatagrams(demands []*sharepb.Demand, scope loadScope) []*sharepb.Load {
	segments := make([]*sharepb.Load, (len(demands)+maxDemandEntries-1)/maxDemandEntries)
	for i := range segments {
		segments[i] = &sharepb.Load{NoWork: true, Segment: uint32(i), Segments: uint32(len(segments)), ZoneSum: scope == scopeZone, RegionSum: scope == scopeRegion}
	}
	for _, d := range demands {
		load := segments[keyOf(d).segment(len(segments))]
		load.Demands = append(load.Demands, d)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, load := range segments {
		x.setSender(load)
	}
	return segments
}

// demandKey identifies a demand.
type demandKey struct{ service, organisation, priority uint32 }

func keyOf(d *sharepb.Demand) demandKey { return demandKey{d.Service, d.Organisation, d.Priority} }

// segment returns the number of the segment, of n, that contains the demand.
func (k demandKey) segment(n int) int {
	return int((k.service ^ k.organisation ^ k.priority) % uint32(n))
}

// demandTotals holds total demands in thousandths of a slot's time.
type demandTotals map[demandKey]uint32

// addDemands returns the sum of lists of demands.
func addDemands(lists ...[]*sharepb.Demand) demandTotals {
	t := demandTotals{}
	for _, list := range lists {
		for _, d := range list {
			t[keyOf(d)] += d.Milli
		}
	}
	return t
}

// list returns the completed work and the MaxDemands largest demands of each service, sorted by key.
func (t demandTotals) list() []*sharepb.Demand {
	keys := slices.SortedFunc(maps.Keys(t), func(a, b demandKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(completedFirst(a), completedFirst(b)), cmp.Compare(t[b], t[a]), cmp.Compare(a.priority, b.priority), cmp.Compare(a.organisation, b.organisation))
	})
	var list []*sharepb.Demand
	count := 0
	for i, k := range keys {
		if i == 0 || keys[i-1].service != k.service {
			count = 0
		}
		if count++; count > MaxDemands || t[k] == 0 {
			continue
		}
		list = append(list, &sharepb.Demand{Service: k.service, Organisation: k.organisation, Priority: k.priority, Milli: t[k]})
	}
	return list
}

func completedFirst(k demandKey) int {
	if k.priority == CompletedPriority {
		return 0
	}
	return 1
}

// recordDemands stores the demands of a datagram. Datagrams without any leave the earlier ones valid,
// since demands are sent less often than work.
func (a *loadAggregate) recordDemands(now time.Time, load *sharepb.Load) {
	key := segmentKey{sourceOf(load), load.Segment}
	if load.Leaving {
		maps.DeleteFunc(a.demands, func(k segmentKey, _ receivedLoad) bool { return k.source == key.source })
		return
	}
	if len(load.Demands) == 0 {
		return
	}
	a.demands[key] = receivedLoad{load: load, receivedAt: now}
	for key.segment = load.Segments; key.segment > 0 && a.demands[key].load != nil; key.segment++ {
		delete(a.demands, key)
	}
}

// sumDemands returns the demands of all sources and the local ones. It removes sources whose demands
// are older than TTL.
func (a *loadAggregate) sumDemands(now time.Time, local []*sharepb.Demand) []*sharepb.Demand {
	lists := [][]*sharepb.Demand{local}
	for key, l := range a.demands {
		if now.Sub(l.receivedAt) > TTL {
			delete(a.demands, key)
			continue
		}
		lists = append(lists, l.load.Demands)
	}
	return addDemands(lists...).list()
}

// demandsWithout returns demands less those of one VM.
func (a *loadAggregate) demandsWithout(all []*sharepb.Demand, vm string) []*sharepb.Demand {
	rest := addDemands(all)
	for key, l := range a.demands {
		if key.source != vm {
			continue
		}
		for _, d := range l.load.Demands {
			if total, ok := rest[keyOf(d)]; ok {
				rest[keyOf(d)] = total - min(total, d.Milli)
			}
		}
	}
	return rest.list()
}
