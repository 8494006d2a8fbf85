// Package loadshare exchanges load information between the VMs of a region. Each VM sends the work
// that it has in flight at each endpoint to the others, in small datagrams many times a second. The
// load reports of the endpoints are too old for choosing among engines, since a burst fills an
// engine within 100 ms.
//
// All data is advisory: a lost or late datagram makes a routing decision worse but never a response
// wrong.
package loadshare

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// minInterval is the time between two rounds in a small region. An engine prefills about one
	// prompt in this time; at 25 ms, the predictions of VMs that choose concurrently were less
	// accurate.
	minInterval = 10 * time.Millisecond
	// collectorInterval is the time between two reports of a collector to the collectors of the
	// other zones. With 20 and 40 ms fewer requests were served (docs/design/platform.md).
	collectorInterval = 10 * time.Millisecond
	// memberInterval is the time between two reports of a VM to its collector. The collector of a
	// zone of 60 VMs receives about 3,000 datagrams per second.
	memberInterval = 20 * time.Millisecond
	// maxDirectRate bounds the datagrams per second that a VM sends in a small region. With many
	// peers or endpoints, rounds are further apart.
	maxDirectRate = 2000
	// collectorLinkFraction is the fraction of its link that a collector uses to send to its zone.
	// The rest is left for requests and for bursts of datagrams. The resulting rate, in datagrams
	// per second, is at least minCollectorRate, so that the zone keeps receiving updates, and at
	// most maxCollectorRate, which uses about 0.05 of a core.
	collectorLinkFraction = 0.5
	minCollectorRate      = 500
	maxCollectorRate      = 9000
	// collectedPropagationDelay is the time in which information from one VM of a large region
	// reaches all others: a report of a member, a report of its collector and a round of another
	// collector, doubled to allow for one lost datagram.
	collectedPropagationDelay = 300 * time.Millisecond
	// idleInterval is the time between two heartbeats of a VM without work. Three of them fit into
	// TTL.
	idleInterval = 200 * time.Millisecond
)

// Hash returns the hash that identifies an endpoint, a VM or a part of a prompt in datagrams.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Peer is another VM that receives datagrams.
type Peer struct {
	Name, Zone string
	// Capacity determines the order in which the VMs of a zone become collectors, the highest
	// first.
	Capacity int
	Address  netip.AddrPort
}

// Config holds the settings and callbacks of an Exchange.
type Config struct {
	VM, Zone string
	// Capacity is this VM's relative processing capacity, in a unit that all VMs share.
	Capacity int
	// LinkBitsPerSecond is the bandwidth of this VM's network link; zero means unlimited.
	LinkBitsPerSecond float64
	// Address is the address on which this VM receives datagrams (host:port).
	Address string
	// LocalReport returns this VM's work in flight and the prompts placed since the last call.
	LocalReport func() Report
	// OnLoad receives the newest datagram of a peer. A collector's datagram covers its whole zone
	// (ZoneSum) or all zones (RegionSum).
	OnLoad func(*sharepb.Load)
	// OnAnnouncement receives what other VMs pass to Broadcast. It may be called several times for
	// the same announcement.
	OnAnnouncement func(Announcement)
	// OnStreams receives the stream records of other VMs; each may arrive several times. Nil ignores
	// them.
	OnStreams func([]StreamRecord)
	// Confirmation returns the newest confirmation of the configuration that this VM has, and
	// OnConfirmation receives those of other VMs. If they are nil, no confirmations are sent or
	// received.
	Confirmation   func() (version uint64, age time.Duration, known bool)
	OnConfirmation func(freshness.Confirmation)
	// Usage, if set, supplies the account changes to send to the usage replicas, and receives those
	// of other VMs.
	Usage Usage
}

// Report is the load that a VM sends: its own or the total of a zone or of the region.
type Report struct {
	// Work has at most one entry per endpoint.
	Work []*sharepb.Work
	// Placed lists the prompts sent to engines since the last report.
	Placed []*sharepb.Placed
	// Paces lists the durations observed at endpoints since the last report, compared with predicted ones.
	Paces []*sharepb.Pace
	// Changing lists the engines that were ordered to change their role.
	Changing []uint32
	// Refusing lists the endpoints that keep refusing requests.
	Refusing []uint32
	// Impaired lists VMs that do not reach several endpoints, by the hash of
	// their names.
	Impaired []uint32
	// Demands lists the work that organisations request, at most MaxDemands for each service.
	Demands []*sharepb.Demand
}

// empty reports whether the report has no content.
func (r *Report) empty() bool {
	return len(r.Work) == 0 && len(r.Placed) == 0 && len(r.Paces) == 0 && len(r.Changing) == 0 && len(r.Refusing) == 0 && len(r.Impaired) == 0 && len(r.Demands) == 0
}

// Exchange sends this VM's load to its peers and receives theirs. It is safe for concurrent use. No
// other lock is acquired while mu is held.
type Exchange struct {
	cfg   Config
	boot  uint64
	stall stallDetector
	// conn is the socket while the Exchange runs.
	conn atomic.Pointer[net.UDPConn]
	// newStreams wakes the sender if there are stream records that are sent at once.
	newStreams chan struct{}

	mu           sync.Mutex
	region       region
	lastReceived map[string]datagramID
	sequence     uint64
	leaving      bool
	outbox       outbox
	streams      streamOutbox
	echoes       echoes
	demands      demandPacer
	// lastRoundDatagrams is the number of datagrams sent in the last round.
	lastRoundDatagrams int
}

// datagramID identifies a datagram of a peer by the start of its process and the sequence number.
type datagramID struct{ boot, sequence uint64 }

// New returns an Exchange without peers.
func New(cfg Config) *Exchange {
	self := Peer{Name: cfg.VM, Zone: cfg.Zone, Capacity: cfg.Capacity}
	return &Exchange{cfg: cfg, boot: rand.Uint64(), lastReceived: map[string]datagramID{}, region: newRegion(self), outbox: newOutbox(), echoes: newEchoes(),
		newStreams: make(chan struct{}, 1)}
}

// SetPeers replaces the peers.
func (x *Exchange) SetPeers(peers []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.region.setPeers(peers)
}

// PropagationDelay returns the time in which information from this VM reaches all others, allowing
// for one lost datagram.
func (x *Exchange) PropagationDelay() time.Duration {
	x.mu.Lock()
	usesCollectors := x.region.usesCollectors()
	x.mu.Unlock()
	if usesCollectors {
		return collectedPropagationDelay
	}
	return 4 * x.interval()
}

// PrecedingPeers returns at most n VMs of the local zone that precede this one in collector order,
// starting with the current collector. It returns none in a small region.
func (x *Exchange) PrecedingPeers(n int) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.precedingPeers(clock.Now(), n)
}

// PeersOutsideZone returns at most n VMs that may reach the platform when the local zone does not:
// the collectors of the other zones or, in a small region, the responsive peers with the highest
// capacity.
func (x *Exchange) PeersOutsideZone(n int) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.peersOutsideZone(clock.Now(), n)
}

// Rank returns this VM's position among the VMs of the region, without those that are not heard of any more. The first VM of
// each zone by capacity comes first, then the second of each, so that the loss of a zone leaves some of the
// first positions filled.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.rank(clock.Now())
}

// IsCollector reports whether this VM is the collector of its zone.
func (x *Exchange) IsCollector() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.isCollector(clock.Now())
}

// Leave marks all later datagrams as sent by a VM that is about to stop.
func (x *Exchange) Leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

// Run sends and receives datagrams until ctx ends. It returns an error if it cannot listen on the
// configured address.
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
	x.conn.Store(conn)
	go x.receive(conn)
	x.send(ctx, conn)
	return nil
}

// send runs the rounds of datagrams to the peers until ctx ends.
func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) {
	var throttle idleThrottle
	for x.awaitRound(ctx, conn) {
		list := x.messages(&throttle)
		total, toZone := 0, 0
		for _, m := range list {
			n := x.sendMessage(conn, m)
			total += n
			if m.scope == scopeRegion {
				toZone += n
			}
		}
		x.recordRound(clock.Now(), total, toZone)
		x.sendAnnouncements(conn)
		x.sendUsage(conn)
		x.sendStreams(conn)
	}
}

// awaitRound waits for the next round and reports whether ctx has not ended. Meanwhile it sends new stream
// records.
func (x *Exchange) awaitRound(ctx context.Context, conn *net.UDPConn) bool {
	interval := x.interval()
	x.stall.expect(clock.Now(), interval)
	round := time.NewTimer(interval)
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-round.C:
			return ctx.Err() == nil
		case <-x.newStreams:
			x.sendFirstStreams(conn)
		}
	}
}

// messages returns the messages of this round. While there is no work it returns none, except in
// the first round after the work ended and at each heartbeat.
func (x *Exchange) messages(throttle *idleThrottle) []message {
	local := x.cfg.LocalReport()
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.region.messages(clock.Now(), local)
	busy := len(x.streams.items) > 0 || slices.ContainsFunc(list, func(m message) bool { return !m.report.empty() })
	if !throttle.shouldSend(clock.Now(), busy) {
		return nil
	}
	x.demands.omitEarly(clock.Now(), x.region.usesCollectors(), list)
	return list
}

// sendMessage sends a message and returns the number of datagrams sent.
func (x *Exchange) sendMessage(conn *net.UDPConn, m message) int {
	if len(m.to) == 0 {
		return 0
	}
	loads := x.datagrams(m.report, m.scope)
	if m.scope == scopeVM {
		loads = x.withStreams(loads)
	}
	loads = append(loads, x.demandDatagrams(m.report.Demands, m.scope)...)
	x.addConfirmation(loads[0], m.to)
	for _, load := range loads {
		x.sendLoad(conn, load, m.to)
	}
	return len(loads) * len(m.to)
}

// sendLoad encodes a load and sends it to each of the peers.
func (x *Exchange) sendLoad(conn *net.UDPConn, load *sharepb.Load, to []Peer) {
	data, err := proto.Marshal(load)
	if err != nil {
		klog.ErrorS(err, "loadshare: load cannot be encoded")
		return
	}
	x.write(conn, data, to)
}

// receive processes datagrams until the socket is closed.
func (x *Exchange) receive(conn *net.UDPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			receiveFailed.Inc()
			time.Sleep(minInterval) // avoids a busy loop on a persistent error
			continue
		}
		load := new(sharepb.Load)
		if err := proto.Unmarshal(buf[:n], load); err != nil || load.Vm == "" {
			malformed.Inc()
			continue
		}
		received.Inc()
		x.handle(load)
	}
}

// handle processes a received datagram.
func (x *Exchange) handle(load *sharepb.Load) {
	if load.Vm == x.cfg.VM {
		x.handleMarker(load)
		return
	}
	if !x.acceptSequence(load) {
		return
	}
	x.handleAnnouncements(load)
	x.handleConfirmation(load)
	x.handleUsage(load)
	x.handleStreams(load)
	if x.accepts(load) {
		x.cfg.OnLoad(load)
	}
}

func (x *Exchange) accepts(load *sharepb.Load) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.accepts(clock.Now(), load)
}

// write sends an encoded datagram to each of the peers.
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

// acceptSequence records a load and reports whether it is newer than the last one received from its
// VM. A load from another start of the process is always accepted, because the sequence numbers
// restart.
func (x *Exchange) acceptSequence(load *sharepb.Load) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.lastReceived[load.Vm]
	if last.boot == load.Boot && load.Sequence <= last.sequence {
		return false
	}
	x.lastReceived[load.Vm] = datagramID{boot: load.Boot, sequence: load.Sequence}
	x.region.record(clock.Now(), load)
	return true
}

var (
	sent          = metrics.NewCounter("springweir_loadshare_sent_total")
	sentBytes     = metrics.NewCounter("springweir_loadshare_sent_bytes_total")
	sendFailed    = metrics.NewCounter("springweir_loadshare_send_failed_total")
	received      = metrics.NewCounter("springweir_loadshare_received_total")
	receiveFailed = metrics.NewCounter("springweir_loadshare_receive_failed_total")
	malformed     = metrics.NewCounter("springweir_loadshare_malformed_total")
	pacesDropped  = metrics.NewCounter("springweir_loadshare_paces_dropped_total")
)
