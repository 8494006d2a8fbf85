package loadshare

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
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
	if load.ZoneSum {
		from = "zone " + load.Zone
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

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

func startNode(t *testing.T, name, zone string, strength int) *node {
	t.Helper()
	address := freeAddress(t)
	n := &node{listener: &listener{}, peer: Peer{Name: name, Zone: zone, Strength: strength, Address: netip.MustParseAddrPort(address)}}
	n.own = Report{Work: []*sharepb.Work{{Endpoint: Hash(name), Runs: 1}, {Endpoint: shared, Runs: 1}}}
	n.x = New(Config{VM: name, Zone: zone, Strength: strength, Address: address, Own: n.ownNow, Heard: n.take})
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
				if n.peer.Zone == "z0" && (strongest == nil || n.peer.Strength > strongest.peer.Strength) {
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
	x := New(Config{VM: "self", Zone: "a", Heard: l.take})
	say := func(boot, sequence uint64) {
		x.take(nil, nil, &sharepb.Load{Vm: "v", Zone: "a", Boot: boot, Sequence: sequence})
	}
	for _, news := range [][2]uint64{{1, 5}, {1, 4}, {1, 5}, {1, 6}, {2, 1}, {2, 1}, {2, 2}} {
		say(news[0], news[1])
	}
	if l.times != 4 {
		t.Errorf("%d of 7 datagrams were news, want 4", l.times)
	}
	x.take(nil, nil, &sharepb.Load{Vm: "self", Boot: 9, Sequence: 9})
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
		for i, load := range x.datagrams(r, true) {
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
		peers = append(peers, Peer{Name: fmt.Sprintf("vm%02d", i), Zone: []string{"a", "b"}[i%2], Strength: 10})
	}
	peers[4].Strength = 99 // vm04 of zone a
	now := time.Unix(1000, 0)
	names := func(list []Peer) (s []string) {
		for _, p := range list {
			s = append(s, p.Name)
		}
		return s
	}
	weak := newRegion(Peer{Name: "self", Zone: "a", Strength: 1})
	weak.setPeers(peers)
	if got := names(weak.toldBy(now)); len(got) != 1 || got[0] != "vm04" {
		t.Errorf("a weak VM tells %v, want the strongest of its zone", got)
	}
	// The strongest stays silent, so the next by name takes its place.
	now = now.Add(2 * collectorTimeout)
	if got := names(weak.toldBy(now)); len(got) != 1 || got[0] != "vm00" {
		t.Errorf("then it tells %v", got)
	}
	weak.heard(now, &sharepb.Load{Vm: "vm04", Zone: "a"})
	if got := names(weak.toldBy(now)); got[0] != "vm04" {
		t.Errorf("once the strongest is heard it tells %v", got)
	}
	strong := newRegion(Peer{Name: "self", Zone: "a", Strength: 100})
	strong.setPeers(peers)
	if got := strong.toldBy(now); len(got) != 11 {
		t.Errorf("a collector tells %v, want its zone and one of the other", names(got))
	}
	if got := strong.passOn(now, "b"); len(got) != 10 {
		t.Errorf("a collector passes another zone's news on to %v", names(got))
	}
	if got := append(strong.passOn(now, "a"), weak.passOn(now, "b")...); len(got) != 0 {
		t.Errorf("news is passed on to %v", names(got))
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
		{"its own zone's sum, elsewhere", &weak, &sharepb.Load{Vm: "vm04", Zone: "a", ZoneSum: true}, true},
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

// However much there is to tell, a VM keeps to its datagrams a second.
func TestRoundsComeMoreSeldomWithMoreToTell(t *testing.T) {
	x := New(Config{VM: "self", Zone: "a", Strength: 1000})
	var peers []Peer
	for i := range 63 {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: "a"})
	}
	x.SetPeers(peers)
	if got := x.interval(); got != collectedInterval {
		t.Errorf("a first round after %v", got)
	}
	for _, datagrams := range []int{63, 8 * 63, 100 * 63} {
		x.noteRound(datagrams)
		if perSecond := float64(datagrams) / x.interval().Seconds(); perSecond > maxDatagrams+1 {
			t.Errorf("%d datagrams a round are %.0f a second", datagrams, perSecond)
		}
	}
}

// In a large zone a collector's rounds are long; to tell it more often would be in vain.
func TestMembersKeepToTheCollectorsPace(t *testing.T) {
	var peers []Peer
	for i := range 63 {
		peers = append(peers, Peer{Name: fmt.Sprint("vm", i), Zone: "a", Strength: 100})
	}
	member := New(Config{VM: "weak", Zone: "a", Strength: 1})
	member.SetPeers(peers)
	sum := func(segments uint32, noWork bool) {
		member.region.heard(time.Now(), &sharepb.Load{Vm: "vm0", Zone: "a", ZoneSum: true, Segments: segments, NoWork: noWork})
	}
	sum(8, false)
	if got, want := member.interval(), 8*63*time.Second/maxDatagrams; got != want {
		t.Errorf("a round after %v, the collector's come every %v", got, want)
	}
	sum(0, true) // prompts only: says nothing of the rounds
	sum(1, false)
	if got, want := member.interval(), 63*time.Second/maxDatagrams; got != want {
		t.Errorf("with less to tell: a round after %v, want %v", got, want)
	}
	member.SetPeers(peers[:directPeers])
	if got := member.interval(); got != minInterval {
		t.Errorf("in a region without collectors: a round after %v", got)
	}
}
