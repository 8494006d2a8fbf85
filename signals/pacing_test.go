package signals

import (
	"fmt"
	"testing"
	"time"
)

// Guards against VMs that use their shares of a limit at the same moments, so that the endpoint gets
// one request of each VM at once and then none for a whole period of a share. A span that ends in
// such a pause gets less than nine tenths of what the limit permits.
func TestSharesAreUsedEvenly(t *testing.T) {
	const (
		perSecond, requestsPerSecond = 4.0, 60.0
		span, step                   = 6 * time.Second, 50 * time.Millisecond
		measured                     = 30 * time.Second
		seeds                        = 20
	)
	for _, vms := range []int{2, 3, 4, 9} {
		for _, idle := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d VMs, idle for %v", vms, idle), func(t *testing.T) {
				for seed := range uint64(seeds) {
					f := newFleet(seed, vms, 1, 1, requestsPerSecond)
					e := f.endpoints[0]
					e.limit = Limit{Kind: Limited, PerSecond: perSecond}
					f.run(10 * time.Second)
					f.pauseLoad(idle)
					f.run(2 * time.Second)
					from := f.now
					f.run(measured)
					least := int(perSecond * measured.Seconds())
					for start := from; !start.Add(span).After(f.now); start = start.Add(step) {
						least = min(least, e.arrivalsBetween(start, start.Add(span)))
					}
					if allowed := perSecond * span.Seconds(); float64(least) < 0.9*allowed {
						t.Errorf("seed %d: %d of the %v requests that the limit permits were sent in some %v", seed, least, allowed, span)
					}
				}
			})
		}
	}
}

// pauseLoad stops all requests for a time.
func (f *fleet) pauseLoad(d time.Duration) {
	rates := make([]float64, len(f.vms))
	for i, v := range f.vms {
		rates[i], v.perSecond = v.perSecond, 0
	}
	f.run(d)
	for i, v := range f.vms {
		v.perSecond = rates[i]
		f.schedule(0, func() { f.generateRequests(v) })
	}
}
