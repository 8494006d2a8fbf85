package signals

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// design is a way to divide a limit among VMs. rate returns what a VM may send a second, given what it
// and all VMs would send (per second, as last known).
type design struct {
	name string
	rate func(f *fleet, v *vm, e *server, own, all float64) float64
	// messages is how many messages of signalBytes each VM sends a second beside the limit's own.
	messages float64
}

// signalBytes is about what one signal takes in a datagram.
const signalBytes = 24

var designs = []design{
	{name: "equal shares", rate: func(f *fleet, _ *vm, e *server, _, _ float64) float64 {
		return e.limit.PerSecond / float64(len(f.vms))
	}},
	{name: "shares by demand", messages: 2, rate: func(_ *fleet, _ *vm, e *server, own, all float64) float64 {
		if all == 0 {
			return 0
		}
		return e.limit.PerSecond * own / all
	}},
	{name: "few holders", rate: func(f *fleet, v *vm, e *server, _, _ float64) float64 {
		m := loadshare.Membership{Registered: len(f.vms)}
		for _, o := range f.vms {
			m.Live = append(m.Live, loadshare.Member{Name: o.name, Zone: o.zone})
		}
		return shareOf(v.name, Hash(e.Endpoint), e.Zone, m, e.limit.PerSecond).perSecond
	}},
}

// demand are requests that a VM would have sent to one endpoint, by second.
type demand struct{ last, now float64 }

// play lets one limited endpoint of many be used for some time. Each VM would send it its part of the
// load; a VM that has something left sends it any request of its own.
func (d design) play(f *fleet, length time.Duration) (utilisation float64, most int) {
	e := f.endpoints[0]
	buckets := make([]bucket, len(f.vms))
	rates := make([]float64, len(f.vms))
	demands := make([]demand, len(f.vms))
	start := f.now
	for i, v := range f.vms {
		rates[i] = d.rate(f, v, e, v.perSecond, v.perSecond*float64(len(f.vms)))
		if rates[i] > 0 {
			buckets[i].empty(f.now, interval(rates[i]))
		}
	}
	const step = 5 * time.Millisecond
	for second := start; f.now.Sub(start) < length; f.now = f.now.Add(step) {
		if f.now.Sub(second) >= time.Second {
			second = f.now
			all := 0.0
			for i := range demands {
				demands[i] = demand{last: demands[i].now}
				all += demands[i].last
			}
			for i, v := range f.vms {
				rates[i] = d.rate(f, v, e, demands[i].last, all)
			}
		}
		for i, v := range f.vms {
			if f.random.Float64() >= v.perSecond*step.Seconds() {
				continue
			}
			demands[i].now++
			if rates[i] <= 0 || buckets[i].wait(f.now, interval(rates[i])) > 0 {
				continue
			}
			buckets[i].take(f.now, interval(rates[i]))
			e.arrivals = append(e.arrivals, f.now)
		}
	}
	allowed := e.limit.PerSecond * length.Seconds()
	return float64(len(e.arrivals)) / allowed, e.most(start, window)
}

// The design that is in use uses more of a small limit than the others where VMs are many, and stays
// within what endpoints tolerate; -v prints the comparison.
func TestDesignsOfShares(t *testing.T) {
	const perSecond, length = 4.0, 60 * time.Second
	t.Logf("%-18s %4s %6s %12s %10s %14s", "design", "VMs", "load", "utilisation", "most in 4s", "bytes/VM/s")
	for _, vms := range []int{4, 9, 83, 300} {
		used := map[string]float64{}
		for _, d := range designs {
			load := 22 * float64(vms)
			if vms > 16 {
				load = 3.4 * float64(vms)
			}
			f := newFleet(21, vms, 3, 1, load)
			f.limitAll(1, perSecond)
			utilisation, most := d.play(f, length)
			used[d.name] = utilisation
			bytes := d.messages*signalBytes*float64(min(vms-1, 15)) + signalBytes*float64(newsTimes)/confirmEvery.Seconds()
			t.Logf("%-18s %4d %6.0f %12.2f %10d %14.0f", d.name, vms, load, utilisation, most, bytes)
			if d.name == "few holders" && (most > tolerated(perSecond) || utilisation < 0.9) {
				t.Errorf("%d VMs: %.2f of the limit, %d in a window", vms, utilisation, most)
			}
		}
		if vms > 16 && used["few holders"] < used["equal shares"] {
			t.Errorf("%d VMs: %s", vms, fmt.Sprint(used))
		}
	}
}

// newsTimes is how often a VM receives each signal.
const newsTimes = 3
