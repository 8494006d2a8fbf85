package controller

import (
	"testing"
	"time"
)

func TestDemandIntervalGrowsWithZoneSize(t *testing.T) {
	for _, c := range []struct {
		vms  int
		want time.Duration
	}{
		{0, planInterval},
		{3, planInterval},
		{4, planInterval},
		{63, 63 * demandPerVM},
	} {
		if got := demandInterval(c.vms); got != c.want {
			t.Errorf("%d VMs: every %v, want %v", c.vms, got, c.want)
		}
	}
}
