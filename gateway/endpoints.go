package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

const (
	// expiryGrace is how long an endpoint stays in use after its row was found missing following an
	// outage of the store: a live endpoint rewrites its row within about two seconds.
	expiryGrace = 2 * time.Second
	// expiryMargin is how long before ContactWithin such an endpoint is removed at the latest: a request
	// that was just sent takes as long to arrive.
	expiryMargin = 200 * time.Millisecond
)

// followEndpoints keeps the directory up to date with the table of endpoints until ctx ends.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := &table.Follower{
		Feed:  g.endpoints,
		Table: g.platform.Endpoints,
		OnList: func(rows []table.Row, listing table.Listing) {
			firstListing := !g.state.endpointsListed.Load()
			g.applyEndpointList(rows, listing)
			g.origins.SetCurrent(true)
			if firstListing {
				g.queryCaches(ctx)
			}
		},
		OnChanges: g.applyEndpointChanges,
		OnUnavailable: func(err error) {
			g.origins.SetCurrent(false)
			klog.InfoS("gateway: endpoints cannot be followed, keeping the known ones", "err", err)
		},
		OnRecovered: func(outage time.Duration) {
			g.origins.SetCurrent(true)
			klog.InfoS("gateway: endpoints are followed again after an outage", "away", outage)
		},
	}
	f.Run(ctx)
}

// applyEndpointList applies a complete listing of the table.
func (g *Gateway) applyEndpointList(rows []table.Row, listing table.Listing) {
	registrations := make([]directory.Registration, 0, len(rows))
	var malformed []string
	for _, row := range rows {
		if r, ok := g.decodeEndpoint(row); ok {
			registrations = append(registrations, r)
		} else {
			malformed = append(malformed, row.Key.Row)
		}
	}
	var expired []string
	var disputed []directory.Registration
	if listing.NewEpoch {
		expired, disputed = g.directory.ReplaceFromRestore(registrations)
	} else {
		expired = g.directory.Replace(registrations, listing.AfterOutage)
	}
	if len(malformed) > 0 {
		g.directory.Remove(malformed...)
	}
	g.scheduleExpiry(expired, listing.AfterOutage)
	g.scheduleResolution(disputed)
	g.state.endpointsListed.Store(true)
	klog.InfoS("gateway: endpoints read", "count", len(registrations), "afterOutage", listing.AfterOutage, "newEpoch", listing.NewEpoch)
}

// applyEndpointChanges applies changes in order. Consecutive registrations are batched: building a
// snapshot takes time proportional to the number of endpoints, and thousands register one after the
// other when a large fleet starts.
func (g *Gateway) applyEndpointChanges(changes []table.Change, afterOutage bool) {
	var expired []string
	var puts []directory.Registration
	for _, c := range changes {
		r, valid := directory.Registration{}, false
		if !c.Deleted {
			r, valid = g.decodeEndpoint(c.Row)
		}
		g.recordDrainDelay(c, r.Draining)
		if valid {
			puts = append(puts, r)
			continue
		}
		g.putEndpoints(puts)
		puts = nil
		id := c.Row.Key.Row
		if c.Deleted && afterOutage {
			g.directory.MarkExpired(id)
			expired = append(expired, id)
			continue
		}
		g.directory.Remove(id)
		klog.InfoS("gateway: endpoint deregistered", "endpoint", id, "version", c.Row.Version.String())
	}
	g.putEndpoints(puts)
	g.scheduleExpiry(expired, afterOutage)
}

// recordDrainDelay records the time between a drain and its arrival at this VM. Only the first sign
// of the drain counts: an endpoint that has announced that it is leaving is deregistered later.
func (g *Gateway) recordDrainDelay(c table.Change, draining bool) {
	previous := g.directory.Snapshot().Endpoint(c.Row.Key.Row)
	if previous == nil || !previous.Usable() || !draining && !c.Deleted || c.NotBefore.IsZero() {
		return
	}
	age := clock.Since(c.NotBefore)
	drainDelay.Update(age.Seconds())
	klog.InfoS("gateway: endpoint draining", "endpoint", c.Row.Key.Row, "version", c.Row.Version.String(), "deleted", c.Deleted, "ageAtMostMS", age.Milliseconds())
}

func (g *Gateway) putEndpoints(registrations []directory.Registration) {
	if len(registrations) > 0 {
		logEndpoints(registrations)
		g.directory.Put(registrations...)
	}
}

// replacementTime is how long after a crash the endpoint is expected back. Its new row is then read
// without delay, since a small group may have no other endpoint left.
const replacementTime = 5 * time.Second

// expediteReplacement is called when an endpoint was found down.
func (g *Gateway) expediteReplacement() { g.endpoints.Expedite(replacementTime) }

// maxLoggedRegistrations bounds the registrations that are logged one by one when several arrive
// together: thousands do when a fleet starts.
const maxLoggedRegistrations = 20

func logEndpoints(registrations []directory.Registration) {
	for _, r := range registrations[:min(len(registrations), maxLoggedRegistrations)] {
		logEndpoint(r)
	}
	if more := len(registrations) - maxLoggedRegistrations; more > 0 {
		klog.InfoS("gateway: more endpoints registered", "count", more, "version", registrations[len(registrations)-1].Version.String())
	}
}

func logEndpoint(r directory.Registration) {
	klog.InfoS("gateway: endpoint registered", "endpoint", r.ID, "born", r.StartedAt, "service", r.Service, "address", r.Address,
		"zone", r.Zone, "draining", r.Draining, "role", r.Role, "software", r.SoftwareVersion, "version", r.Version.String())
}

// decodeEndpoint decodes a registration. Callers must remove the endpoint of a malformed row: the
// row may come from another writer, so even the previously known address cannot be trusted. The
// next heartbeat of a live endpoint repairs the row.
func (g *Gateway) decodeEndpoint(row table.Row) (directory.Registration, bool) {
	r, err := g.platform.DecodeEndpoint(row)
	if err != nil {
		malformedEndpoints.Inc()
		klog.ErrorS(err, "gateway: malformed endpoint row, endpoint gets no requests", "endpoint", row.Key.Row, "version", row.Version.String())
	}
	return r, err == nil
}

// disputeHeartbeats is the number of endpoint heartbeats during which rows of a restored store that
// contradict known state are ignored. A live endpoint rewrites its row within one heartbeat, and
// the store drops the row of a dead one after three; the rest allows for a slow store and slow
// propagation.
const disputeHeartbeats = 5

// scheduleResolution accepts rows of a restored store that are older than the known state, once the
// endpoints have had time to rewrite theirs.
func (g *Gateway) scheduleResolution(rows []directory.Registration) {
	if len(rows) == 0 {
		return
	}
	klog.InfoS("gateway: restored store holds older endpoint rows, keeping the known state for now", "endpoints", idsOf(rows))
	time.AfterFunc(disputeHeartbeats*g.settings.EndpointHeartbeat, func() {
		if resolved := g.directory.ResolveDisputed(rows); len(resolved) > 0 {
			klog.InfoS("gateway: endpoint rows of the restored store accepted", "endpoints", resolved)
		}
	})
}

func idsOf(rows []directory.Registration) []string {
	ids := make([]string, len(rows))
	for i, r := range rows {
		ids[i] = r.ID
	}
	return ids
}

// scheduleExpiry removes endpoints whose rows are still missing after the grace period. They may be missing after an
// outage of the store, or because it was restored from a backup without one.
func (g *Gateway) scheduleExpiry(ids []string, afterOutage bool) {
	if len(ids) == 0 {
		return
	}
	since := clock.Now()
	grace := expiryGrace
	if afterOutage {
		grace = missingGrace(since, g.endpoints.UnansweredAt(), g.settings.ContactWithin)
	}
	klog.InfoS("gateway: endpoints missing after a store outage, kept for a grace period", "endpoints", ids, "graceMS", grace.Milliseconds())
	time.AfterFunc(grace, func() {
		if removed := g.directory.RemoveExpired(ids, since); len(removed) > 0 {
			klog.InfoS("gateway: endpoints removed", "endpoints", removed)
		}
	})
}

// missingGrace returns how long endpoints whose rows are missing after an outage stay in use. The outage ended after
// unansweredAt. It may have been this VM's own, and the endpoints may have left as it ended, so they are removed before
// the VM must be up to date again.
func missingGrace(now, unansweredAt time.Time, contactWithin time.Duration) time.Duration {
	if unansweredAt.IsZero() {
		return expiryGrace
	}
	return max(0, min(expiryGrace, unansweredAt.Add(contactWithin-expiryMargin).Sub(now)))
}
