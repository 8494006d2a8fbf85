// Package entry implements the data path of an entry VM. It receives callers' requests,
// routes them, forwards them to endpoints of its availability zone and streams the
// responses back. It connects the packages that do this work.
//
// No part of the control path (leases, orders, plans) runs here, so killing, pausing or
// upgrading a controller interrupts no stream.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/settings/tuning"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/withhold"
)

// Platform holds the services that the platform provides.
type Platform struct {
	Rows    table.Service
	Objects object.Store
	Members membership.List
}

// maxPrefixPairs bounds the view of the zone's prefix caches, in pairs of block and engine.
// A pair takes about 16 bytes.
const maxPrefixPairs = 1 << 20

// reservationExpiry is the age at which a reservation that no load report has confirmed is
// assumed to be included in the reports. It is well above the lag of reports.
const reservationExpiry = 5 * time.Second

// cleanInterval is the interval at which the zone's cleaner examines 1,000 claims.
const cleanInterval = time.Minute

// Entry is one entry process, with its listeners, servers and background loops.
type Entry struct {
	network  network.Network
	process  *settings.Process
	platform Platform

	cat        *catalogue
	leavingSet *leaving.Set
	gate       *withhold.Gate
	member     *contact.Member
	applier    *rollout.Applier
	syncer     *rollout.Syncer
	exchanger  *peer.Exchanger
	server     *peer.Server
	common     *common
	upstreams  *upstreams
	specs      *specRefresher
	limits     *admission.Limits
	cleaner    *claim.Cleaner
	reports    *reports
	handler    atomic.Pointer[caller.Handler]
	// stopping is set once the health check fails deliberately; refusing is set once
	// requests forwarded by entries of other zones are rejected.
	stopping, refusing atomic.Bool
	requests           requestCount
	warmup             warmup

	listeners listeners
}

// listeners holds the listening sockets of a process.
type listeners struct{ callers, peers, metrics net.Listener }

// New binds the listening addresses and wires the process. Errors come from package net.
func New(p *settings.Process, platform Platform) (*Entry, error) {
	return NewWithNetwork(network.TCP(), p, platform)
}

// NewWithNetwork is like New but uses the given network.
func NewWithNetwork(n network.Network, p *settings.Process, platform Platform) (*Entry, error) {
	e := &Entry{network: n, process: p, platform: platform, cat: &catalogue{}, leavingSet: leaving.NewSet()}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.gate = withhold.NewGate(e.leavingSet)
	e.member = contact.NewMember(p.Zone, p.VM, e.applyRoster)
	e.gate.SetPermit(e.member)
	e.applier = rollout.NewApplier(e.applyDocument)
	e.wireRequests()
	e.wirePeers()
	return e, nil
}

func (e *Entry) listen() error {
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{
		{&e.listeners.callers, e.process.Callers},
		{&e.listeners.peers, e.process.Peers},
		{&e.listeners.metrics, e.process.Metrics},
	} {
		bound, err := e.network.Listen(l.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = bound
	}
	return nil
}

// wireRequests wires the request path.
func (e *Entry) wireRequests() {
	e.common = &common{
		start:      clock.Now(),
		cat:        e.cat,
		store:      fleet.NewStore(e.process.Zone, fleet.NewMatchedLedger(reservationExpiry), prefix.NewViews(maxPrefixPairs)),
		gate:       e.gate,
		member:     e.member,
		leavingSet: e.leavingSet,
		clients:    newClients(e.network),
	}
	e.cat.store = e.common.store
	e.common.zones = newRemoteZones(e.process.Zone, e.network, e.common.now)
	e.common.demand = newDemandTracker(e.common.now, e.cat.poolOf)
	e.limits = admission.NewLimits(admission.DefaultLimits(), e.organisationLimit)
	claims := e.claims()
	e.cleaner = claim.NewCleaner(claims)
	e.upstreams = newUpstreams(e.common, e.limits, claims)
	e.specs = &specRefresher{common: e.common, upstreams: e.upstreams, serviceLeaving: serviceLeavingTimes{}}
}

func (e *Entry) claims() *claim.Store {
	return claim.NewStore(claim.Config{
		Table:            table.NewBatcher(e.platform.Rows, table.BatcherConfig{}),
		Objects:          e.platform.Objects,
		Owner:            e.process.VM,
		ServiceRetention: e.cat.claimRetention,
	})
}

// cleansClaims reports whether this entry cleans up claims: one entry of each zone does.
func (e *Entry) cleansClaims() bool {
	return share.Rank(e.member.Roster(), e.member.Name(), claim.Table) == 0
}

// cleanClaims deletes expired claims until ctx ends.
func (e *Entry) cleanClaims(ctx context.Context) { e.cleaner.Run(ctx, cleanInterval, e.cleansClaims) }

// wirePeers wires the communication between the zone's VMs.
func (e *Entry) wirePeers() {
	reportStore := share.NewReportStore(e.process.VM)
	e.server = peer.NewServer(peer.ServerConfig{
		Instance: newInstance(),
		Member:   e.member,
		Applier:  e.applier,
		Gate:     e.gate,
		Reports:  reportStore,
		Leaving:  e.leavingSet,
	})
	client := peer.NewClient(e.server, e.network.ApplyTo(peer.NewTransport()))
	store := rollout.NewStore(e.platform.Rows, e.platform.Objects)
	e.syncer = rollout.NewSyncer(e.member, e.applier, store, e.platform.Rows, client, e.advertisedAddress(), writeID)
	e.exchanger = peer.NewExchanger(e.member, e.syncer, client, e.process.Seeds)
	e.common.announce = e.exchanger.AnnounceLeaving
	e.reports = newReports(e.common, e.upstreams, reportStore)
}

func (e *Entry) advertisedAddress() string {
	if e.process.Advertise != "" {
		return e.process.Advertise
	}
	return e.listeners.peers.Addr().String()
}

// newInstance returns a non-zero number that is unique for each start of the process.
func newInstance() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// writeID returns a new ID for a table write.
func writeID() string { return rand.Text() }

// applyDocument makes a version of the settings tree effective for all requests received
// after it returns. It is the callback of rollout.Applier.
func (e *Entry) applyDocument(doc rollout.Document) error {
	tree, err := settings.ParseTree("version", doc.Text)
	if err != nil {
		return err
	}
	v := newConfigView(doc.Version, tree, e.process.Zone)
	e.upstreams.applyView(v)
	e.cat.current.Store(v)
	e.leavingSet.SetTree(drainedInTree(v))
	e.specs.refresh()
	e.handler.Store(caller.NewHandler(caller.Config{
		Organisations: e.cat,
		Catalogue:     e.cat,
		Forwarder:     e.upstreams,
		Hasher:        hasher{},
		Limits:        v.maxLimits,
	}))
	return nil
}

// hasher computes the same prefix hashes as the engines.
type hasher struct{}

// Hashes implements caller.Hasher.
func (hasher) Hashes(namespace, prompt string) []uint64 { return prefix.Hashes(namespace, prompt) }

func drainedInTree(v *configView) []string {
	var names []string
	for _, e := range v.endpoints() {
		if e.Leaving() {
			names = append(names, e.Name)
		}
	}
	return names
}

// applyRoster applies a roster to the gate. contact.Member calls it with its lock held.
func (e *Entry) applyRoster(r contact.Roster) { e.gate.ApplyRoster(r) }

func (e *Entry) organisationLimit(name string) admission.OrganisationLimit {
	org, _ := e.cat.organisation(name)
	return tuning.Organisation(org)
}

// ServeHTTP serves a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := e.handler.Load()
	if handler == nil {
		caller.WriteFailure(w, r, newWorkForbidden(&contact.UnconfirmedError{Status: contact.NotJoined}))
		return
	}
	e.requests.begin()
	defer e.requests.end()
	handler.ServeHTTP(w, r)
}

// Run serves until ctx ends and then performs a planned stop: the health check fails, the
// load balancer gets BalancerDelay to react, open requests get up to StopGrace to finish,
// and the VM leaves its zone's roster. A failed listener causes the same stop, and its
// error, from package net, is returned.
func (e *Entry) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	g, failed := errgroup.WithContext(context.Background())
	for _, loop := range e.loops() {
		g.Go(func() error {
			loop(background)
			return nil
		})
	}
	servers := e.serve(g)
	klog.Infof("entry: %s in zone %s accepts requests on %s", e.process.VM, e.process.Zone, e.listeners.callers.Addr())
	select {
	case <-ctx.Done():
	case <-failed.Done():
		klog.Errorf("entry: a listener failed, stopping")
	}
	e.stop(servers)
	stopBackground()
	servers.close()
	return g.Wait()
}

// loops returns the background loops.
func (e *Entry) loops() []func(context.Context) {
	return []func(context.Context){
		e.syncer.RunTable,
		e.exchanger.Run,
		e.reports.Run,
		e.watchMembers,
		e.specs.run,
		e.pollZones,
		e.cleanClaims,
		(&prober{common: e.common, upstreams: e.upstreams}).run,
		func(ctx context.Context) { e.member.Run(ctx.Done()) },
	}
}

// pollZones keeps the store's summaries of the other zones up to date.
func (e *Entry) pollZones(ctx context.Context) {
	e.common.zones.Run(ctx, func(zones []fleet.ZoneSummary) {
		e.common.store.SetZones(zones, len(e.member.Roster().VMs))
	})
}
