// Package entry is the data path of an entry VM: it takes callers' requests,
// decides where they go, sends them to endpoints of its availability zone and
// streams the answers back. It wires the packages that do the work.
//
// Nothing of the control path (leases, orders, plans) runs here, so a
// controller that is killed, paused or upgraded cuts no stream.
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

// Platform is what the platform gives.
type Platform struct {
	Rows    table.Service
	Objects object.Store
	Members membership.List
}

// prefixLimit bounds the view of the zone's prefix caches, in pairs of block
// and engine. A pair takes about 16 bytes.
const prefixLimit = 1 << 20

// reservationExpiry is when a reservation that no report has named counts as
// seen: well over the lag of reports.
const reservationExpiry = 5 * time.Second

// cleanInterval is how often the zone's cleaner looks at 1,000 claims.
const cleanInterval = time.Minute

// Entry is one entry process.
type Entry struct {
	network  network.Network
	process  *settings.Process
	platform Platform

	cat       *catalogue
	leave     *leaving.Set
	gate      *withhold.Gate
	member    *contact.Member
	applier   *rollout.Applier
	syncer    *rollout.Syncer
	exchanger *peer.Exchanger
	server    *peer.Server
	common    *common
	upstreams *upstreams
	specs     *specs
	limits    *admission.Limits
	cleaner   *claim.Cleaner
	reports   *reports
	handler   atomic.Pointer[caller.Handler]
	// stopping is set once the health check fails on purpose, refusing once
	// requests of other zones' entries are refused.
	stopping, refusing atomic.Bool
	requests           requestCount
	warmth             warmth

	listeners listeners
}

// listeners are the sockets of a process.
type listeners struct{ callers, peers, metrics net.Listener }

// New binds the addresses and wires the process. The error is of package net.
func New(p *settings.Process, platform Platform) (*Entry, error) {
	return NewWithNetwork(network.TCP(), p, platform)
}

// NewWithNetwork is New on a given network.
func NewWithNetwork(n network.Network, p *settings.Process, platform Platform) (*Entry, error) {
	e := &Entry{network: n, process: p, platform: platform, cat: &catalogue{}, leave: leaving.NewSet()}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.gate = withhold.NewGate(e.leave)
	e.member = contact.NewMember(p.Zone, p.VM, e.follow)
	e.gate.SetPermit(e.member)
	e.applier = rollout.NewApplier(e.put)
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

// wireRequests puts together the path of a request.
func (e *Entry) wireRequests() {
	e.common = &common{
		start:   clock.Now(),
		cat:     e.cat,
		store:   fleet.NewStore(e.process.Zone, fleet.NewMatchedLedger(reservationExpiry), prefix.NewViews(prefixLimit)),
		gate:    e.gate,
		member:  e.member,
		leave:   e.leave,
		clients: newClients(e.network),
	}
	e.cat.store = e.common.store
	e.common.zones = newZoneBook(e.process.Zone, e.network, e.common.now)
	e.common.expected = newExpectations(e.common.now, e.cat.poolOf)
	e.limits = admission.NewLimits(admission.DefaultLimits(), e.organisationLimit)
	claims := e.claims()
	e.cleaner = claim.NewCleaner(claims)
	e.upstreams = newUpstreams(e.common, e.limits, claims)
	e.specs = &specs{common: e.common, upstreams: e.upstreams, words: serviceWords{}}
}

func (e *Entry) claims() *claim.Store {
	return claim.NewStore(claim.Config{
		Table:            table.NewBatcher(e.platform.Rows, table.BatcherConfig{}),
		Objects:          e.platform.Objects,
		Owner:            e.process.VM,
		ServiceRetention: e.cat.retention,
	})
}

// cleans tells whether this entry cleans the claims: one of each zone does.
func (e *Entry) cleans() bool {
	return share.Rank(e.member.Roster(), e.member.Name(), claim.Table) == 0
}

// cleanClaims deletes old claims until ctx ends.
func (e *Entry) cleanClaims(ctx context.Context) { e.cleaner.Run(ctx, cleanInterval, e.cleans) }

// wirePeers puts together what the zone's VMs say to each other.
func (e *Entry) wirePeers() {
	book := share.NewReportStore(e.process.VM)
	e.server = peer.NewServer(peer.ServerConfig{
		Instance: newInstance(),
		Member:   e.member,
		Applier:  e.applier,
		Gate:     e.gate,
		Reports:  book,
		Leaving:  e.leave,
	})
	client := peer.NewClient(e.server, e.network.Over(peer.NewTransport()))
	store := rollout.NewStore(e.platform.Rows, e.platform.Objects)
	e.syncer = rollout.NewSyncer(e.member, e.applier, store, e.platform.Rows, client, e.advertise(), writeID)
	e.exchanger = peer.NewExchanger(e.member, e.syncer, client, e.process.Seeds)
	e.common.announce = e.exchanger.AnnounceLeaving
	e.reports = newReports(e.common, e.upstreams, book)
}

func (e *Entry) advertise() string {
	if e.process.Advertise != "" {
		return e.process.Advertise
	}
	return e.listeners.peers.Addr().String()
}

// newInstance returns a number unique for each start, and not zero.
func newInstance() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, says crypto/rand
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// writeID returns a new id for a write to the table.
func writeID() string { return rand.Text() }

// put makes a version of the tree take effect for every request taken after it
// returns. It is the function of rollout.Applier.
func (e *Entry) put(doc rollout.Document) error {
	tree, err := settings.ParseTree("version", doc.Text)
	if err != nil {
		return err
	}
	v := newView(doc.Version, tree, e.process.Zone)
	e.upstreams.follow(v)
	e.cat.current.Store(v)
	e.leave.SetTree(leavingByTree(v))
	e.specs.refresh()
	e.handler.Store(caller.NewHandler(caller.Config{
		Organisations: e.cat,
		Catalogue:     e.cat,
		Forwarder:     e.upstreams,
		Hasher:        hasher{},
		Limits:        v.widest,
	}))
	return nil
}

// hasher hashes prompts as the engines do.
type hasher struct{}

// Hashes implements caller.Hasher.
func (hasher) Hashes(namespace, prompt string) []uint64 { return prefix.Hashes(namespace, prompt) }

func leavingByTree(v *view) []string {
	var names []string
	for _, e := range v.endpoints() {
		if e.Leaving() {
			names = append(names, e.Name)
		}
	}
	return names
}

// follow takes over a roster. It is called by contact.Member under its lock.
func (e *Entry) follow(r contact.Roster) { e.gate.ApplyRoster(r) }

func (e *Entry) organisationLimit(name string) admission.OrganisationLimit {
	org, _ := e.cat.organisation(name)
	return tuning.Organisation(org)
}

// ServeHTTP takes a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := e.handler.Load()
	if handler == nil {
		caller.WriteFailure(w, r, notAllowed(&contact.UnconfirmedError{Status: contact.NotJoined}))
		return
	}
	e.requests.begin()
	defer e.requests.end()
	handler.ServeHTTP(w, r)
}

// Run serves until ctx ends and then stops by plan: the health check fails, the
// balancer is given time to notice, open requests finish, for as long as
// stop-grace allows, and the VM leaves its zone's roster. It stops in the same
// way when one of its sockets breaks, and returns that error, of package net.
func (e *Entry) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	g, broken := errgroup.WithContext(context.Background())
	for _, loop := range e.loops() {
		g.Go(func() error {
			loop(background)
			return nil
		})
	}
	servers := e.serve(g)
	klog.Infof("entry: %s of zone %s takes requests on %s", e.process.VM, e.process.Zone, e.listeners.callers.Addr())
	select {
	case <-ctx.Done():
	case <-broken.Done():
		klog.Errorf("entry: a socket broke, stopping")
	}
	e.stop(servers)
	stopBackground()
	servers.close()
	return g.Wait()
}

// loops are what runs beside requests.
func (e *Entry) loops() []func(context.Context) {
	return []func(context.Context){
		e.syncer.RunTable,
		e.exchanger.Run,
		e.reports.Run,
		e.watchMembers,
		e.specs.run,
		e.watchZones,
		e.cleanClaims,
		(&prober{d: e.common, upstreams: e.upstreams}).run,
		func(ctx context.Context) { e.member.Run(ctx.Done()) },
	}
}

// watchZones keeps the summaries of the other zones.
func (e *Entry) watchZones(ctx context.Context) {
	e.common.zones.Run(ctx, func(zones []fleet.ZoneSummary) {
		e.common.store.SetZones(zones, len(e.member.Roster().VMs))
	})
}
