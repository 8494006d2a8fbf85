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

// clients holds one client for each endpoint of the zone. It is safe for
// concurrent use; mu is a leaf.
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

// engine returns the client of an engine, made when first asked for. An
// endpoint whose address changed gets a new client; streams on the old one go on.
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

// service returns the client of a service endpoint, like engine.
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

// retain drops the clients of endpoints that are no longer named.
func (c *clients) retain(named map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.engines {
		if !named[name] {
			delete(c.engines, name)
		}
	}
	for name := range c.services {
		if !named[name] {
			delete(c.services, name)
		}
	}
}

// serviceLeavingFor is how long a service that said it is leaving gets no new
// work. Services have no incarnations, so after it one call finds out whether
// the service came back.
const serviceLeavingFor = time.Minute

// The incarnations under which a service's own word is kept.
const (
	incarnationLeaving = "leaving"
	incarnationBack    = "back"
)

// noteServiceLeaving records that a service's answer said its endpoint leaves,
// and tells the zone's other entries, which may have no call there soon.
func (d *common) noteServiceLeaving(endpoint string) {
	if !d.leave.Record(endpoint, incarnationLeaving, true) {
		return
	}
	klog.Infof("entry: service endpoint %s says it is leaving", endpoint)
	go d.announce(context.Background(), endpoint, incarnationLeaving)
}

// serviceWords holds since when service endpoints have been leaving by their own
// word, whether it was given to this entry or to another one of the zone. It
// belongs to the owner of a lock.
type serviceWords map[string]time.Duration

// expire ends the word of an endpoint after serviceLeavingFor.
func (words serviceWords) expire(d *common, endpoint string) {
	signal, leaves := d.leave.Leaving(endpoint)
	if !leaves || signal != leaving.SignalEndpoint {
		delete(words, endpoint)
		return
	}
	now := d.now()
	since, known := words[endpoint]
	switch {
	case !known:
		words[endpoint] = now
	case now-since >= serviceLeavingFor:
		delete(words, endpoint)
		d.leave.Record(endpoint, incarnationBack, false)
	}
}
