package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// sampledEndpoints is the number of endpoints to which a VM connects at once to learn whether it reaches
	// any.
	sampledEndpoints = 8
	// maxSampledEndpoints bounds all endpoints to which it connects if those before have refused. After the
	// loss of a rack most of a zone may be down.
	maxSampledEndpoints = 64
	// failedCheckTTL is how long a VM that reached none of them counts as cut off.
	failedCheckTTL = time.Second
)

// zoneCheck is the last check of whether this VM reaches any endpoint of a zone.
type zoneCheck struct {
	startedAt, endedAt time.Time
	works              bool
}

// Works reports whether this VM reaches other endpoints of the zone of e, to which it could not connect,
// or of any zone if there are none. If it does not, its failed connections say nothing about the
// endpoints. A VM that knows no other endpoint takes its way to be open.
//
// If all endpoints of the zone refuse connections, they may all have crashed. This VM works then if it
// reaches endpoints of other zones and VMs of this one: it is cut off neither from all endpoints nor from
// the zone.
func (c *Client) Works(ctx context.Context, e *directory.Endpoint) bool {
	asked := clock.Now()
	select {
	case c.working <- struct{}{}:
		defer func() { <-c.working }()
	case <-ctx.Done():
		return false
	}
	if known, works := c.lastCheck(e.Zone, asked); known {
		return works
	}
	sameZone, others := c.samples(e)
	if len(sameZone) == 0 {
		sameZone, others = others, nil
	}
	if len(sameZone) == 0 {
		return true
	}
	return c.check(ctx, e.Zone, sameZone, others)
}

// lastCheck returns the result of the last check of a zone if it still counts: one that has begun since
// a time, or that has just failed.
func (c *Client) lastCheck(zone string, since time.Time) (known, works bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.checks[zone]
	return last.startedAt.After(since) || last.failed(clock.Now()), last.works
}

// failed reports whether the check has failed a moment ago.
func (z zoneCheck) failed(now time.Time) bool {
	return !z.works && !z.endedAt.IsZero() && now.Sub(z.endedAt) < failedCheckTTL
}

// cutOff reports whether this VM has reached no endpoint of a zone. The caller holds mu.
func (c *Client) cutOff() bool {
	now := clock.Now()
	for _, check := range c.checks {
		if check.failed(now) {
			return true
		}
	}
	return false
}

// samples returns some random endpoints of the zone of e and some of others, without e and those that are
// known to be down. The endpoint of the zone to which a connection was last opened comes first.
func (c *Client) samples(e *directory.Endpoint) (sameZone, others []*directory.Endpoint) {
	snapshot := c.cfg.Endpoints()
	for _, other := range snapshot.All() {
		switch {
		case other.ID == e.ID:
		case other.Zone == e.Zone:
			sameZone = append(sameZone, other)
		default:
			others = append(others, other)
		}
	}
	sameZone, others = c.sampleUp(sameZone), c.sampleUp(others)
	last := c.lastConnected(e.Zone)
	if last == nil || last.ID == e.ID || snapshot.Endpoint(last.ID) == nil || c.cfg.Down(last) {
		return sameZone, others
	}
	sameZone = slices.DeleteFunc(sameZone, func(other *directory.Endpoint) bool { return other == last })
	return slices.Insert(sameZone, 0, last), others
}

// sampleUp returns some of the endpoints that are not known to be down, at random. It changes the order of
// list.
func (c *Client) sampleUp(list []*directory.Endpoint) []*directory.Endpoint {
	var sample []*directory.Endpoint
	for i := range list {
		if len(sample) == maxSampledEndpoints {
			break
		}
		j := i + rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if !c.cfg.Down(list[i]) {
			sample = append(sample, list[i])
		}
	}
	return sample
}

func (c *Client) lastConnected(zone string) *directory.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected[zone]
}

// check connects to a sample of the endpoints of a zone, and of others if that is conclusive too.
// It reports whether an endpoint was reached. If not, the paths to the endpoints of the zone are broken.
func (c *Client) check(ctx context.Context, zone string, sameZone, others []*directory.Endpoint) bool {
	started := clock.Now()
	reached, failed := c.connectAny(ctx, sameZone)
	if reached == nil && allRefused(failed) && c.inContactWith(zone) {
		reached, _ = c.connectAny(ctx, others)
	}
	if reached != nil {
		c.recordCheck(zone, zoneCheck{startedAt: started, works: true})
		c.recordOpen(reached)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	klog.InfoS("reach: no endpoint is reached directly", "zone", zone, "tried", len(failed)+1)
	c.recordCheck(zone, zoneCheck{startedAt: started})
	for _, f := range failed {
		c.recordBroken(f.endpoint, f.err)
	}
	return false
}

// failedConnect is a connection to an endpoint that could not be opened.
type failedConnect struct {
	endpoint *directory.Endpoint
	err      error
}

// connectAny connects to sampledEndpoints at a time, until one is reached or does not refuse the connection. It
// returns the first one reached, or the failures.
func (c *Client) connectAny(ctx context.Context, list []*directory.Endpoint) (reached *directory.Endpoint, failed []failedConnect) {
	for batch := range slices.Chunk(list, sampledEndpoints) {
		reached, failures := c.connectBatch(ctx, batch)
		if reached != nil {
			return reached, nil
		}
		failed = append(failed, failures...)
		if !allRefused(failures) {
			break
		}
	}
	return nil, failed
}

// connectBatch connects to all endpoints at once and returns the first one reached, or the failures of all.
func (c *Client) connectBatch(ctx context.Context, list []*directory.Endpoint) (reached *directory.Endpoint, failed []failedConnect) {
	results := make(chan failedConnect, len(list))
	for _, e := range list {
		go func() { results <- failedConnect{e, c.cfg.Direct.Connect(ctx, e)} }()
	}
	for range list {
		r := <-results
		if r.err == nil {
			return r.endpoint, nil
		}
		failed = append(failed, r)
	}
	return nil, failed
}

// allRefused reports whether each endpoint has refused the connection.
func allRefused(failed []failedConnect) bool {
	return !slices.ContainsFunc(failed, func(f failedConnect) bool { return !errors.Is(f.err, unix.ECONNREFUSED) })
}

// inContactWith reports whether this VM belongs to a zone or is in contact with a VM that does.
func (c *Client) inContactWith(zone string) bool {
	return zone == c.cfg.Zone || slices.ContainsFunc(c.responsiveVMs(), func(vm VM) bool { return vm.Zone == zone })
}

func (c *Client) recordCheck(zone string, check zoneCheck) {
	check.endedAt = clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks[zone] = check
}
