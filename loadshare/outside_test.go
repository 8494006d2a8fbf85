package loadshare

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A VM that is cut off from the store reads the tables from others though their datagrams do not arrive.
func TestVMsWithoutDatagramsAreReadFrom(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegion(Peer{Name: "self", Zone: "a"})
	r.setPeers([]Peer{{Name: "small", Zone: "a", Capacity: 1}, {Name: "strong", Zone: "b", Capacity: 9}, {Name: "heard", Zone: "b", Capacity: 1}})
	r.peersOutsideZone(now, 3) // the others are awaited from now on
	later := now.Add(CollectorTimeout)
	r.lastSeen["heard"] = later
	var names []string
	for _, p := range r.peersOutsideZone(later, 2) {
		names = append(names, p.Name)
	}
	if diff := cmp.Diff([]string{"heard", "strong"}, names); diff != "" {
		t.Error(diff)
	}
}
