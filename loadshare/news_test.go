package loadshare

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// hearer is a VM that notes which crashes and cleared keys it heard of.
type hearer struct {
	x    *Exchange
	peer Peer

	mu    sync.Mutex
	heard map[string]int
}

func (h *hearer) take(n Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range n.Crashes {
		h.heard[fmt.Sprint("crash ", c.Id)]++
	}
	for _, key := range n.Cleared {
		h.heard["cleared "+string(key)]++
	}
	for _, s := range n.Signals {
		h.heard[fmt.Sprint("signal ", s.Endpoint, s.Version, s.Limited, s.LimitMilli, s.Draining)]++
	}
}

func (h *hearer) times(what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard[what]
}

func startHearers(t *testing.T, size int) []*hearer {
	t.Helper()
	var list []*hearer
	for i := range size {
		address := freeAddress(t)
		h := &hearer{
			peer:  Peer{Name: fmt.Sprintf("vm%02d", i), Zone: fmt.Sprint("z", i%3), Capacity: 100 + i%5, Address: netip.MustParseAddrPort(address)},
			heard: map[string]int{},
		}
		h.x = New(Config{
			VM: h.peer.Name, Zone: h.peer.Zone, Capacity: h.peer.Capacity, Address: address,
			LocalReport: func() Report { return Report{} }, OnLoad: func(*sharepb.Load) {}, OnAnnouncement: h.take,
		})
		list = append(list, h)
	}
	for _, h := range list {
		var peers []Peer
		for _, o := range list {
			if o != h {
				peers = append(peers, o.peer)
			}
		}
		h.x.SetPeers(peers)
	}
	for _, h := range list {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.x.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	return list
}

// News of any VM reaches all others, in a small region directly and in a large one through the
// collectors, and each hears it a bounded number of times.
func TestNewsReachesAll(t *testing.T) {
	for _, size := range []int{4, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			list := startHearers(t, size)
			time.Sleep(300 * time.Millisecond) // collectors are heard
			for i, h := range list {
				h.x.Broadcast(Announcement{Crashes: []*sharepb.Crash{{Id: uint64(i)}}, Cleared: [][]byte{[]byte(h.peer.Name)},
					Signals: []*sharepb.EndpointSignal{{Endpoint: uint64(i), Version: 1, Limited: true, LimitMilli: 4500}, {Endpoint: uint64(i), Draining: true}}})
			}
			began := time.Now()
			for i, from := range list {
				for _, h := range list {
					if h == from {
						continue
					}
					eventually(t, fmt.Sprintf("%s to hear of %s", h.peer.Name, from.peer.Name), func() bool {
						return h.times(fmt.Sprint("crash ", i)) > 0 && h.times("cleared "+from.peer.Name) > 0 &&
							h.times(fmt.Sprint("signal ", uint64(i), uint32(1), true, uint64(4500), false)) > 0 &&
							h.times(fmt.Sprint("signal ", uint64(i), uint32(0), false, uint64(0), true)) > 0
					})
				}
			}
			t.Logf("%d VMs heard of all after %v", size, time.Since(began))
			time.Sleep(300 * time.Millisecond)
			for i := range list {
				for _, h := range list {
					// From the VM itself and from a collector or two.
					if n := h.times(fmt.Sprint("crash ", i)); n > 3*newsRounds {
						t.Errorf("%s heard %d times of one crash", h.peer.Name, n)
					}
				}
			}
		})
	}
}

// However much there is to tell, a round stays small, each piece is told newsRounds times, and
// what finds no room is the oldest.
func TestNewsIsBounded(t *testing.T) {
	o := newOutbox()
	now := time.Unix(1000, 0)
	suspects := make([]*sharepb.Suspect, 48)
	for i := range suspects {
		suspects[i] = &sharepb.Suspect{Key: make([]byte, 16), Origin: 1 << 30, Streaming: true}
	}
	const pieces = 3 * maxNews
	for id := range uint64(pieces) {
		c := &sharepb.Crash{Id: id, Suspects: suspects}
		o.add(now, Announcement{Crashes: []*sharepb.Crash{c}})
		o.add(now, Announcement{Crashes: []*sharepb.Crash{c}}) // passed on by another collector
	}
	told := map[uint64]int{}
	for rounds := 0; len(o.items) > 0; rounds++ {
		if rounds > pieces {
			t.Fatal("the news does not end")
		}
		list := o.round()
		if len(list) > newsPerRound {
			t.Fatalf("%d datagrams in a round", len(list))
		}
		for _, load := range list {
			load.Vm, load.Zone, load.Address, load.Sequence = "front-hal-noord-1", "hal-noord", "10.100.200.300:12345", 1<<60
			if n := proto.Size(load); n > maxDatagram {
				t.Fatalf("a datagram of %d bytes", n)
			}
			for _, c := range load.Crashes {
				told[c.Id]++
			}
		}
	}
	for id := range uint64(pieces) {
		want := 0
		if id >= pieces-maxNews {
			want = newsRounds
		}
		if told[id] != want {
			t.Fatalf("piece %d was told %d times, want %d", id, told[id], want)
		}
	}
	o.add(now.Add(2*newsMemory), Announcement{Cleared: [][]byte{{1}}})
	if len(o.seen) != 1 {
		t.Errorf("%d pieces are remembered long after", len(o.seen))
	}
}
