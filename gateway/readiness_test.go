package gateway

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/routes"
)

// Each condition of readiness is reported by its own cause.
func TestUnreadyCauses(t *testing.T) {
	registry, _ := organisation.NewRegistry(nil)
	s := &state{freshness: freshness.New(nil), revoke: newRevokeBudget(5 * time.Second), applyWithin: time.Second}
	var got []unreadyCause
	for _, step := range []func(){
		func() {},
		func() { s.setConfig(&routes.Config{Version: 1}) },
		func() { s.endpointsListed.Store(true) },
		func() { s.setConfig(&routes.Config{Version: 2, Organisations: registry}); s.freshness.SetInForce(2) },
		func() { s.freshness.Confirm(freshness.Confirmation{Version: 2, At: time.Now()}) },
		func() { s.callersRefused.Store(true) },
		func() { s.stop(time.Now()) },
	} {
		step()
		got = append(got, s.unreadyCause())
	}
	if diff := cmp.Diff([]unreadyCause{causeConfig, causeEndpoints, "", causeKeys, "", causePort, causeStopping}, got); diff != "" {
		t.Error(diff)
	}
}

// The time that a VM is not ready is counted for what it lacks, also while that lasts.
func TestUnreadyTimeIsCountedByCause(t *testing.T) {
	seconds := func(cause unreadyCause) float64 {
		return metrics.GetOrCreateFloatCounter(`springweir_unready_seconds_total{cause="` + string(cause) + `"}`).Get()
	}
	start := time.Now()
	before := map[unreadyCause]float64{causeConfig: seconds(causeConfig), causeEndpoints: seconds(causeEndpoints), causeKeys: seconds(causeKeys)}
	l := newReadinessLog(start)
	for _, o := range []struct {
		at    time.Duration
		cause unreadyCause
	}{
		{time.Second, causeConfig}, {2 * time.Second, causeEndpoints}, {5 * time.Second, ""}, {60 * time.Second, causeKeys}, {64 * time.Second, causeKeys},
	} {
		l.observe(start.Add(o.at), o.cause)
	}
	for cause, want := range map[unreadyCause]float64{causeConfig: 2, causeEndpoints: 3, causeKeys: 4} {
		if got := seconds(cause) - before[cause]; got < want-0.001 || got > want+0.001 {
			t.Errorf("%s: counted %v s, want %v", cause, got, want)
		}
	}
}
