package loadshare

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// announcementSends is how often an announcement is sent to each VM, in consecutive rounds.
	// Unlike work, it is not repeated by later reports. Links lose a few percent of the datagrams
	// at worst; three losses in a row leave one VM in 30,000 without the announcement.
	announcementSends = 3
	// maxDatagramsPerRound bounds the datagrams with announcements that a VM sends to each other in
	// one round: 11 kB, which take 5 ms on a link of 20 Mbit/s. The rest is sent in later rounds.
	maxDatagramsPerRound = 8
	// maxPendingAnnouncements bounds the queued announcements; the oldest are dropped. An engine
	// that crashes with all its requests causes two or three.
	maxPendingAnnouncements = 256
	// seenRetention is how long a collector remembers the announcements that it has forwarded, so
	// that each is forwarded once. It is several times the propagation delay.
	seenRetention = 10 * time.Second
)

// Announcement is information that is sent once to every VM of the region. In a large region the
// collectors forward it to each other and to their zones.
type Announcement struct {
	// Crashes lists endpoints that crashed while processing requests.
	Crashes []*sharepb.Crash
	// Cleared lists the keys of requests that are no longer suspected of causing a crash.
	Cleared [][]byte
	// Signals lists the states that endpoints reported.
	Signals []*sharepb.EndpointSignal
	// Copies lists runs in progress of requests that may have crashed an endpoint.
	Copies []*sharepb.Copy
	// Answered lists parts of prompts that are no longer suspected of causing a crash.
	Answered []*sharepb.AnsweredParts
	// Recurred lists the IDs of crashes of which a suspect has come again.
	Recurred []uint64
}

// empty reports whether the announcement has no content.
func (a Announcement) empty() bool {
	return len(a.Crashes) == 0 && len(a.Cleared) == 0 && len(a.Signals) == 0 && len(a.Copies) == 0 && len(a.Answered) == 0 && len(a.Recurred) == 0
}

// outbox queues the announcements to send. It is part of an Exchange and guarded by the Exchange's
// mu.
type outbox struct {
	items []outboxItem
	// seen holds the hashes of the announcements that were sent or forwarded, and when.
	seen map[uint64]time.Time
}

// outboxItem is an announcement in the form of a datagram, and how often it is still to be sent.
type outboxItem struct {
	load      *sharepb.Load
	sendsLeft int
}

func newOutbox() outbox { return outbox{seen: map[uint64]time.Time{}} }

// add queues the parts of an announcement separately, except for those seen before.
func (o *outbox) add(now time.Time, a Announcement) {
	for key, at := range o.seen {
		if now.Sub(at) > seenRetention {
			delete(o.seen, key)
		}
	}
	for _, c := range a.Crashes {
		o.enqueue(now, &sharepb.Load{Crashes: []*sharepb.Crash{c}})
	}
	if len(a.Cleared) > 0 {
		o.enqueue(now, &sharepb.Load{Cleared: a.Cleared})
	}
	for _, s := range a.Signals {
		o.enqueue(now, &sharepb.Load{Signals: []*sharepb.EndpointSignal{s}})
	}
	for _, c := range a.Copies {
		o.enqueue(now, &sharepb.Load{Copies: []*sharepb.Copy{c}})
	}
	for _, answered := range a.Answered {
		o.enqueue(now, &sharepb.Load{Answered: []*sharepb.AnsweredParts{answered}})
	}
	for _, crash := range a.Recurred {
		o.enqueue(now, &sharepb.Load{Recurred: []uint64{crash}})
	}
}

func (o *outbox) enqueue(now time.Time, load *sharepb.Load) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(load)
	if err != nil {
		malformed.Inc()
		return
	}
	key := xxhash.Sum64(data)
	if _, duplicate := o.seen[key]; duplicate {
		return
	}
	o.seen[key] = now
	o.items = append(o.items, outboxItem{load: load, sendsLeft: announcementSends})
	o.items = o.items[max(0, len(o.items)-maxPendingAnnouncements):]
}

// round returns the datagrams of this round and counts them as sent.
func (o *outbox) round() []*sharepb.Load {
	var list []*sharepb.Load
	size := maxDatagram
	var rest []outboxItem
	for i, item := range o.items {
		n := proto.Size(item.load)
		if size+n > maxDatagram {
			if len(list) == maxDatagramsPerRound {
				rest = append(rest, o.items[i:]...)
				break
			}
			list, size = append(list, &sharepb.Load{NoWork: true}), loadOverhead
		}
		last := list[len(list)-1]
		last.Crashes = append(last.Crashes, item.load.Crashes...)
		last.Cleared = append(last.Cleared, item.load.Cleared...)
		last.Signals = append(last.Signals, item.load.Signals...)
		last.Copies = append(last.Copies, item.load.Copies...)
		last.Answered = append(last.Answered, item.load.Answered...)
		last.Recurred = append(last.Recurred, item.load.Recurred...)
		size += n
		if item.sendsLeft--; item.sendsLeft > 0 {
			rest = append(rest, item)
		}
	}
	o.items = rest
	return list
}

// loadOverhead is an upper bound, in bytes, on the size of a datagram without work, prompts and
// announcements.
const loadOverhead = 120

// Broadcast sends an announcement to all other VMs of the region.
func (x *Exchange) Broadcast(a Announcement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outbox.add(clock.Now(), a)
}

// sendAnnouncements sends one round of announcements.
func (x *Exchange) sendAnnouncements(conn *net.UDPConn) {
	x.mu.Lock()
	loads := x.outbox.round()
	var to []Peer
	if len(loads) > 0 {
		to = x.region.announcementPeers(clock.Now())
	}
	for _, load := range loads {
		x.setSender(load)
	}
	x.mu.Unlock()
	for _, load := range loads {
		x.sendLoad(conn, load, to)
	}
}

// announcementPeers returns the recipients of announcements: all peers in a small region, and in a
// large one the collector, which forwards them to the other collectors and to its zone.
func (r *region) announcementPeers(now time.Time) []Peer {
	switch {
	case !r.usesCollectors():
		return r.peers
	case !r.isCollector(now):
		return []Peer{r.collector(r.self.Zone, now)}
	}
	return append(r.otherCollectors(now), r.zonePeers()...)
}

// handleAnnouncements processes the announcements of a datagram, and queues them for forwarding if
// this VM is a collector.
func (x *Exchange) handleAnnouncements(load *sharepb.Load) {
	a := Announcement{Crashes: load.Crashes, Cleared: load.Cleared, Signals: load.Signals, Copies: load.Copies, Answered: load.Answered, Recurred: load.Recurred}
	if a.empty() || x.cfg.OnAnnouncement == nil {
		return
	}
	now := clock.Now()
	x.mu.Lock()
	if x.region.isCollector(now) {
		x.outbox.add(now, a)
	}
	x.mu.Unlock()
	x.cfg.OnAnnouncement(a)
}
