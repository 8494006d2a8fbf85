package loadshare

import (
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// streamSends is how often a stream record is sent, in consecutive rounds. Links that lose a few
	// percent of the datagrams then lose one record in a thousand.
	streamSends = 2
	// maxStreamsPerRound bounds the records of one round, of 8 bytes each. All open streams are queued
	// when a second software version appears.
	maxStreamsPerRound = 100
	// maxPendingStreams bounds the queued records; the oldest are dropped.
	maxPendingStreams = 1 << 15
	// firstKeepers is the number of VMs of a small region that are sent a new record at once. Any of them is
	// asked for it if this VM ends before its next round.
	firstKeepers = 2
)

var streamsDropped = metrics.NewCounter("springweir_loadshare_streams_dropped_total")

// StreamRecord states which software began a stream. Both are hashes.
type StreamRecord struct {
	Stream   uint64
	Software uint32
}

// streamOutbox queues the stream records to send. It is part of an Exchange and guarded by the
// Exchange's mu.
type streamOutbox struct {
	items []pendingStream
	// first holds new records that firstKeepers VMs are sent before the next round.
	first []StreamRecord
}

// pendingStream is a record and how often it is still to be sent.
type pendingStream struct {
	record    StreamRecord
	sendsLeft int
}

func (o *streamOutbox) add(records ...StreamRecord) {
	for _, r := range records {
		o.items = append(o.items, pendingStream{r, streamSends})
	}
	if excess := len(o.items) - maxPendingStreams; excess > 0 {
		streamsDropped.Add(excess)
		o.items = slices.Clone(o.items[excess:])
	}
}

// round returns the records of this round and counts them as sent.
func (o *streamOutbox) round() []StreamRecord {
	n := min(len(o.items), maxStreamsPerRound)
	records := make([]StreamRecord, 0, n)
	again := make([]pendingStream, 0, n)
	for _, item := range o.items[:n] {
		records = append(records, item.record)
		if item.sendsLeft--; item.sendsLeft > 0 {
			again = append(again, item)
		}
	}
	o.items = append(again, o.items[n:]...)
	return records
}

// takeFirst returns the records that are to be sent before the next round.
func (o *streamOutbox) takeFirst() []StreamRecord {
	records := o.first
	o.first = nil
	return records
}

// PublishStreams sends records to the VMs that keep them: all others in a small region, two of them at once, and
// in a large one the collector of the zone and that of another zone. Without other VMs it drops them.
func (x *Exchange) PublishStreams(records ...StreamRecord) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.region.peers) == 0 {
		return
	}
	x.streams.add(records...)
	if x.region.usesCollectors() || len(x.streams.first)+len(records) > maxStreamsPerRound {
		return
	}
	x.streams.first = append(x.streams.first, records...)
	select {
	case x.newStreams <- struct{}{}:
	default: // a wake-up is pending
	}
}

// sendFirstStreams sends new records to firstKeepers other VMs.
func (x *Exchange) sendFirstStreams(conn *net.UDPConn) {
	keepers, _ := x.StreamKeepers()
	x.mu.Lock()
	records := x.streams.takeFirst()
	if len(records) == 0 || len(keepers) == 0 {
		x.mu.Unlock()
		return
	}
	load := &sharepb.Load{NoWork: true, Streams: packStreams(records)}
	x.setSender(load)
	x.mu.Unlock()
	first := int(records[0].Stream % uint64(len(keepers)))
	x.sendLoad(conn, load, slices.Concat(keepers[first:], keepers[:first])[:min(firstKeepers, len(keepers))])
}

// StreamKeepers returns the other VMs that may hold a stream record and are presumed alive: those of a small
// region, and the collectors of a large one, or the second keeper of its only zone. The number of others
// includes those that are not.
func (x *Exchange) StreamKeepers() (alive []Peer, others int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Now()
	list := slices.DeleteFunc(x.region.streamKeepers(now), func(p Peer) bool { return p.Name == x.cfg.VM })
	others = len(list)
	return slices.DeleteFunc(list, func(p Peer) bool { return !x.region.presumedAlive(p.Name, now) }), others
}

// streamKeepers returns the VMs that may hold a stream record, which may include this one.
func (r *region) streamKeepers(now time.Time) []Peer {
	if !r.usesCollectors() {
		return slices.Clone(r.peers)
	}
	list := append(r.otherCollectors(now), r.collector(r.self.Zone, now))
	if len(list) > 1 || !r.isCollector(now) {
		return list
	}
	if p, ok := r.secondKeeper(now, 0); ok {
		return append(list, p)
	}
	return append(list, r.peers[0]) // this VM may be cut off, and is not the only one
}

// withStreams adds the stream records of this round to the datagrams of this VM's own load, which go to
// all VMs that keep these records or forward them.
func (x *Exchange) withStreams(loads []*sharepb.Load) []*sharepb.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	streams := packStreams(x.streams.round())
	if len(streams) == 0 {
		return loads
	}
	last := loads[len(loads)-1]
	if proto.Size(last)+proto.Size(&sharepb.Load{Streams: streams}) > maxDatagram {
		last = &sharepb.Load{NoWork: true}
		x.setSender(last)
		loads = append(loads, last)
	}
	last.Streams = streams
	return loads
}

// sendStreams sends the stream records of a collector's zone to the second VM that keeps each of them.
func (x *Exchange) sendStreams(conn *net.UDPConn) {
	now := clock.Now()
	x.mu.Lock()
	if !x.region.isCollector(now) {
		x.mu.Unlock()
		return
	}
	byPeer := map[Peer][]StreamRecord{}
	for _, r := range x.streams.round() {
		if peer, ok := x.region.secondKeeper(now, r.Stream); ok {
			byPeer[peer] = append(byPeer[peer], r)
		}
	}
	loads := map[Peer]*sharepb.Load{}
	for peer, records := range byPeer {
		loads[peer] = &sharepb.Load{NoWork: true, Streams: packStreams(records)}
		x.setSender(loads[peer])
	}
	x.mu.Unlock()
	for peer, load := range loads {
		x.sendLoad(conn, load, []Peer{peer})
	}
}

// secondKeeper returns the VM that keeps a stream record beside the collector of the local zone: the
// collector of another zone, or in a single zone the VM after the collector.
func (r *region) secondKeeper(now time.Time, stream uint64) (Peer, bool) {
	best := Member{}
	for zone := range r.zones {
		if m := (Member{Name: zone}); zone != r.self.Zone && (best.Name == "" || m.PrecedesFor(stream, best)) {
			best = m
		}
	}
	if best.Name != "" {
		return r.collector(best.Name, now), true
	}
	for _, p := range r.zones[r.self.Zone] {
		if p.Name != r.self.Name && r.presumedAlive(p.Name, now) {
			return p, true
		}
	}
	return Peer{}, false
}

// packStreams groups records by software.
func packStreams(records []StreamRecord) []*sharepb.Streams {
	bySoftware := map[uint32]*sharepb.Streams{}
	var list []*sharepb.Streams
	for _, r := range records {
		s := bySoftware[r.Software]
		if s == nil {
			s = &sharepb.Streams{Software: r.Software}
			bySoftware[r.Software] = s
			list = append(list, s)
		}
		s.Stream = append(s.Stream, r.Stream)
	}
	return list
}

// handleStreams processes the stream records of a datagram, and queues them for the second VM that keeps
// them if this VM is the collector of their zone.
func (x *Exchange) handleStreams(load *sharepb.Load) {
	if len(load.Streams) == 0 || x.cfg.OnStreams == nil {
		return
	}
	var records []StreamRecord
	for _, s := range load.Streams {
		for _, stream := range s.Stream {
			records = append(records, StreamRecord{Stream: stream, Software: s.Software})
		}
	}
	x.mu.Lock()
	if load.Zone == x.cfg.Zone && x.region.isCollector(clock.Now()) {
		x.streams.add(records...)
	}
	x.mu.Unlock()
	x.cfg.OnStreams(records)
}
