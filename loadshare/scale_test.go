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
				r.rank()
			}
		})
		b.Run(fmt.Sprint(size, "/outside"), func(b *testing.B) {
			for b.Loop() {
				r.peersOutsideZone(now, 3)
			}
		})
	}
}
