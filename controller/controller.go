// Package controller is the control path of an entry VM: it contends for the
// leases of its availability zone, keeps the zone's roster, confirms
// configurations, plans and orders changes of engines, and answers operators.
//
// Every VM runs one, beside its entry. Which one acts is decided by leases. No
// request passes through it, so killing, pausing or replacing it cuts none.
package controller

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/operator"
	"github.com/springweir/springweir/operator/history"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/controllerpb"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
	"github.com/springweir/springweir/withhold"
)

// Platform is what the platform gives.
type Platform struct {
	Rows    table.Service
	Objects object.Store
	Members membership.List
	Weights weightstore.Store
}

// readHeaderTimeout bounds how long a peer or operator may take over headers.
const readHeaderTimeout = 10 * time.Second

// Controller is one controller process.
type Controller struct {
	network  network.Network
	process  *settings.Process
	platform Platform
	// entry is the peer address of this VM's entry.
	entry string
	self  lease.Identity
	start time.Time

	members   *membership.Watcher
	departed  *order.MembershipRemovals
	store     *rollout.Store
	trees     *trees
	transport http.RoundTripper
	peers     *peer.Client
	gate      *order.Gate
	journal   *order.Journal
	responder *order.Responder
	targets   *targets
	duties    *duties
	decisions *decisions
	// leading holds the planner of each pool that this controller acts for, by
	// the pool's name.
	leading   sync.Map
	operators *operator.Server

	listeners listeners
}

// listeners are the sockets of a process.
type listeners struct{ peers, operators, metrics net.Listener }

// New binds the addresses and wires the process. entry is the peer address of
// this VM's entry. The error is of package net.
func New(p *settings.Process, entry string, platform Platform) (*Controller, error) {
	return NewOn(network.TCP(), p, entry, platform)
}

// NewOn is New on a given network.
func NewOn(n network.Network, p *settings.Process, entry string, platform Platform) (*Controller, error) {
	c := &Controller{network: n, process: p, platform: platform, entry: entry, start: clock.Now()}
	if err := c.listen(); err != nil {
		return nil, err
	}
	c.self = lease.Identity{VM: p.VM, Process: rand.Text(), Address: c.advertise()}
	c.members = membership.NewWatcher(platform.Members, membership.WatcherConfig{})
	c.departed = &order.MembershipRemovals{Watcher: c.members}
	c.store = rollout.NewStore(platform.Rows, platform.Objects)
	c.transport = n.Over(peer.NewTransport())
	c.peers = peer.NewControllerClient(c.transport)
	c.trees = newTrees(c.store, c.peers, entry)
	c.gate = order.NewGate()
	c.journal = order.NewJournal(platform.Rows)
	c.responder = order.NewResponder(c.gate, c.proving(), order.Timing{})
	c.targets = newTargets(c.trees, n)
	c.decisions = newDecisions()
	c.operators = operator.NewServer(history.New(c.store), &fleetStatus{c})
	c.duties = newDuties(c)
	return c, nil
}

func (c *Controller) listen() error {
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{
		{&c.listeners.peers, c.process.Peers},
		{&c.listeners.operators, c.process.Operators},
		{&c.listeners.metrics, c.process.Metrics},
	} {
		bound, err := c.network.Listen(l.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = bound
	}
	return nil
}

func (c *Controller) advertise() string {
	if c.process.Advertise != "" {
		return c.process.Advertise
	}
	return c.listeners.peers.Addr().String()
}

// proving is the identity under which this process may prove that an earlier
// one is dead. The proof rests on the bound socket, so an address that is not
// the bound one (behind a relay, say) proves nothing.
func (c *Controller) proving() lease.Identity {
	self := c.self
	if self.Address != c.listeners.peers.Addr().String() {
		self.Address = ""
	}
	return self
}

// waitingFor returns what a planned change of an endpoint waits for, if this
// controller acts for the pool, and nil otherwise.
func (c *Controller) waitingFor(pool, endpoint string) *withhold.WaitingError {
	p, leads := c.leading.Load(pool)
	if !leads {
		return nil
	}
	return p.(*poolPlanner).withhold.Waiting(endpoint)
}

// now is the clock of planners.
func (c *Controller) now() time.Duration { return clock.Since(c.start) }

// writeID returns a new id for a write to the table.
func writeID() string { return rand.Text() }

// Run works until ctx ends, or a socket breaks, and then stops by plan: leases
// are released, so that another controller takes over at once.
//
// The peers' socket is closed last, when the process is about to exit: as long
// as it is bound, no other process can prove that this one is dead.
func (c *Controller) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	g, broken := errgroup.WithContext(context.Background())
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	context.AfterFunc(broken, giveUp)
	for _, run := range []func(context.Context){c.members.Run, c.trees.Run} {
		g.Go(func() error {
			run(background)
			return nil
		})
	}
	servers := c.serve(g)
	klog.Infof("controller: %s of zone %s answers operators on %s", c.process.VM, c.process.Zone, c.listeners.operators.Addr())
	c.duties.Run(ctx)
	stopBackground()
	for _, s := range servers {
		_ = s.Close()
	}
	return g.Wait()
}

// serve starts the servers.
func (c *Controller) serve(g *errgroup.Group) []*http.Server {
	peers := controllerpb.NewControllerServer(c.responder)
	var servers []*http.Server
	for _, s := range []struct {
		socket  net.Listener
		handler http.Handler
	}{
		{c.listeners.operators, c.operators.Handler()},
		{c.listeners.metrics, admin()},
		{c.listeners.peers, peers},
	} {
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
		servers = append(servers, server)
		g.Go(func() error {
			if err := server.Serve(s.socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return servers
}

// admin serves the metrics and a liveness check.
func admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
