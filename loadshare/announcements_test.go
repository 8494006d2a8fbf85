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

// announcementRecorder counts the announcements that a VM receives.
type announcementRecorder struct {
	x    *Exchange
	peer Peer

	mu     sync.Mutex
	counts map[string]int
}

func (r *announcementRecorder) record(n Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range n.Crashes {
		r.counts[fmt.Sprint("crash ", c.Id)]++
	}
	for _, key := range n.Cleared {
		r.counts["cleared "+string(key)]++
	}
	for _, c := range n.Copies {
		r.counts[fmt.Sprint("copy ", c.Endpoint)]++
	}
	for _, s := range n.Signals {
		r.counts[fmt.Sprint("signal ", s.Endpoint, s.Version, s.Limited, s.LimitMilli, s.Draining)]++
	}
}

func (r *announcementRecorder) recordStreams(list []StreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range list {
		r.counts[fmt.Sprint("stream ", s.Stream, " ", s.Software)]++
	}
}

func (r *announcementRecorder) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

func startAnnouncementRecorders(t *testing.T, size int) []*announcementRecorder {
	t.Helper()
	list := newAnnouncementRecorders(t, size)
	for _, r := range list {
		r.run(t)
	}
	return list
}

// newAnnouncementRecorders returns VMs that know each other and don't run yet.
func newAnnouncementRecorders(t *testing.T, size int) []*announcementRecorder {
	t.Helper()
	var list []*announcementRecorder
	for i := range size {
		address := freeAddress(t)
		r := &announcementRecorder{
			peer:   Peer{Name: fmt.Sprintf("vm%02d", i), Zone: fmt.Sprint("z", i%3), Capacity: 100 + i%5, Address: netip.MustParseAddrPort(address)},
			counts: map[string]int{},
		}
		r.x = New(Config{
			VM: r.peer.Name, Zone: r.peer.Zone, Capacity: r.peer.Capacity, Address: address,
			LocalReport: func() Report { return Report{} }, OnLoad: func(*sharepb.Load) {}, OnAnnouncement: r.record, OnStreams: r.recordStreams,
		})
		list = append(list, r)
	}
	for _, r := range list {
		var peers []Peer
		for _, o := range list {
			if o != r {
				peers = append(peers, o.peer)
			}
		}
		r.x.SetPeers(peers)
	}
	return list
}

// run runs a VM until the test ends.
func (r *announcementRecorder) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Announcements of every VM reach all others, directly in a small region and through the collectors
// in a large one, and each VM receives one a bounded number of times.
func TestAnnouncementsReachAllVMs(t *testing.T) {
	for _, size := range []int{4, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			list := startAnnouncementRecorders(t, size)
			time.Sleep(300 * time.Millisecond) // until the collectors have been seen
			for i, r := range list {
				r.x.Broadcast(Announcement{Crashes: []*sharepb.Crash{{Id: uint64(i)}}, Cleared: [][]byte{[]byte(r.peer.Name)},
					Signals: []*sharepb.EndpointSignal{{Endpoint: uint64(i), Version: 1, Limited: true, LimitMilli: 4500}, {Endpoint: uint64(i), Draining: true}},
					Copies:  []*sharepb.Copy{{Key: []byte{byte(i)}, Endpoint: uint64(i)}}})
			}
			start := time.Now()
			for i, from := range list {
				for _, r := range list {
					if r == from {
						continue
					}
					eventually(t, fmt.Sprintf("%s to receive the announcements of %s", r.peer.Name, from.peer.Name), func() bool {
						return r.count(fmt.Sprint("crash ", i)) > 0 && r.count("cleared "+from.peer.Name) > 0 && r.count(fmt.Sprint("copy ", i)) > 0 &&
							r.count(fmt.Sprint("signal ", uint64(i), uint32(1), true, uint64(4500), false)) > 0 &&
							r.count(fmt.Sprint("signal ", uint64(i), uint32(0), false, uint64(0), true)) > 0
					})
				}
			}
			t.Logf("%d VMs received all announcements after %v", size, time.Since(start))
			time.Sleep(300 * time.Millisecond)
			for i := range list {
				for _, r := range list {
					// From the VM itself and from up to two collectors.
					if n := r.count(fmt.Sprint("crash ", i)); n > 3*announcementSends {
						t.Errorf("%s received one crash %d times", r.peer.Name, n)
					}
				}
			}
		})
	}
}

// Whatever the number of announcements, a round stays within its limits, each announcement is sent
// announcementSends times, and the oldest are dropped when the queue is full.
func TestOutboxIsBounded(t *testing.T) {
	o := newOutbox()
	now := time.Unix(1000, 0)
	suspects := make([]*sharepb.Suspect, 48)
	for i := range suspects {
		suspects[i] = &sharepb.Suspect{Key: make([]byte, 16), Origin: 1 << 30, Streaming: true}
	}
	const crashes = 3 * maxPendingAnnouncements
	for id := range uint64(crashes) {
		c := &sharepb.Crash{Id: id, Suspects: suspects}
		o.add(now, Announcement{Crashes: []*sharepb.Crash{c}})
		o.add(now, Announcement{Crashes: []*sharepb.Crash{c}}) // forwarded by another collector
	}
	sends := map[uint64]int{}
	for rounds := 0; len(o.items) > 0; rounds++ {
		if rounds > crashes {
			t.Fatal("the queue does not become empty")
		}
		list := o.round()
		if len(list) > maxDatagramsPerRound {
			t.Fatalf("%d datagrams in a round", len(list))
		}
		for _, load := range list {
			load.Vm, load.Zone, load.Address, load.Sequence = "front-hal-noord-1", "hal-noord", "10.100.200.300:12345", 1<<60
			if n := proto.Size(load); n > maxDatagram {
				t.Fatalf("datagram has %d bytes", n)
			}
			for _, c := range load.Crashes {
				sends[c.Id]++
			}
		}
	}
	for id := range uint64(crashes) {
		want := 0
		if id >= crashes-maxPendingAnnouncements {
			want = announcementSends
		}
		if sends[id] != want {
			t.Fatalf("crash %d was sent %d times, want %d", id, sends[id], want)
		}
	}
	o.add(now.Add(2*seenRetention), Announcement{Cleared: [][]byte{{1}}})
	if len(o.seen) != 1 {
		t.Errorf("%d announcements are remembered after the retention", len(o.seen))
	}
}
