package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/duties/scaling"
	"github.com/springweir/springweir/duties/usage"
	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/origin"
	"github.com/springweir/springweir/quota"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

// listDuties returns the duties that this VM carries out while it holds the lease.
func (g *Gateway) listDuties(now func() time.Time) []duties.Duty {
	list := []duties.Duty{g.roles}
	if g.usage != nil {
		list = append(list, usage.NewReporter(usage.Config{
			VM: g.settings.VM, Rows: g.platform.Rows, Ledger: g.usage, Replicas: usage.NewClient(g.network, g.usageReplicas),
			Platform: g.platform.Usage, EpochSince: g.platform.EpochSince, OrganisationNames: g.state.organisationNames.byHash,
			Tolerance: g.settings.Duties.UsageTolerance, WindowLength: g.settings.Duties.UsageWindow, ReportWithin: g.settings.Duties.UsageLate, WallClock: now,
		}))
	}
	if g.settings.Duties.Scaling {
		g.scaler = g.newScaler()
		list = append(list, g.scaler)
	}
	return list
}

// newScaler returns the duty that orders endpoints.
func (g *Gateway) newScaler() *scaling.Scaler {
	c := scaling.Config{VM: g.settings.VM, Rows: g.platform.Rows, Directory: g.directory, Services: g.state.config.Load, Platform: g.platform.Scaling}
	if g.settings.Duties.ScaleByDemand {
		c.Demand = g.demand
	}
	return scaling.New(c)
}

// demand returns the work that all VMs have in flight at a service. A VM without others needs no
// reports.
func (g *Gateway) demand(service string) scaling.Demand {
	d := g.planner.Demand(service)
	d.Known = d.Known || len(g.roster.Others()) == 0
	return d
}

// finalUsageDelay is how long this process keeps sending its final counts to the other VMs: a few
// rounds of datagrams.
const finalUsageDelay = 100 * time.Millisecond

// closeUsage announces to the other VMs that this process counts no further requests, so that no
// report waits for it.
func (g *Gateway) closeUsage() {
	if g.usage == nil {
		return
	}
	g.usage.Close()
	time.Sleep(finalUsageDelay)
}

// usageReplicas returns the addresses of the VMs that hold replicas of usage accounts.
func (g *Gateway) usageReplicas() []string {
	var addresses []string
	for _, p := range g.exchange.UsageReplicas() {
		addresses = append(addresses, p.Address.String())
	}
	return addresses
}

// peerHandler serves the requests of other VMs.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", feedshare.Handler(g.configs, g.endpoints, g.vms, g.verdicts))
	mux.Handle(quota.PathPrefix, g.quota.Handler())
	mux.Handle(origin.PathPrefix, g.origins.Handler())
	if g.usage != nil {
		mux.Handle(usage.PathPrefix, usage.Handler(g.usage))
	}
	return g.servePeer(mux)
}

// meter returns the counter of requests for usage reports, or nil if no usage is reported.
func (g *Gateway) meter() relay.Meter {
	if g.usage == nil {
		return nil
	}
	return usageMeter{g.usage}
}

// usageMeter implements relay.Meter. Requests without an organisation, on open routes, are not
// counted.
type usageMeter struct{ ledger *usage.Ledger }

// Began implements relay.Meter.
func (m usageMeter) Began(r *relay.Request) {
	if r.Organisation != nil {
		m.ledger.RequestStarted(r.Organisation.Name)
	}
}

// Sent implements relay.Meter.
func (m usageMeter) Sent(r *relay.Request) func(bool) {
	if r.Organisation == nil {
		return func(bool) {}
	}
	return m.ledger.RequestSent(r.Organisation.Name).Finish
}

// organisationNames maps hashes to the names of all organisations configured since the process
// started. Requests are reported some time after they ran, when the current configuration may no
// longer contain their organisation.
type organisationNames struct {
	mu    sync.Mutex
	names map[uint64]string
}

// record adds the organisations of a configuration.
func (n *organisationNames) record(c *routes.Config) {
	if c.Organisations == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	merged := make(map[uint64]string, len(n.names))
	for hash, name := range n.names {
		merged[hash] = name
	}
	for _, o := range c.Organisations.Organisations() {
		merged[usage.Hash(o.Name)] = o.Name
	}
	n.names = merged
}

// byHash returns the names by hash. The caller must not modify the map.
func (n *organisationNames) byHash() map[uint64]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names
}
