package reach

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/failure"
)

// Guards against an endpoint that has ended and does not count as such because some VM does not reach it, or does not
// answer, and against a check that outlasts its context.
func TestEndpointThatNobodyReachesIsRefusedByAll(t *testing.T) {
	down, unreached := reported(failure.EndpointDown, failure.NotRun), reported(failure.EndpointUnreachable, failure.NotRun)
	for name, tc := range map[string]struct {
		direct  error
		through map[string]error
		hop     time.Duration
		want    bool
	}{
		"this VM reaches it":                 {through: map[string]error{"a1": down, "b1": down}},
		"no connection in time":              {direct: errConnectTimeout, through: map[string]error{"a1": down, "b1": down}},
		"refused, another VM reaches it":     {direct: errConnectRefused, through: map[string]error{"a1": down, "b1": nil}},
		"refused by all":                     {direct: errConnectRefused, through: map[string]error{"a1": down, "b1": down}, want: true},
		"refused, another VM is cut off":     {direct: errConnectRefused, through: map[string]error{"a1": down, "b1": unreached}, want: true},
		"refused, all other VMs are cut off": {direct: errConnectRefused, through: map[string]error{"a1": unreached, "b1": unreached}, want: true},
		"refused, other VMs are silent":      {direct: errConnectRefused, hop: time.Hour, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{direct: tc.direct, through: tc.through}
				c, d := newSlowClient(slowNetwork{fakeNetwork: n, hop: tc.hop}, "e", "f")
				const limit = 200 * time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				defer time.Sleep(inquiryTimeout) // the inquiry goes on
				start := time.Now()
				if got := c.RefusedByAll(ctx, d.Snapshot().Endpoint("e")); got != tc.want || time.Since(start) > limit {
					t.Errorf("refused by all: %v after %v, want %v", got, time.Since(start), tc.want)
				}
			})
		})
	}
}
