package loadshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// recorder stores the newest loads that a VM receives. Like the receivers in placement, it ignores
// loads that were not repeated within TTL.
type recorder struct {
	mu       sync.Mutex
	received map[string]recordedLoad
	count    int
	local    Report
}

type recordedLoad struct {
	*sharepb.Load
	at time.Time
}

func (r *recorder) record(load *sharepb.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.received == nil {
		r.received = map[string]recordedLoad{}
	}
	from := load.Vm
	switch {
	case load.RegionSum:
		from = "region "
	case load.ZoneSum:
		from = "zone " + load.Zone
	}
	for name, previous := range r.received {
		if previous.RegionSum != load.RegionSum {
			delete(r.received, name) // as placement does: a region sum contains the other loads
		}
	}
	r.received[fmt.Sprint(from, load.Segment)] = recordedLoad{load, time.Now()}
	r.count++
}

// runs returns the total of the runs that all sources report, by endpoint.
func (r *recorder) runs() map[uint32]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[uint32]int{}
	for _, load := range r.received {
		if time.Since(load.at) > TTL {
			continue
		}
		for _, w := range load.Work {
			runs[w.Endpoint] += int(w.Runs)
		}
	}
	return runs
}

func (r *recorder) localReport() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := r.local
	r.local.Placed = nil
	return local
}

// sharedEndpoint is the hash of an endpoint at which every VM has a request.
const sharedEndpoint = 7

// node is an Exchange on the loopback interface.
type node struct {
	*recorder
	x    *Exchange
	peer Peer
	stop func()
}

// nextPort is the next port to try. It is below the range from which the kernel assigns ports to
// connections of other tests, and each port is tried once, so that no address is taken between its
// selection and its use.
var nextPort atomic.Int32

func init() { nextPort.Store(10000 + rand.Int32N(20000)) }

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", nextPort.Add(1))
		c, err := net.ListenPacket("udp4", address)
		if err == nil {
			_ = c.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func startNode(t *testing.T, name, zone string, capacity int) *node {
	t.Helper()
	address := freeAddress(t)
	n := &node{recorder: &recorder{}, peer: Peer{Name: name, Zone: zone, Capacity: capacity, Address: netip.MustParseAddrPort(address)}}
	n.local = Report{Work: []*sharepb.Work{{Endpoint: Hash(name), Runs: 1}, {Endpoint: sharedEndpoint, Runs: 1}}}
	n.x = New(Config{VM: name, Zone: zone, Capacity: capacity, Address: address, LocalReport: n.localReport, OnLoad: n.record})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.x.Run(ctx) }()
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(n.stop)
	return n
}

// connectAll makes all nodes peers of each other.
func connectAll(nodes []*node) {
	for _, n := range nodes {
		var peers []Peer
		for _, o := range nodes {
			if o != n {
				peers = append(peers, o.peer)
			}
		}
		n.x.SetPeers(peers)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

// The load of every VM reaches all others, directly in a small region and through collectors in a
// large one, also after a collector has stopped.
func TestLoadReachesAllVMs(t *testing.T) {
	for _, size := range []int{4, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var nodes []*node
			for i := range size {
				nodes = append(nodes, startNode(t, fmt.Sprintf("vm%02d", i), fmt.Sprint("z", i%3), 100+i%5))
			}
			connectAll(nodes)
			for _, n := range nodes {
				eventually(t, n.peer.Name+" to receive the load of all others once", func() bool {
					runs := n.runs()
					return len(runs) == size && runs[sharedEndpoint] == size-1 && runs[Hash(n.peer.Name)] == 0
				})
			}
			var first *node
			for _, n := range nodes {
				if n.peer.Zone == "z0" && (first == nil || n.peer.Capacity > first.peer.Capacity) {
					first = n
				}
			}
			first.stop() // its last datagrams may still be in flight
			for _, n := range nodes {
				if n != first {
					eventually(t, n.peer.Name+" to receive the load of the others", func() bool {
						runs := n.runs()
						return runs[sharedEndpoint] == size-2 && runs[Hash(first.peer.Name)] == 0
					})
				}
			}
		})
	}
}

func TestStaleDatagramsAreDropped(t *testing.T) {
	recorded := &recorder{}
	x := New(Config{VM: "self", Zone: "a", OnLoad: recorded.record})
	receive := func(boot, sequence uint64) {
		x.handle(&sharepb.Load{Vm: "v", Zone: "a", Boot: boot, Sequence: sequence})
	}
	for _, id := range [][2]uint64{{1, 5}, {1, 4}, {1, 5}, {1, 6}, {2, 1}, {2, 1}, {2, 2}} {
		receive(id[0], id[1])
	}
	if recorded.count != 4 {
		t.Errorf("%d of 7 datagrams were accepted, want 4", recorded.count)
	}
	x.handle(&sharepb.Load{Vm: "self", Boot: 9, Sequence: 9})
	if recorded.count != 4 {
		t.Error("a VM accepted its own datagram")
	}
}

// Datagrams stay within the size limit for any report, and contain each endpoint's work and each
// prompt once.
func TestDatagramSizeIsBounded(t *testing.T) {
	x := New(Config{VM: "self", Zone: "a"})
	for _, endpoints := range []int{0, 20, 50, 51, 400} {
		var r Report
		for i := range endpoints {
			r.Work = append(r.Work, &sharepb.Work{Endpoint: Hash(fmt.Sprint(i)), PrefillTokens: 9000, Runs: 3, KvTokens: 90000})
		}
		for i := range 100 {
			r.Placed = append(r.Placed, &sharepb.Placed{Endpoint: uint32(i), Part: []uint32{1, 2, 3}, Tokens: []uint32{2500, 3500, 3000}})
		}
		placed, workEntries := 0, map[uint32]int{}
		for i, load := range x.datagrams(r, scopeZone) {
			// Up to 100 bytes more, since a datagram contains at least one prompt.
			if size := proto.Size(load); size > maxDatagram+100 {
				t.Errorf("datagram has %d bytes", size)
			}
			if !load.NoWork && load.Segment != uint32(i) || load.NoWork && len(load.Work) > 0 {
				t.Errorf("datagram %d is segment %d with %d endpoints, no work: %v", i, load.Segment, len(load.Work), load.NoWork)
			}
			placed += len(load.Placed)
			for _, w := range load.Work {
				workEntries[w.Endpoint]++
			}
		}
		if placed != 100 || len(workEntries) != endpoints {
			t.Errorf("%d prompts and %d endpoints were sent, want 100 and %d", placed, len(workEntries), endpoints)
		}
		for endpoint, n := range workEntries {
			if n != 1 {
				t.Errorf("endpoint %d is contained %d times", endpoint, n)
			}
		}
	}
}

func TestCollectorSelection(t *testing.T) {
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{Name: fmt.Sprintf("vm%02d", i), Zone: []string{"a", "b"}[i%2], Capacity: 10})
	}
	peers[4].Capacity = 99 // vm04 of zone a
	now := time.Unix(1000, 0)
	names := func(list []Peer) (s []string) {
		for _, p := range list {
			s = append(s, p.Name)
		}
		return s
	}
	member := newRegion(Peer{Name: "self", Zone: "a", Capacity: 1})
	member.setPeers(peers)
	if got := names(member.recipients(now)); len(got) != 1 || got[0] != "vm04" {
		t.Errorf("a VM of low capacity sends to %v, want the VM with the highest capacity of its zone", got)
	}
	// The VM with the highest capacity stays unresponsive, so the next by name replaces it.
	now = now.Add(2 * CollectorTimeout)
	if got := names(member.recipients(now)); len(got) != 1 || got[0] != "vm00" {
		t.Errorf("after the timeout it sends to %v", got)
	}
	member.record(now, &sharepb.Load{Vm: "vm04", Zone: "a"})
	if got := names(member.recipients(now)); got[0] != "vm04" {
		t.Errorf("once the VM with the highest capacity is seen again, it sends to %v", got)
	}
	collector := newRegion(Peer{Name: "self", Zone: "a", Capacity: 100})
	collector.setPeers(peers)
	if got := collector.recipients(now); len(got) != 11 {
		t.Errorf("a collector sends to %v, want its zone and one VM of the other", names(got))
	}
	for _, tc := range []struct {
		name string
		r    *region
		load *sharepb.Load
		want bool
	}{
		{"a VM's load, at the collector", &collector, &sharepb.Load{Vm: "vm02", Zone: "a"}, true},
		{"another zone's sum, at the collector", &collector, &sharepb.Load{Vm: "vm01", Zone: "b", ZoneSum: true}, true},
		{"its own zone's sum, at the collector", &collector, &sharepb.Load{Vm: "vm02", Zone: "a", ZoneSum: true}, false},
		{"a region's sum, at the collector", &collector, &sharepb.Load{Vm: "vm02", Zone: "a", RegionSum: true}, false},
		{"the region's sum, at a member", &member, &sharepb.Load{Vm: "vm04", Zone: "a", RegionSum: true}, true},
		{"another zone's sum of the region, at a member", &member, &sharepb.Load{Vm: "vm01", Zone: "b", RegionSum: true}, false},
		{"another zone's sum, at a member", &member, &sharepb.Load{Vm: "vm01", Zone: "b", ZoneSum: true}, false},
		{"a VM's load, at a member", &member, &sharepb.Load{Vm: "vm02", Zone: "a"}, false},
	} {
		if got := tc.r.accepts(now, tc.load); got != tc.want {
			t.Errorf("%s: accepted is %v", tc.name, got)
		}
	}
}

// recipients returns all recipients of one round.
func (r *region) recipients(now time.Time) []Peer {
	var list []Peer
	for _, m := range r.messages(now, Report{}) {
		list = append(list, m.to...)
	}
	return list
}

// A VM of a small region does not exceed its datagram rate, however much there is to send.
func TestDirectSendRateIsBounded(t *testing.T) {
	x := New(Config{VM: "self", Zone: "a", Capacity: 1000})
	var peers []Peer
	for i := range directPeers {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: "a"})
	}
	x.SetPeers(peers)
	if got := x.interval(); got != minInterval {
		t.Errorf("the first interval is %v", got)
	}
	for _, datagrams := range []int{15, 8 * 15, 100 * 15} {
		x.recordRound(time.Now(), datagrams, 0)
		if perSecond := float64(datagrams) / x.interval().Seconds(); perSecond > maxDirectRate+1 {
			t.Errorf("%d datagrams per round are %.0f per second", datagrams, perSecond)
		}
	}
}

// A collector sends to its zone at the rate that its share of the link allows, and to the
// collectors of the other zones in each round.
func TestCollectorSendRateIsBounded(t *testing.T) {
	for _, tc := range []struct {
		mbps    float64
		maxRate int
	}{{0, maxCollectorRate}, {10_000, maxCollectorRate}, {200, maxCollectorRate}, {100, 4465}, {20, 893}, {1, minCollectorRate}} {
		x := New(Config{VM: "self", Zone: "a", Capacity: 1000, LinkBitsPerSecond: tc.mbps * 1e6})
		var peers []Peer
		for i := range 63 {
			peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: []string{"a", "b"}[i%2]})
		}
		x.SetPeers(peers)
		now, zoneDatagrams, otherZoneMessages := time.Unix(1000, 0), 0, 0
		const length = 10 * time.Second
		for end := now.Add(length); now.Before(end); now = now.Add(collectorInterval) {
			round := 0
			for _, m := range x.region.messages(now, Report{}) {
				switch m.scope {
				case scopeRegion:
					round += 6 * len(m.to)
				case scopeZone:
					otherZoneMessages++
				}
			}
			zoneDatagrams += round
			x.recordRound(now, round, round)
		}
		perSecond := float64(zoneDatagrams) / length.Seconds()
		if perSecond > float64(tc.maxRate)+6*32/length.Seconds() || perSecond < 0.7*float64(tc.maxRate) {
			t.Errorf("on a link of %v Mbit/s: %.0f datagrams per second, want at most %d", tc.mbps, perSecond, tc.maxRate)
		}
		if want := int(length / collectorInterval); otherZoneMessages != want {
			t.Errorf("the other zone was sent %d messages, want %d", otherZoneMessages, want)
		}
	}
}

// The total sent to a member contains the work of all VMs of all zones except its own, and each
// prompt once.
func TestRegionSumIsComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegion(Peer{Name: "self", Zone: "a", Capacity: 9})
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: []string{"a", "b"}[i%2]})
	}
	r.setPeers(peers)
	prompt := func(endpoint uint32) []*sharepb.Placed { return []*sharepb.Placed{{Endpoint: endpoint}} }
	r.record(now, &sharepb.Load{Vm: "vm0", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 2}}, Placed: prompt(1)})
	r.record(now, &sharepb.Load{Vm: "vm2", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 4}}})
	r.record(now, &sharepb.Load{Vm: "vm1", Zone: "b", ZoneSum: true, Work: []*sharepb.Work{{Endpoint: 1, Runs: 8}, {Endpoint: 2, Runs: 16}}, Placed: prompt(2)})
	r.record(now, &sharepb.Load{Vm: "vm3", Zone: "b", Work: []*sharepb.Work{{Endpoint: 1, Runs: 100}}}) // contained in the sum of its collector
	sentWork := func() (members map[string]string, zone string) {
		members = map[string]string{}
		for _, m := range r.messages(now, Report{Work: []*sharepb.Work{{Endpoint: 2, Runs: 1}}}) {
			text := ""
			for _, w := range m.report.Work {
				text += fmt.Sprintf("%d:%d ", w.Endpoint, w.Runs)
			}
			text += fmt.Sprint(len(m.report.Placed))
			if m.scope == scopeZone {
				zone = text
			} else {
				members[m.to[0].Name] = text
			}
		}
		return members, zone
	}
	members, zone := sentWork()
	if zone != "1:6 2:1 1" || members["vm0"] != "1:12 2:17 2" || members["vm2"] != "1:10 2:17 2" || members["vm4"] != "1:14 2:17 2" {
		t.Errorf("the other zone is sent %q, the members %v", zone, members)
	}
	r.nextZoneRound = now.Add(time.Millisecond)
	r.record(now, &sharepb.Load{Vm: "vm0", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 2}}, Placed: prompt(3)})
	if members, zone := sentWork(); len(members) != 0 || zone != "1:6 2:1 1" {
		t.Errorf("between rounds the members are sent %v, the other zone %q", members, zone)
	}
	now = now.Add(time.Millisecond)
	if members, zone := sentWork(); members["vm4"] != "1:14 2:17 1" || zone != "1:6 2:1 0" {
		t.Errorf("in the next round the members are sent %v, the other zone %q", members, zone)
	}
}
