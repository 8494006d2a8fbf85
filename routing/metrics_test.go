package routing

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/fleet"
)

func TestCount(t *testing.T) {
	for _, tc := range []struct {
		name     string
		decision Decision
		err      error
		want     []string
	}{
		{"colocated", Decision{}, nil, []string{`decided_total{kind="whole"}`}},
		{"pair", Decision{PrefillEndpoint: &fleet.Endpoint{}}, nil, []string{`decided_total{kind="pair"}`}},
		{"trial", Decision{Trial: true}, nil, []string{`decided_total{kind="whole"}`, `decided_total{kind="trial"}`}},
		{"spilled", Decision{Zone: "b"}, nil, []string{`spilled_total{zone="b"}`}},
		{"unserved", Decision{}, &NoEndpointError{Unserved: true}, []string{`refused_total{cause="unserved"}`}},
		{"excluded", Decision{}, &NoEndpointError{Excluded: map[string]int{"fits": 2}}, []string{`refused_total{cause="fits"}`}},
		{"other", Decision{}, context.Canceled, []string{`refused_total{cause="other"}`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := counterValues(counterNames)
			CountDecision(tc.decision, tc.err)
			var got []string
			for i, n := range counterValues(counterNames) {
				if n == before[i]+1 {
					got = append(got, counterNames[i])
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
		})
	}
}

// counterNames are the counters under test, in the order of the want lists.
var counterNames = []string{
	`decided_total{kind="whole"}`, `decided_total{kind="pair"}`, `decided_total{kind="trial"}`,
	`spilled_total{zone="b"}`, `refused_total{cause="unserved"}`, `refused_total{cause="fits"}`, `refused_total{cause="other"}`,
}

func counterValues(names []string) []uint64 {
	var out []uint64
	for _, name := range names {
		out = append(out, metrics.GetOrCreateCounter("springweir_routing_"+name).Get())
	}
	return out
}
