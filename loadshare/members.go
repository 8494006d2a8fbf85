package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// TTL is how long what a VM told is counted without news of it: a few datagrams may
// be lost, and a VM that died must not look busy for long.
const TTL = 700 * time.Millisecond

// maxPlaced bounds the prompts that wait to be told; the oldest are dropped.
const maxPlaced = 512

// memberLoads are the loads of a zone's VMs, or those of the other zones, as a collector
// adds them up.
type memberLoads struct {
	loads  map[memberSegment]memberLoad
	placed []*sharepb.Placed
}

// memberSegment is one part of a VM's work, or of a zone's.
type memberSegment struct {
	name    string
	segment uint32
}

// nameOf is whose work a load tells: that of a zone, whichever VM collected it, or of a VM.
func nameOf(load *sharepb.Load) string {
	if load.ZoneSum {
		return load.Zone
	}
	return load.Vm
}

type memberLoad struct {
	load *sharepb.Load
	at   time.Time
}

func newMemberLoads() memberLoads { return memberLoads{loads: map[memberSegment]memberLoad{}} }

// take notes a load. A VM that is leaving takes nothing new, and what it still
// does ends soon.
func (m *memberLoads) take(now time.Time, load *sharepb.Load) {
	m.placed = append(m.placed, load.Placed...)
	m.placed = m.placed[max(0, len(m.placed)-maxPlaced):]
	if load.NoWork {
		return
	}
	key := memberSegment{nameOf(load), load.Segment}
	if load.Leaving {
		delete(m.loads, key)
		return
	}
	m.loads[key] = memberLoad{load: load, at: now}
	for key.segment = load.Segments; key.segment > 0 && m.loads[key].load != nil; key.segment++ {
		delete(m.loads, key)
	}
}

// sum returns the work of all VMs of the zone, with the collector's own, and what
// was placed since the last call. It forgets VMs that have fallen silent.
func (m *memberLoads) sum(now time.Time, own Report) Report {
	total := totals{}
	total.add(own.Work)
	changing, refusing := slices.Clone(own.Changing), slices.Clone(own.Refusing)
	for key, l := range m.loads {
		if now.Sub(l.at) > TTL {
			delete(m.loads, key)
			continue
		}
		total.add(l.load.Work)
		changing = append(changing, l.load.Changing...)
		refusing = append(refusing, l.load.Refusing...)
	}
	slices.Sort(changing)
	slices.Sort(refusing)
	placed := append(m.placed, own.Placed...)
	m.placed = nil
	return Report{Work: total.list(), Placed: placed, Changing: slices.Compact(changing), Refusing: slices.Compact(refusing)}
}

// without returns a report less the work of one of the VMs, which knows its own better.
func (m *memberLoads) without(all Report, vm string) Report {
	theirs := totals{}
	for key, l := range m.loads {
		if key.name == vm {
			theirs.add(l.load.Work)
		}
	}
	rest := make([]*sharepb.Work, 0, len(all.Work))
	for _, w := range all.Work {
		if t := theirs[w.Endpoint]; t != nil {
			w = less(w, t)
		}
		if !idle(w) {
			rest = append(rest, w)
		}
	}
	all.Work = rest
	return all
}

// plus returns two reports as one.
func (r Report) plus(o Report) Report {
	sum := totals{}
	sum.add(r.Work)
	sum.add(o.Work)
	return Report{
		Work: sum.list(), Placed: slices.Concat(r.Placed, o.Placed),
		Changing: slices.Concat(r.Changing, o.Changing), Refusing: slices.Concat(r.Refusing, o.Refusing),
	}
}

// less returns work without a part of it.
func less(w, part *sharepb.Work) *sharepb.Work {
	return &sharepb.Work{
		Endpoint:         w.Endpoint,
		PrefillTokens:    w.PrefillTokens - part.PrefillTokens,
		PrefillMegaPairs: w.PrefillMegaPairs - part.PrefillMegaPairs,
		Runs:             w.Runs - part.Runs,
		KvTokens:         w.KvTokens - part.KvTokens,
	}
}

func idle(w *sharepb.Work) bool {
	return w.PrefillTokens == 0 && w.PrefillMegaPairs == 0 && w.Runs == 0 && w.KvTokens == 0
}

// totals adds up work by endpoint.
type totals map[uint32]*sharepb.Work

func (t totals) add(list []*sharepb.Work) {
	for _, w := range list {
		sum := t.of(w.Endpoint)
		sum.PrefillTokens += w.PrefillTokens
		sum.PrefillMegaPairs += w.PrefillMegaPairs
		sum.Runs += w.Runs
		sum.KvTokens += w.KvTokens
	}
}

func (t totals) of(endpoint uint32) *sharepb.Work {
	sum := t[endpoint]
	if sum == nil {
		sum = &sharepb.Work{Endpoint: endpoint}
		t[endpoint] = sum
	}
	return sum
}

// list returns the endpoints that have work, in a fixed order.
func (t totals) list() []*sharepb.Work {
	list := make([]*sharepb.Work, 0, len(t))
	for _, endpoint := range slices.Sorted(maps.Keys(t)) {
		if w := t[endpoint]; !idle(w) {
			list = append(list, w)
		}
	}
	return list
}
