package scaling

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/routes"
)

const (
	// maxServices bounds the services whose demand is recorded.
	maxServices = 32
	// maxObserved is the number of endpoints above which no demand is recorded: such a service has a
	// base beyond maxManagedBase, and reading the work of thousands of endpoints would cost time.
	maxObserved = 4 * maxManagedBase
)

// demandLog holds the recent demand of each scaled service. It is safe for concurrent use.
type demandLog struct {
	mu        sync.Mutex
	histories map[string]*history
}

// add records a demand. It returns false if too many services are recorded.
func (d *demandLog) add(now time.Time, service string, demand Demand) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.histories[service]
	if h == nil {
		if len(d.histories) >= maxServices {
			return false
		}
		if d.histories == nil {
			d.histories = map[string]*history{}
		}
		h = &history{}
		d.histories[service] = h
	}
	h.add(now, demand)
	return true
}

// retain removes the services that keep does not accept.
func (d *demandLog) retain(keep func(service string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service := range d.histories {
		if !keep(service) {
			delete(d.histories, service)
			dropDemand(service)
		}
	}
}

// forecast returns the forecast of a service.
func (d *demandLog) forecast(now time.Time, service *routes.Service) Forecast {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.histories[service.Name]; h != nil {
		return h.forecast(now, service.Scale.BootDuration)
	}
	return Forecast{}
}

// Watch records the demand of the scaled services until ctx ends. It runs on every VM, also while
// another one holds the lease.
func (s *Scaler) Watch(ctx context.Context) {
	if s.cfg.Demand == nil {
		return
	}
	for loop.Sleep(ctx, reconcileInterval) {
		if config := s.cfg.Services(); config != nil {
			s.observe(config)
		}
	}
}

// observe records one sample of the demand of each scaled service.
func (s *Scaler) observe(config *routes.Config) {
	scaled := map[string]bool{}
	for i := range config.Services {
		service := &config.Services[i]
		if service.Scale == nil || len(s.cfg.Directory.Snapshot().Service(service.Name)) > maxObserved {
			continue
		}
		scaled[service.Name] = true
		demand := s.cfg.Demand(service.Name)
		if !demand.Known {
			demandUnknown.Inc()
		}
		if s.demands.add(s.cfg.Now(), service.Name, demand) {
			setDemand(service.Name, demand)
		}
	}
	s.demands.retain(func(service string) bool { return scaled[service] })
}

// report logs a changed need, and updates the metrics of the targets.
func (s *Scaler) report(service string, p *Planner, before need, f Forecast, targets map[string]Count) {
	var sum Count
	for _, target := range targets {
		sum.Ordinary += target.Ordinary
		sum.Revocable += target.Revocable
	}
	if len(s.services) <= maxServices { // bounds the labels
		setTargets(service, sum)
	}
	if p.held == before {
		return
	}
	klog.InfoS("scaling: demand changed the target", "service", service, "base", p.base, "byDemand", f.Known,
		"prefill", f.Newest.Prefill, "decode", f.Newest.Decode, "either", f.Newest.Either, "plain", f.Newest.Plain,
		"sustainedPrefill", f.Sustained.Prefill, "sustainedDecode", f.Sustained.Decode, "sustainedEither", f.Sustained.Either, "sustainedPlain", f.Sustained.Plain,
		"peakPrefill", f.Peak.Prefill, "peakDecode", f.Peak.Decode, "peakEither", f.Peak.Either, "peakPlain", f.Peak.Plain,
		"total", p.held.total, "reserve", p.held.reserve, "totalBefore", before.total, "reserveBefore", before.reserve,
		"ordinary", sum.Ordinary, "revocable", sum.Revocable)
}

// clearTargets removes the targets of an ended tenure from the metrics.
func (s *Scaler) clearTargets() {
	for service := range s.services {
		dropTargets(service)
	}
}
