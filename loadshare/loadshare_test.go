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

// listener is a VM that notes what it hears. Like the product it forgets what was not
// told again within TTL.
type listener struct {
	mu    sync.Mutex
	heard map[string]heardLoad
	times int
	own   Report
}

type heardLoad struct {
	*sharepb.Load
	at time.Time
}

func (l *listener) take(load *sharepb.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = map[string]heardLoad{}
	}
	from := load.Vm
	switch {
	case load.RegionSum:
		from = "region "
	case load.ZoneSum:
		from = "zone " + load.Zone
	}
	for name, known := range l.heard {
		if known.RegionSum != load.RegionSum {
			delete(l.heard, name) // as the product does: one contains the other
		}
	}
	l.heard[fmt.Sprint(from, load.Segment)] = heardLoad{load, time.Now()}
	l.times++
}

// runs is what all sources together tell to run, by endpoint.
func (l *listener) runs() map[uint32]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[uint32]int{}
	for _, load := range l.heard {
		if time.Since(load.at) > TTL {
			continue
		}
		for _, w := range load.Work {
			runs[w.Endpoint] += int(w.Runs)
		}
	}
	return runs
}

func (l *listener) ownNow() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.own
	l.own.Placed = nil
	return own
}

// shared is an endpoint at which every VM has a request.
const shared = 7

// node is one exchange on loopback.
type node struct {
	*listener
	x    *Exchange
	peer Peer
	stop func()
}

// nextPort is the port to try next. Those that the kernel gives to connections of other tests lie
// higher, and each is tried once, so that no address is taken between its choice and its use.
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

func startNode(t *testing.T, name, zone string, strength int) *node {
	t.Helper()
	address := freeAddress(t)
	n := &node{listener: &listener{}, peer: Peer{Name: name, Zone: zone, Capacity: strength, Address: netip.MustParseAddrPort(address)}}
	n.own = Report{Work: []*sharepb.Work{{Endpoint: Hash(name), Runs: 1}, {Endpoint: shared, Runs: 1}}}
	n.x = New(Config{VM: name, Zone: zone, Capacity: strength, Address: address, LocalReport: n.ownNow, OnLoad: n.take})
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

// introduce makes all nodes peers of each other.
func introduce(nodes []*node) {
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
	t.Fatalf("waited in vain for %s", what)
}

// In small regions every VM tells every other, in large ones through collectors;
// in both everybody hears of everybody, also when a collector ends.
func TestEverybodyHearsOfEverybody(t *testing.T) {
	for _, size := range []int{4, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var nodes []*node
			for i := range size {
				nodes = append(nodes, startNode(t, fmt.Sprintf("vm%02d", i), fmt.Sprint("z", i%3), 100+i%5))
			}
			introduce(nodes)
			for _, n := range nodes {
				eventually(t, n.peer.Name+" to hear of all others once", func() bool {
					runs := n.runs()
					return len(runs) == size && runs[shared] == size-1 && runs[Hash(n.peer.Name)] == 0
				})
			}
			var strongest *node
			for _, n := range nodes {
				if n.peer.Zone == "z0" && (strongest == nil || n.peer.Capacity > strongest.peer.Capacity) {
					strongest = n
				}
			}
			strongest.stop() // its last datagrams may still be on their way
			for _, n := range nodes {
				if n != strongest {
					eventually(t, n.peer.Name+" to hear of the others", func() bool {
						runs := n.runs()
						return runs[shared] == size-2 && runs[Hash(strongest.peer.Name)] == 0
					})
				}
			}
		})
	}
}

func TestOlderNewsIsDropped(t *testing.T) {
	l := &listener{}
	x := New(Config{VM: "self", Zone: "a", OnLoad: l.take})
	say := func(boot, sequence uint64) {
		x.take(&sharepb.Load{Vm: "v", Zone: "a", Boot: boot, Sequence: sequence})
	}
	for _, news := range [][2]uint64{{1, 5}, {1, 4}, {1, 5}, {1, 6}, {2, 1}, {2, 1}, {2, 2}} {
		say(news[0], news[1])
	}
	if l.times != 4 {
		t.Errorf("%d of 7 datagrams were news, want 4", l.times)
	}
	x.take(&sharepb.Load{Vm: "self", Boot: 9, Sequence: 9})
	if l.times != 4 {
		t.Error("a VM hears of itself")
	}
}

// Datagrams stay small whatever there is to tell, and tell each endpoint's work and
// each prompt once.
func TestDatagramsStaySmall(t *testing.T) {
	x := New(Config{VM: "self", Zone: "a"})
	for _, endpoints := range []int{0, 20, 50, 51, 400} {
		var r Report
		for i := range endpoints {
			r.Work = append(r.Work, &sharepb.Work{Endpoint: Hash(fmt.Sprint(i)), PrefillTokens: 9000, Runs: 3, KvTokens: 90000})
		}
		for i := range 100 {
			r.Placed = append(r.Placed, &sharepb.Placed{Endpoint: uint32(i), Part: []uint32{1, 2, 3}, Tokens: []uint32{2500, 3500, 3000}})
		}
		placed, worked := 0, map[uint32]int{}
		for i, load := range x.datagrams(r, ofZone) {
			// Up to 100 bytes more: a datagram takes at least one prompt.
			if size := proto.Size(load); size > maxDatagram+100 {
				t.Errorf("a datagram of %d bytes", size)
			}
			if !load.NoWork && load.Segment != uint32(i) || load.NoWork && len(load.Work) > 0 {
				t.Errorf("datagram %d is segment %d with %d endpoints, no work: %v", i, load.Segment, len(load.Work), load.NoWork)
			}
			placed += len(load.Placed)
			for _, w := range load.Work {
				worked[w.Endpoint]++
			}
		}
		if placed != 100 || len(worked) != endpoints {
			t.Errorf("%d prompts and %d endpoints were told, want 100 and %d", placed, len(worked), endpoints)
		}
		for endpoint, n := range worked {
			if n != 1 {
				t.Errorf("endpoint %d is told %d times", endpoint, n)
			}
		}
	}
}

func TestCollectors(t *testing.T) {
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
	weak := newRegion(Peer{Name: "self", Zone: "a", Capacity: 1})
	weak.setPeers(peers)
	if got := names(weak.toldBy(now)); len(got) != 1 || got[0] != "vm04" {
		t.Errorf("a weak VM tells %v, want the strongest of its zone", got)
	}
	// The strongest stays silent, so the next by name takes its place.
	now = now.Add(2 * CollectorTimeout)
	if got := names(weak.toldBy(now)); len(got) != 1 || got[0] != "vm00" {
		t.Errorf("then it tells %v", got)
	}
	weak.heard(now, &sharepb.Load{Vm: "vm04", Zone: "a"})
	if got := names(weak.toldBy(now)); got[0] != "vm04" {
		t.Errorf("once the strongest is heard it tells %v", got)
	}
	strong := newRegion(Peer{Name: "self", Zone: "a", Capacity: 100})
	strong.setPeers(peers)
	if got := strong.toldBy(now); len(got) != 11 {
		t.Errorf("a collector tells %v, want its zone and one of the other", names(got))
	}
	for _, tc := range []struct {
		name  string
		r     *region
		load  *sharepb.Load
		wants bool
	}{
		{"a VM's own load", &strong, &sharepb.Load{Vm: "vm02", Zone: "a"}, true},
		{"another zone's sum", &strong, &sharepb.Load{Vm: "vm01", Zone: "b", ZoneSum: true}, true},
		{"its own zone's sum, at the collector", &strong, &sharepb.Load{Vm: "vm02", Zone: "a", ZoneSum: true}, false},
		{"a region's sum, at the collector", &strong, &sharepb.Load{Vm: "vm02", Zone: "a", RegionSum: true}, false},
		{"the region's sum, elsewhere", &weak, &sharepb.Load{Vm: "vm04", Zone: "a", RegionSum: true}, true},
		{"another zone's sum of the region", &weak, &sharepb.Load{Vm: "vm01", Zone: "b", RegionSum: true}, false},
		{"what the region's sum contains, a zone", &weak, &sharepb.Load{Vm: "vm01", Zone: "b", ZoneSum: true}, false},
		{"what the region's sum contains, a VM", &weak, &sharepb.Load{Vm: "vm02", Zone: "a"}, false},
	} {
		if got := tc.r.counts(now, tc.load); got != tc.wants {
			t.Errorf("%s counts: %v", tc.name, got)
		}
	}
}

// toldBy is everybody whom a VM tells in one round.
func (r *region) toldBy(now time.Time) []Peer {
	var list []Peer
	for _, m := range r.messages(now, Report{}) {
		list = append(list, m.to...)
	}
	return list
}

// However much there is to tell, a VM of a small region keeps to its datagrams a second.
func TestRoundsComeMoreSeldomWithMoreToTell(t *testing.T) {
	x := New(Config{VM: "self", Zone: "a", Capacity: 1000})
	var peers []Peer
	for i := range directPeers {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: "a"})
	}
	x.SetPeers(peers)
	if got := x.interval(); got != minInterval {
		t.Errorf("a first round after %v", got)
	}
	for _, datagrams := range []int{15, 8 * 15, 100 * 15} {
		x.noteRound(time.Now(), datagrams, 0)
		if perSecond := float64(datagrams) / x.interval().Seconds(); perSecond > directDatagrams+1 {
			t.Errorf("%d datagrams a round are %.0f a second", datagrams, perSecond)
		}
	}
}

// A collector tells its zone as often as a part of its link allows, and the collectors of
// other zones each time.
func TestCollectorKeepsToItsLink(t *testing.T) {
	for _, tc := range []struct {
		mbps float64
		most int
	}{{0, mostDatagrams}, {10_000, mostDatagrams}, {200, mostDatagrams}, {100, 4465}, {20, 893}, {1, leastDatagrams}} {
		x := New(Config{VM: "self", Zone: "a", Capacity: 1000, LinkBitsPerSecond: tc.mbps * 1e6})
		var peers []Peer
		for i := range 63 {
			peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: []string{"a", "b"}[i%2]})
		}
		x.SetPeers(peers)
		now, told, others := time.Unix(1000, 0), 0, 0
		const length = 10 * time.Second
		for end := now.Add(length); now.Before(end); now = now.Add(collectorInterval) {
			round := 0
			for _, m := range x.region.messages(now, Report{}) {
				switch m.of {
				case ofRegion:
					round += 6 * len(m.to)
				case ofZone:
					others++
				}
			}
			told += round
			x.noteRound(now, round, round)
		}
		perSecond := float64(told) / length.Seconds()
		if perSecond > float64(tc.most)+6*32/length.Seconds() || perSecond < 0.7*float64(tc.most) {
			t.Errorf("on a link of %v Mbit/s %.0f datagrams a second, at most %d wanted", tc.mbps, perSecond, tc.most)
		}
		if want := int(length / collectorInterval); others != want {
			t.Errorf("the other zone was told %d times, want %d", others, want)
		}
	}
}

// What a member hears is the work of all zones but its own, and each prompt once.
func TestRegionsSumIsComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegion(Peer{Name: "self", Zone: "a", Capacity: 9})
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: []string{"a", "b"}[i%2]})
	}
	r.setPeers(peers)
	prompt := func(endpoint uint32) []*sharepb.Placed { return []*sharepb.Placed{{Endpoint: endpoint}} }
	r.heard(now, &sharepb.Load{Vm: "vm0", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 2}}, Placed: prompt(1)})
	r.heard(now, &sharepb.Load{Vm: "vm2", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 4}}})
	r.heard(now, &sharepb.Load{Vm: "vm1", Zone: "b", ZoneSum: true, Work: []*sharepb.Work{{Endpoint: 1, Runs: 8}, {Endpoint: 2, Runs: 16}}, Placed: prompt(2)})
	r.heard(now, &sharepb.Load{Vm: "vm3", Zone: "b", Work: []*sharepb.Work{{Endpoint: 1, Runs: 100}}}) // its collector tells it
	told := func() (members map[string]string, zone string) {
		members = map[string]string{}
		for _, m := range r.messages(now, Report{Work: []*sharepb.Work{{Endpoint: 2, Runs: 1}}}) {
			text := ""
			for _, w := range m.report.Work {
				text += fmt.Sprintf("%d:%d ", w.Endpoint, w.Runs)
			}
			text += fmt.Sprint(len(m.report.Placed))
			if m.of == ofZone {
				zone = text
			} else {
				members[m.to[0].Name] = text
			}
		}
		return members, zone
	}
	members, zone := told()
	if zone != "1:6 2:1 1" || members["vm0"] != "1:12 2:17 2" || members["vm2"] != "1:10 2:17 2" || members["vm4"] != "1:14 2:17 2" {
		t.Errorf("the other zone hears %q, the members %v", zone, members)
	}
	r.nextRound = now.Add(time.Millisecond)
	r.heard(now, &sharepb.Load{Vm: "vm0", Zone: "a", Work: []*sharepb.Work{{Endpoint: 1, Runs: 2}}, Placed: prompt(3)})
	if members, zone := told(); len(members) != 0 || zone != "1:6 2:1 1" {
		t.Errorf("between rounds the members hear %v, the other zone %q", members, zone)
	}
	now = now.Add(time.Millisecond)
	if members, zone := told(); members["vm4"] != "1:14 2:17 1" || zone != "1:6 2:1 0" {
		t.Errorf("then the members hear %v, the other zone %q", members, zone)
	}
}
