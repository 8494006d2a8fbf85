package loadshare

import (
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// maxDatagram bounds one datagram in bytes, below a network's usual frame.
const maxDatagram = 1400

// maxWorks is the number of endpoints whose work one datagram tells: about 800
// bytes, which leaves room for some prompts.
const maxWorks = 50

// datagrams cuts a report so that each datagram stays small. An endpoint always
// stands in the segment of its hash, so that no two segments count it.
func (x *Exchange) datagrams(r Report, of scope) []*sharepb.Load {
	segments := make([][]*sharepb.Work, max(1, (len(r.Work)+maxWorks-1)/maxWorks))
	for _, w := range r.Work {
		i := w.Endpoint % uint32(len(segments))
		segments[i] = append(segments[i], w)
	}
	var list []*sharepb.Load
	placed := r.Placed
	for i := 0; i < len(segments) || len(placed) > 0; i++ {
		load := x.load(r, of)
		if i < len(segments) {
			load.Segment, load.Segments, load.Work = uint32(i), uint32(len(segments)), segments[i]
		} else {
			load.NoWork = true
		}
		load.Placed, placed = fill(proto.Size(load), placed)
		list = append(list, load)
	}
	return list
}

// fieldHead is the most bytes that a field's tag and length take.
const fieldHead = 4

// fill takes prompts as long as they fit into a datagram that has size bytes
// already, and at least one.
func fill(size int, placed []*sharepb.Placed) (taken, rest []*sharepb.Placed) {
	for n, p := range placed {
		size += proto.Size(p) + fieldHead
		if size > maxDatagram && n > 0 {
			return placed[:n], placed[n:]
		}
	}
	return placed, nil
}

// load is a datagram with all but the work and the prompts.
func (x *Exchange) load(r Report, of scope) *sharepb.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	load := &sharepb.Load{Changing: r.Changing, Refusing: r.Refusing, ZoneSum: of == ofZone, RegionSum: of == ofRegion}
	load.Silent = x.region.silentHashes(clock.Now(), of)
	x.address(load)
	return load
}

// address makes this VM the sender of a datagram, which gets the next number. The caller
// holds mu.
func (x *Exchange) address(load *sharepb.Load) {
	x.sequence++
	load.Vm, load.Zone, load.Address = x.cfg.VM, x.cfg.Zone, x.cfg.Address
	load.Boot, load.Sequence = x.boot, x.sequence
	load.Leaving, load.Strength = x.leaving, uint32(x.cfg.Capacity)
}
