// Package loadshare tells the other VMs of a region what work this one has open
// at each endpoint, and learns theirs, by small datagrams many times a second.
// Load reports of endpoints are too old for a choice among engines that a burst
// fills within 100 ms.
//
// Everything in it is a hint: a lost or late datagram makes a choice worse and
// never an answer wrong.
package loadshare

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// minInterval is the time between two datagrams to each peer in a small
	// region. An engine prefills about one prompt in it; at 25 ms, VMs that choose at
	// the same time were further off with their predictions.
	minInterval = 10 * time.Millisecond
	// collectorInterval is the time between two reports of a collector to those of the
	// other zones. Of 10, 20 and 40 ms the shortest served most (docs/design/platform.md).
	collectorInterval = 10 * time.Millisecond
	// memberInterval is the time between two reports to a collector: some 3,000 datagrams
	// a second for one of a zone of 60 VMs.
	memberInterval = 20 * time.Millisecond
	// directDatagrams bounds the datagrams that one VM sends a second in a small region;
	// with many peers or endpoints rounds come more seldom.
	directDatagrams = 2000
	// linkPart is the part of its link that a collector gives to telling its zone. The
	// rest is for its callers, and for datagrams of which several come at once. Its
	// datagrams a second stay between leastDatagrams, so that a zone is not left without
	// news, and mostDatagrams, which take some 0.05 of a core.
	linkPart       = 0.5
	leastDatagrams = 500
	mostDatagrams  = 9000
	// collectedSpread is how long news takes from one VM of a large region to all others:
	// the reports of a member and a collector and a round of another, twice for one that
	// is lost.
	collectedSpread = 300 * time.Millisecond
	// quietInterval is how often a VM without any work gives a sign of life. Three of
	// them fit into TTL.
	quietInterval = 200 * time.Millisecond
)

// Hash names an endpoint or a part of a prompt in datagrams.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Peer is another VM that takes datagrams.
type Peer struct {
	Name, Zone string
	// Capacity orders the VMs of a zone as collectors.
	Capacity int
	Address  netip.AddrPort
}

// Config is what an Exchange works with.
type Config struct {
	VM, Zone string
	// Capacity is what this VM can bear, in units that all VMs share.
	Capacity int
	// LinkBitsPerSecond is what this VM's link carries; zero is no bound.
	LinkBitsPerSecond float64
	// Address is where this VM takes datagrams (host:port).
	Address string
	// LocalReport returns this VM's open work and the prompts placed since the last call.
	LocalReport func() Report
	// OnLoad takes the newest datagram of a peer. That of a collector stands for its
	// whole zone (ZoneSum) or for all zones (RegionSum).
	OnLoad func(*sharepb.Load)
	// OnAnnouncement takes what other VMs tell with Broadcast; each piece may come several times.
	OnAnnouncement func(Announcement)
	// Confirmation returns the newest confirmation of the configuration that is known here, and
	// OnConfirmation takes those of other VMs. Nil tells and takes none.
	Confirmation   func() (version uint64, age time.Duration, known bool)
	OnConfirmation func(freshness.Confirmation)
	// Usage, if set, is told to the keepers, and takes what other VMs tell.
	Usage Usage
}

// Report is what one VM, or the VMs of a zone together, tell the others.
type Report struct {
	// Work is by endpoint, each named once.
	Work []*sharepb.Work
	// Placed are the prompts given to engines since the last report.
	Placed []*sharepb.Placed
	// Changing are the engines that were ordered to change their role.
	Changing []uint32
	// Refusing are the endpoints that keep refusing requests.
	Refusing []uint32
}

// empty tells whether there is nothing to tell.
func (r *Report) empty() bool {
	return len(r.Work) == 0 && len(r.Placed) == 0 && len(r.Changing) == 0 && len(r.Refusing) == 0
}

// Exchange sends and receives. It is safe for concurrent use; mu is a leaf.
type Exchange struct {
	cfg  Config
	boot uint64

	mu       sync.Mutex
	region   region
	newest   map[string]newest
	sequence uint64
	leaving  bool
	news     outbox
	echoes   echoes
	// lastRound is the number of datagrams that the last round took.
	lastRound int
}

// newest is the last datagram taken from a peer.
type newest struct{ boot, sequence uint64 }

// New returns an exchange without peers.
func New(cfg Config) *Exchange {
	self := Peer{Name: cfg.VM, Zone: cfg.Zone, Capacity: cfg.Capacity}
	return &Exchange{cfg: cfg, boot: rand.Uint64(), newest: map[string]newest{}, region: newRegion(self), news: newOutbox(), echoes: newEchoes()}
}

// SetPeers sets whom to tell.
func (x *Exchange) SetPeers(peers []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.region.setPeers(peers)
}

// PropagationDelay is how long news of this VM takes to reach all others, a lost datagram
// included.
func (x *Exchange) PropagationDelay() time.Duration {
	x.mu.Lock()
	collected := x.region.collected()
	x.mu.Unlock()
	if collected {
		return collectedSpread
	}
	return 4 * x.interval()
}

// PrecedingPeers returns the VMs of the own zone that come before this one in the order of
// collectors, from the collector on, at most n. There are none in a small region.
func (x *Exchange) PrecedingPeers(n int) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.before(clock.Now(), n)
}

// PeersOutsideZone returns VMs that may reach the platform where this one's zone does not, at most n: the
// collectors of the other zones, or, in a small region, the strongest others.
func (x *Exchange) PeersOutsideZone(n int) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.elsewhere(clock.Now(), n)
}

// Rank is this VM's place among all VMs of the region: the strongest of each zone come first, then
// the second of each, so that the loss of a zone leaves some of the first.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.rank()
}

// IsCollector tells whether this VM is the collector of its zone.
func (x *Exchange) IsCollector() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.collects(clock.Now())
}

// Leave makes all later datagrams say that this VM is about to stop.
func (x *Exchange) Leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

// Run sends and receives until ctx ends. It fails when the address cannot be
// listened at.
func (x *Exchange) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", x.cfg.Address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go x.receive(conn)
	x.send(ctx, conn)
	return nil
}

// send tells the others, round after round.
func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) {
	var q quiet
	for loop.Sleep(ctx, x.interval()) {
		list := x.messages(&q)
		all, round := 0, 0
		for _, m := range list {
			n := x.tell(conn, m)
			all += n
			if m.of == ofRegion {
				round += n
			}
		}
		x.noteRound(clock.Now(), all, round)
		x.tellNews(conn)
		x.tellUsage(conn)
	}
}

// messages returns what to tell this round: nothing while there is no work, but for
// a first round that tells that it ended, and a sign of life now and then.
func (x *Exchange) messages(q *quiet) []message {
	own := x.cfg.LocalReport()
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.region.messages(clock.Now(), own)
	busy := slices.ContainsFunc(list, func(m message) bool { return !m.report.empty() })
	if !q.tell(clock.Now(), busy) {
		return nil
	}
	return list
}

// tell sends a message and returns how many datagrams that took.
func (x *Exchange) tell(conn *net.UDPConn, m message) int {
	if len(m.to) == 0 {
		return 0
	}
	loads := x.datagrams(m.report, m.of)
	x.confirm(loads[0], m.to)
	for _, load := range loads {
		x.sendOne(conn, load, m.to)
	}
	return len(loads) * len(m.to)
}

// sendOne sends one datagram to each of the peers.
func (x *Exchange) sendOne(conn *net.UDPConn, load *sharepb.Load, to []Peer) {
	data, err := proto.Marshal(load)
	if err != nil {
		klog.ErrorS(err, "loadshare: load cannot be encoded")
		return
	}
	x.write(conn, data, to)
}

// receive takes datagrams until the socket closes.
func (x *Exchange) receive(conn *net.UDPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			receiveFailed.Inc()
			time.Sleep(minInterval) // an error that stays must not spin
			continue
		}
		load := new(sharepb.Load)
		if err := proto.Unmarshal(buf[:n], load); err != nil || load.Vm == "" {
			malformed.Inc()
			continue
		}
		received.Inc()
		x.take(load)
	}
}

// take takes in a datagram.
func (x *Exchange) take(load *sharepb.Load) {
	if !x.fresh(load) {
		return
	}
	x.takeNews(load)
	x.takeConfirmation(load)
	x.takeUsage(load)
	if x.counts(load) {
		x.cfg.OnLoad(load)
	}
}

func (x *Exchange) counts(load *sharepb.Load) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.counts(clock.Now(), load)
}

// write sends one datagram to each of the peers.
func (x *Exchange) write(conn *net.UDPConn, data []byte, peers []Peer) {
	for _, p := range peers {
		if _, err := conn.WriteToUDPAddrPort(data, p.Address); err != nil {
			sendFailed.Inc()
			continue
		}
		sent.Inc()
		sentBytes.Add(len(data))
	}
}

// fresh tells whether a load is newer than the last one of its VM. One of another
// start is always taken: a restart forgets its sequence.
func (x *Exchange) fresh(load *sharepb.Load) bool {
	if load.Vm == x.cfg.VM {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.newest[load.Vm]
	if last.boot == load.Boot && load.Sequence <= last.sequence {
		return false
	}
	x.newest[load.Vm] = newest{boot: load.Boot, sequence: load.Sequence}
	x.region.heard(clock.Now(), load)
	return true
}

var (
	sent          = metrics.NewCounter("springweir_loadshare_sent_total")
	sentBytes     = metrics.NewCounter("springweir_loadshare_sent_bytes_total")
	sendFailed    = metrics.NewCounter("springweir_loadshare_send_failed_total")
	received      = metrics.NewCounter("springweir_loadshare_received_total")
	receiveFailed = metrics.NewCounter("springweir_loadshare_receive_failed_total")
	malformed     = metrics.NewCounter("springweir_loadshare_malformed_total")
)
