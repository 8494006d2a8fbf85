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
	// newsRounds is how often one piece of news is sent to each VM, a round apart. Unlike
	// work, it is not told again by what comes after it. Links lose some datagrams in a
	// hundred at their worst; three losses in a row leave one VM in 30,000 without it.
	newsRounds = 3
	// newsPerRound bounds the datagrams of news that a VM sends to each other in one round:
	// eleven kilobytes, which a link of 20 Mbit/s takes 5 ms for. What is left waits.
	newsPerRound = 8
	// maxNews bounds the pieces that wait; the oldest are dropped. An engine that crashes
	// with all its requests makes two or three.
	maxNews = 256
	// newsMemory is how long a collector knows what it has passed on, so that news goes
	// round once. Several times as long as it takes to get everywhere.
	newsMemory = 10 * time.Second
)

// Announcement is what every VM of the region must hear, and hears once: in a large region the
// collectors pass it on to each other and to their zones.
type Announcement struct {
	// Crashes are endpoints that crashed under requests.
	Crashes []*sharepb.Crash
	// Cleared are the keys of requests that are no longer suspected of that.
	Cleared [][]byte
	// Signals are what endpoints said of their own state.
	Signals []*sharepb.EndpointSignal
}

// empty tells whether there is nothing.
func (n Announcement) empty() bool {
	return len(n.Crashes) == 0 && len(n.Cleared) == 0 && len(n.Signals) == 0
}

// outbox holds the news that is still to be told. It belongs to an Exchange, whose lock
// guards it.
type outbox struct {
	items []outItem
	// seen are the pieces that were told or passed on, and when.
	seen map[uint64]time.Time
}

// outItem is one piece of news in a datagram's form.
type outItem struct {
	load *sharepb.Load
	left int
}

func newOutbox() outbox { return outbox{seen: map[uint64]time.Time{}} }

// add takes in news, piece by piece, but for what it has had before.
func (o *outbox) add(now time.Time, n Announcement) {
	for key, at := range o.seen {
		if now.Sub(at) > newsMemory {
			delete(o.seen, key)
		}
	}
	for _, c := range n.Crashes {
		o.put(now, &sharepb.Load{Crashes: []*sharepb.Crash{c}})
	}
	if len(n.Cleared) > 0 {
		o.put(now, &sharepb.Load{Cleared: n.Cleared})
	}
	for _, s := range n.Signals {
		o.put(now, &sharepb.Load{Signals: []*sharepb.EndpointSignal{s}})
	}
}

func (o *outbox) put(now time.Time, piece *sharepb.Load) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
	if err != nil {
		malformed.Inc()
		return
	}
	key := xxhash.Sum64(data)
	if _, had := o.seen[key]; had {
		return
	}
	o.seen[key] = now
	o.items = append(o.items, outItem{load: piece, left: newsRounds})
	o.items = o.items[max(0, len(o.items)-maxNews):]
}

// round returns the datagrams of this round, and counts them as told.
func (o *outbox) round() []*sharepb.Load {
	var list []*sharepb.Load
	size := maxDatagram
	var rest []outItem
	for i, item := range o.items {
		n := proto.Size(item.load)
		if size+n > maxDatagram {
			if len(list) == newsPerRound {
				rest = append(rest, o.items[i:]...)
				break
			}
			list, size = append(list, &sharepb.Load{NoWork: true}), loadHead
		}
		last := list[len(list)-1]
		last.Crashes = append(last.Crashes, item.load.Crashes...)
		last.Cleared = append(last.Cleared, item.load.Cleared...)
		last.Signals = append(last.Signals, item.load.Signals...)
		size += n
		if item.left--; item.left > 0 {
			rest = append(rest, item)
		}
	}
	o.items = rest
	return list
}

// loadHead is more than a datagram takes without its work, prompts and news, in bytes.
const loadHead = 120

// Broadcast makes all other VMs hear of something.
func (x *Exchange) Broadcast(n Announcement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.news.add(clock.Now(), n)
}

// tellNews sends one round of news.
func (x *Exchange) tellNews(conn *net.UDPConn) {
	x.mu.Lock()
	loads := x.news.round()
	var to []Peer
	if len(loads) > 0 {
		to = x.region.newsPeers(clock.Now())
	}
	for _, load := range loads {
		x.address(load)
	}
	x.mu.Unlock()
	for _, load := range loads {
		x.sendOne(conn, load, to)
	}
}

// newsPeers are the VMs to tell of news: all of a small region, and in a large one the
// collector, which tells those of the other zones and its own zone.
func (r *region) newsPeers(now time.Time) []Peer {
	switch {
	case !r.collected():
		return r.peers
	case !r.collects(now):
		return []Peer{r.collector(r.self.Zone, now)}
	}
	return append(r.otherCollectors(now), r.zoneMates()...)
}

// takeNews takes in the news of a datagram, and passes it on if that is this VM's part.
func (x *Exchange) takeNews(load *sharepb.Load) {
	n := Announcement{Crashes: load.Crashes, Cleared: load.Cleared, Signals: load.Signals}
	if n.empty() || x.cfg.OnAnnouncement == nil {
		return
	}
	now := clock.Now()
	x.mu.Lock()
	if x.region.collects(now) {
		x.news.add(now, n)
	}
	x.mu.Unlock()
	x.cfg.OnAnnouncement(n)
}
