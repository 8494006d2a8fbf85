package signals

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// design is a way to divide a limit among VMs. rate returns how many requests per second a VM may
// send, given the demand of that VM and of all VMs (per second, as last measured).
type design struct {
	name string
	rate func(f *fleet, v *vm, e *server, local, total float64) float64
	// messages is the number of messages of signalBytes that each VM sends per second in addition
	// to the updates of the limit itself.
	messages float64
}

// signalBytes is the approximate size of one signal in a datagram.
const signalBytes = 24

var designs = []design{
	{name: "equal shares", rate: func(f *fleet, _ *vm, e *server, _, _ float64) float64 {
		return e.limit.PerSecond / float64(len(f.vms))
	}},
	{name: "shares by demand", messages: 2, rate: func(_ *fleet, _ *vm, e *server, local, total float64) float64 {
		if total == 0 {
			return 0
		}
		return e.limit.PerSecond * local / total
	}},
	{name: "few holders", rate: func(f *fleet, v *vm, e *server, _, _ float64) float64 {
		m := loadshare.Membership{Registered: len(f.vms)}
		for _, o := range f.vms {
			m.Live = append(m.Live, loadshare.Member{Name: o.name, Zone: o.zone})
		}
		return shareOf(v.name, Hash(e.Endpoint), e.Zone, m, e.limit.PerSecond).perSecond
	}},
}

// demand counts the requests that a VM would have sent to one endpoint in the previous and the current
// second.
type demand struct{ previous, current float64 }

// simulate applies a design to one limited endpoint of many. Each VM offers the endpoint its part
// of the load, and a VM whose share is not used up sends it any request. simulate returns the used
// fraction of the limit and the largest number of arrivals within a window.
func (d design) simulate(f *fleet, length time.Duration) (utilisation float64, peak int) {
	e := f.endpoints[0]
	buckets := make([]bucket, len(f.vms))
	rates := make([]float64, len(f.vms))
	demands := make([]demand, len(f.vms))
	start := f.now
	for i, v := range f.vms {
		rates[i] = d.rate(f, v, e, v.perSecond, v.perSecond*float64(len(f.vms)))
		if rates[i] > 0 {
			buckets[i].empty(f.now, interval(rates[i]), 0)
		}
	}
	const step = 5 * time.Millisecond
	for secondStart := start; f.now.Sub(start) < length; f.now = f.now.Add(step) {
		if f.now.Sub(secondStart) >= time.Second {
			secondStart = f.now
			total := 0.0
			for i := range demands {
				demands[i] = demand{previous: demands[i].current}
				total += demands[i].previous
			}
			for i, v := range f.vms {
				rates[i] = d.rate(f, v, e, demands[i].previous, total)
			}
		}
		for i, v := range f.vms {
			if f.random.Float64() >= v.perSecond*step.Seconds() {
				continue
			}
			demands[i].current++
			if rates[i] <= 0 || buckets[i].wait(f.now, interval(rates[i])) > 0 {
				continue
			}
			buckets[i].take(f.now, interval(rates[i]), 0)
			e.arrivals = append(e.arrivals, f.now)
		}
	}
	allowed := e.limit.PerSecond * length.Seconds()
	return float64(len(e.arrivals)) / allowed, e.maxArrivals(start, window)
}

// Where VMs are many, the design in production uses more of a small limit than equal shares. It
// stays within what endpoints tolerate; -v prints the comparison.
func TestShareDesigns(t *testing.T) {
	const perSecond, length = 4.0, 60 * time.Second
	t.Logf("%-18s %4s %6s %12s %10s %14s", "design", "VMs", "load", "utilisation", "peak in 4s", "bytes/VM/s")
	for _, vms := range []int{4, 9, 83, 300} {
		utilisations := map[string]float64{}
		for _, d := range designs {
			load := 22 * float64(vms)
			if vms > 16 {
				load = 3.4 * float64(vms)
			}
			f := newFleet(21, vms, 3, 1, load)
			f.setLimits(1, perSecond)
			utilisation, peak := d.simulate(f, length)
			utilisations[d.name] = utilisation
			bytes := d.messages*signalBytes*float64(min(vms-1, 15)) + signalBytes*float64(deliveriesPerSignal)/republishInterval.Seconds()
			t.Logf("%-18s %4d %6.0f %12.2f %10d %14.0f", d.name, vms, load, utilisation, peak, bytes)
			if d.name == "few holders" && (peak > tolerated(perSecond) || utilisation < 0.9) {
				t.Errorf("%d VMs: %.2f of the limit, %d in a window", vms, utilisation, peak)
			}
		}
		if vms > 16 && utilisations["few holders"] < utilisations["equal shares"] {
			t.Errorf("%d VMs: %s", vms, fmt.Sprint(utilisations))
		}
	}
}

// deliveriesPerSignal is how often a VM receives each signal.
const deliveriesPerSignal = 3
