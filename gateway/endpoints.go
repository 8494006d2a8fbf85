package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// expiryGrace is how long an endpoint whose row was found missing after an outage
// of the store is still used: a live one writes its row again within about two
// seconds.
const expiryGrace = 2 * time.Second

// followEndpoints keeps the directory.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := &table.Follower{
		Feed:  g.endpoints,
		Table: g.platform.Endpoints,
		OnList: func(rows []table.Row, listing table.Listing) {
			first := !g.state.endpointsListed.Load()
			g.applyEndpointList(rows, listing)
			if first {
				g.queryCaches(ctx)
			}
		},
		OnChanges: g.applyEndpointChanges,
		OnLost: func(err error) {
			klog.InfoS("gateway: endpoints cannot be followed, the known ones stay", "err", err)
		},
		OnRegained: func(outage time.Duration) {
			klog.InfoS("gateway: endpoints are followed again", "away", outage)
		},
	}
	f.Run(ctx)
}

// applyEndpointList takes in the whole table.
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
	g.scheduleExpiry(expired)
	g.scheduleResolution(disputed)
	g.state.endpointsListed.Store(true)
	klog.InfoS("gateway: endpoints read", "count", len(registrations), "afterOutage", listing.AfterOutage, "newEpoch", listing.NewEpoch)
}

// applyEndpointChanges takes in changes, in their order. Registrations that follow each
// other are put together: each new picture of the endpoints costs their number, and at
// the start of a large fleet thousands register one after the other.
func (g *Gateway) applyEndpointChanges(changes []table.Change, afterOutage bool) {
	var lapsed []string
	var puts []directory.Registration
	for _, c := range changes {
		r, valid := directory.Registration{}, false
		if !c.Deleted {
			r, valid = g.decodeEndpoint(c.Row)
		}
		g.recordDrainDelay(c, r.Draining)
		if valid {
			logEndpoint(r)
			puts = append(puts, r)
			continue
		}
		g.putEndpoints(puts)
		puts = nil
		id := c.Row.Key.Row
		if c.Deleted && afterOutage {
			g.directory.MarkExpired(id)
			lapsed = append(lapsed, id)
			continue
		}
		g.directory.Remove(id)
		klog.InfoS("gateway: endpoint gone", "endpoint", id, "version", c.Row.Version.String())
	}
	g.putEndpoints(puts)
	g.scheduleExpiry(lapsed)
}

// recordDrainDelay takes the time between a drain and its being known here. Only the first sign of
// it counts: an endpoint that has said that it leaves is gone later.
func (g *Gateway) recordDrainDelay(c table.Change, draining bool) {
	previous := g.directory.Snapshot().Endpoint(c.Row.Key.Row)
	if previous == nil || !previous.Usable() || !draining && !c.Deleted || c.NotBefore.IsZero() {
		return
	}
	age := clock.Since(c.NotBefore)
	drainDelay.Update(age.Seconds())
	klog.InfoS("gateway: endpoint drains", "endpoint", c.Row.Key.Row, "version", c.Row.Version.String(), "deleted", c.Deleted, "ageAtMostMS", age.Milliseconds())
}

func (g *Gateway) putEndpoints(list []directory.Registration) {
	if len(list) > 0 {
		g.directory.Put(list...)
	}
}

func logEndpoint(r directory.Registration) {
	klog.InfoS("gateway: endpoint registered", "endpoint", r.ID, "born", r.StartedAt, "service", r.Service, "address", r.Address,
		"zone", r.Zone, "draining", r.Draining, "role", r.Role, "version", r.Version.String())
}

// decodeEndpoint reads a registration. A row that cannot be understood names no
// endpoint: what it says may come from another writer, so that not even the address
// that was known before can be trusted. The next heartbeat of a live endpoint mends it.
func (g *Gateway) decodeEndpoint(row table.Row) (directory.Registration, bool) {
	r, err := g.platform.DecodeEndpoint(row)
	if err != nil {
		malformedEndpoints.Inc()
		klog.ErrorS(err, "gateway: endpoint not understood, it gets no work", "endpoint", row.Key.Row, "version", row.Version.String())
	}
	return r, err == nil
}

// disputeHeartbeats is for how many heartbeats of endpoints what a copy of the store says against what is
// known does not count. One that lives writes its row again within one, and the store drops the
// row of one that does not after three; the rest is for a store and for news that are slow.
const disputeHeartbeats = 5

// scheduleResolution lets rows of a copy count that are older than what was known, once the endpoints had the
// time to write theirs again.
func (g *Gateway) scheduleResolution(rows []directory.Registration) {
	if len(rows) == 0 {
		return
	}
	klog.InfoS("gateway: the copy of the store is older than what is known of endpoints, which stands", "endpoints", idsOf(rows))
	time.AfterFunc(disputeHeartbeats*g.settings.EndpointHeartbeat, func() {
		if resolved := g.directory.ResolveDisputed(rows); len(resolved) > 0 {
			klog.InfoS("gateway: endpoints are as the copy of the store says", "endpoints", resolved)
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

// scheduleExpiry drops endpoints once they had the time to write their rows again.
func (g *Gateway) scheduleExpiry(ids []string) {
	if len(ids) == 0 {
		return
	}
	klog.InfoS("gateway: endpoints missing after an outage, used a little longer", "endpoints", ids)
	since := clock.Now()
	time.AfterFunc(expiryGrace, func() {
		if removed := g.directory.RemoveExpired(ids, since); len(removed) > 0 {
			klog.InfoS("gateway: endpoints gone", "endpoints", removed)
		}
	})
}
