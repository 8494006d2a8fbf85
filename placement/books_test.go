package placement

import (
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// A sum replaces the sum of the same part of the same zone, whoever collected it,
// and a datagram without work leaves what was told before.
func TestSourcesReplaceWhatTheyTold(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBooks()
	work := func(runs uint32) []*sharepb.Work { return []*sharepb.Work{{Endpoint: 1, Runs: runs}} }
	for _, step := range []struct {
		load *sharepb.Load
		want int
	}{
		{&sharepb.Load{Vm: "c1", Zone: "z", ZoneSum: true, Work: work(5)}, 5},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Work: work(4)}, 4},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Segment: 1, Work: work(2)}, 6},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, NoWork: true}, 6},
		{&sharepb.Load{Vm: "c2", Zone: "z", Work: work(1)}, 7},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Segments: 1, Work: work(3)}, 4},
		{&sharepb.Load{Vm: "c3", Zone: "y", ZoneSum: true, Work: work(6)}, 10},
		{&sharepb.Load{Vm: "c3", Zone: "y", ZoneSum: true}, 4},
	} {
		b.heard(now, step.load, func(*book) time.Time { return time.Time{} })
		if got := b.others[1].runs; got != step.want {
			t.Errorf("after %v: %d requests run, want %d", step.load, got, step.want)
		}
	}
	b.expire(now.Add(loadshare.TTL + time.Millisecond))
	if got := b.others[1].runs; got != 0 {
		t.Errorf("%d requests of silent VMs still count", got)
	}
}
