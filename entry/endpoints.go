package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/service"
)

// clients holds one client per endpoint of the zone. It is safe for concurrent use; mu is a
// leaf lock.
type clients struct {
	network network.Network

	mu       sync.Mutex
	engines  map[string]*engineClient
	services map[string]*serviceClient
}

type engineClient struct {
	address string
	*engine.Client
}

type serviceClient struct {
	address string
	*service.Client
}

func newClients(n network.Network) *clients {
	return &clients{network: n, engines: map[string]*engineClient{}, services: map[string]*serviceClient{}}
}

// engine returns the client of an engine, and creates it on first use. An endpoint whose
// address changed gets a new client; open streams continue on the old one.
func (c *clients) engine(name, address string) *engineClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[name]
	if e == nil || e.address != address {
		e = &engineClient{address: address, Client: engine.NewClient(engine.Options{Address: address, Dial: c.network.Dial})}
		c.engines[name] = e
	}
	return e
}

// service returns the client of a service endpoint, with the same rules as engine.
func (c *clients) service(name, address string) *serviceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil || s.address != address {
		s = &serviceClient{address: address, Client: service.NewClient(service.Options{Address: address, Dial: c.network.Dial})}
		c.services[name] = s
	}
	return s
}

// retain drops the clients of all endpoints that are not in listed.
func (c *clients) retain(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.engines {
		if !listed[name] {
			delete(c.engines, name)
		}
	}
	for name := range c.services {
		if !listed[name] {
			delete(c.services, name)
		}
	}
}

// serviceLeavingTTL is how long a service endpoint that reported that it is leaving gets no
// new work. Services have no incarnations, so one call after this time finds out whether
// the service is available again.
const serviceLeavingTTL = time.Minute

// Incarnations under which the leaving state reported by a service endpoint is recorded.
const (
	incarnationLeaving = "leaving"
	incarnationBack    = "back"
)

// recordServiceLeaving records that a service endpoint reported in a response that it is
// leaving. It also informs the zone's other entries, which may not call that endpoint soon.
func (c *common) recordServiceLeaving(endpoint string) {
	if !c.leavingSet.Record(endpoint, incarnationLeaving, true) {
		return
	}
	klog.Infof("entry: service endpoint %s reported that it is leaving", endpoint)
	go c.announce(context.Background(), endpoint, incarnationLeaving)
}

// serviceLeavingTimes holds the time since which each service endpoint has been leaving,
// whether it reported this to this entry or to another entry of the zone. Access is guarded
// by the owner's lock.
type serviceLeavingTimes map[string]time.Duration

// expire clears the leaving state of an endpoint after serviceLeavingTTL.
func (times serviceLeavingTimes) expire(c *common, endpoint string) {
	signal, isLeaving := c.leavingSet.Leaving(endpoint)
	if !isLeaving || signal != leaving.SignalEndpoint {
		delete(times, endpoint)
		return
	}
	now := c.now()
	since, recorded := times[endpoint]
	switch {
	case !recorded:
		times[endpoint] = now
	case now-since >= serviceLeavingTTL:
		delete(times, endpoint)
		c.leavingSet.Record(endpoint, incarnationBack, false)
	}
}
