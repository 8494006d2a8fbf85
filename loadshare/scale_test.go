package loadshare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReaderPosition measures what a VM that waits for a reader looks up many times a second, and
// the search for readers of other zones, which is only needed when its own and the store fail.
func BenchmarkReaderPosition(b *testing.B) {
	for _, size := range []int{100, 1000} {
		r := newTestCluster(size, 5).vms[size-1]
		now := time.Unix(1000, 0)
		for _, p := range r.peers {
			if p.Zone == r.self.Zone {
				r.lastSeen[p.Name] = now
			} else {
				r.awaitedSince[p.Name] = now.Add(-time.Minute) // members hear no VM of another zone
			}
		}
		b.Run(fmt.Sprint(size, "/preceding"), func(b *testing.B) {
			for b.Loop() {
				r.precedingPeers(now, 2)
				r.rank(time.Now())
			}
		})
		b.Run(fmt.Sprint(size, "/outside"), func(b *testing.B) {
			for b.Loop() {
				r.peersOutsideZone(now, 3)
			}
		})
	}
}

func BenchmarkMembershipOfMember(b *testing.B) {
	for _, size := range []int{100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newTestCluster(size, 5)
			c.run(time.Second)
			r := c.vms[size-1]
			if n := len(r.membership(c.now).Live); n != size {
				b.Fatalf("%d of %d VMs are responsive", n, size)
			}
			for b.Loop() {
				r.membership(c.now)
			}
		})
	}
}
