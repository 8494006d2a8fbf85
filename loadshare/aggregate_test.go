package loadshare

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/springweir/springweir/loadshare/sharepb"
)

func workAt(endpoint, tokens, runs uint32) *sharepb.Work {
	return &sharepb.Work{Endpoint: endpoint, PrefillTokens: tokens, Runs: runs, KvTokens: 2 * tokens}
}

func TestLoadAggregate(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLoadAggregate()
	prompt := func(endpoint uint32) *sharepb.Placed { return &sharepb.Placed{Endpoint: endpoint} }
	m.record(now, &sharepb.Load{Vm: "v", Work: []*sharepb.Work{workAt(1, 10, 1), workAt(2, 20, 1)}, Changing: []uint32{9}})
	m.record(now, &sharepb.Load{Vm: "v", Segment: 1, Work: []*sharepb.Work{workAt(3, 5, 1)}, Changing: []uint32{9}})
	m.record(now, &sharepb.Load{Vm: "w", Work: []*sharepb.Work{workAt(1, 7, 2)}, Placed: []*sharepb.Placed{prompt(1)}})
	m.record(now, &sharepb.Load{Vm: "w", NoWork: true, Placed: []*sharepb.Placed{prompt(2)}})
	local := Report{Work: []*sharepb.Work{workAt(4, 1, 1)}, Placed: []*sharepb.Placed{prompt(3)}, Changing: []uint32{8}}

	zone := m.sum(now, local)
	equal := func(what string, want, got Report) {
		t.Helper()
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	all := Report{
		Work:     []*sharepb.Work{workAt(1, 17, 3), workAt(2, 20, 1), workAt(3, 5, 1), workAt(4, 1, 1)},
		Placed:   []*sharepb.Placed{prompt(1), prompt(2), prompt(3)},
		Changing: []uint32{8, 9},
	}
	equal("the zone", all, zone)
	withoutV := all
	withoutV.Work = []*sharepb.Work{workAt(1, 7, 2), workAt(4, 1, 1)}
	equal("the zone without v, in all its segments", withoutV, m.without(zone, "v"))
	equal("the zone is unchanged by that", all, zone)

	m.record(now, &sharepb.Load{Vm: "v", Segments: 1, Work: []*sharepb.Work{workAt(1, 10, 1), workAt(2, 20, 1)}})
	if got := m.without(m.sum(now, Report{}), "w"); len(got.Work) != 2 {
		t.Errorf("a segment that is no longer used still counts: %v", got.Work)
	}
	m.record(now, &sharepb.Load{Vm: "w", Leaving: true, Work: []*sharepb.Work{workAt(1, 7, 2)}})
	if got := m.sum(now, Report{}); len(got.Work) != 2 || got.Work[0].Runs != 1 || len(got.Placed) != 0 {
		t.Errorf("with a leaving VM and nothing placed since: %v", got)
	}
	if got := m.sum(now.Add(TTL+time.Millisecond), Report{}); len(got.Work) != 0 {
		t.Errorf("unresponsive VMs still count: %v", got)
	}
}
