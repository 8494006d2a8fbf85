package loadshare

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// maxDatagram is the maximum size of a datagram in bytes. It fits into a usual Ethernet frame.
const maxDatagram = 1400

// maxWorkEntries is the maximum number of endpoints whose work one datagram contains: about 800
// bytes, which leaves space for some prompts.
const maxWorkEntries = 50

// datagrams splits a report into datagrams of bounded size. The segment of an endpoint is
// determined by its hash, so that no two segments contain it.
func (x *Exchange) datagrams(r Report, scope loadScope) []*sharepb.Load {
	segments := make([][]*sharepb.Work, max(1, (len(r.Work)+maxWorkEntries-1)/maxWorkEntries))
	for _, w := range r.Work {
		i := w.Endpoint % uint32(len(segments))
		segments[i] = append(segments[i], w)
	}
	var list []*sharepb.Load
	placed := r.Placed
	for i := 0; i < len(segments) || len(placed) > 0; i++ {
		load := x.newLoad(r, scope)
		if i < len(segments) {
			load.Segment, load.Segments, load.Work = uint32(i), uint32(len(segments)), segments[i]
		} else {
			load.NoWork = true
		}
		if i == 0 {
			load.Paces = r.Paces
		}
		load.Placed, placed = fitPlaced(proto.Size(load), placed)
		list = append(list, load)
	}
	return list
}

// fieldOverhead is the maximum size in bytes of a field's tag and length.
const fieldOverhead = 4

// fitPlaced splits off the prompts that fit into a datagram that already has size bytes, but at
// least one.
func fitPlaced(size int, placed []*sharepb.Placed) (fitting, rest []*sharepb.Placed) {
	for n, p := range placed {
		size += proto.Size(p) + fieldOverhead
		if size > maxDatagram && n > 0 {
			return placed[:n], placed[n:]
		}
	}
	return placed, nil
}

// newLoad returns a datagram without work and prompts.
func (x *Exchange) newLoad(r Report, scope loadScope) *sharepb.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	load := &sharepb.Load{Changing: r.Changing, Refusing: r.Refusing, Impaired: someOf(r.Impaired, x.sequence), ZoneSum: scope == scopeZone, RegionSum: scope == scopeRegion}
	load.Silent = x.region.unresponsiveHashes(clock.Now(), scope)
	x.setSender(load)
	return load
}

// maxImpaired bounds the impaired VMs that one datagram lists: 400 bytes. Later datagrams list the
// others.
const maxImpaired = 100

// someOf returns at most maxImpaired elements of a list, from a position that advances with the
// sequence number of the datagram.
func someOf(list []uint32, sequence uint64) []uint32 {
	if len(list) <= maxImpaired {
		return list
	}
	start := int(sequence * maxImpaired % uint64(len(list)))
	return slices.Concat(list[start:], list[:start])[:maxImpaired]
}

// setSender fills in the sender's fields of a datagram, and the next sequence number. The caller
// holds mu.
func (x *Exchange) setSender(load *sharepb.Load) {
	x.sequence++
	load.Vm, load.Zone, load.Address = x.cfg.VM, x.cfg.Zone, x.cfg.Address
	load.Boot, load.Sequence = x.boot, x.sequence
	load.Leaving, load.Strength = x.leaving, uint32(x.cfg.Capacity)
}
