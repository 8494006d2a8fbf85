// Package controller implements the control plane process of an entry VM. It contends for the
// leases of its availability zone, maintains the zone's roster, confirms configurations, plans and
// orders role changes, loads and replacements of engines, and serves the operators' API.
//
// Every entry VM runs one controller beside its entry. Leases decide which controller leads the
// zone and each pool. No request passes through a controller, so stopping, pausing or replacing one
// interrupts no requests.
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

// Platform holds the platform services that a controller uses.
type Platform struct {
	Rows    table.Service
	Objects object.Store
	Members membership.List
	Weights weightstore.Store
}

// readHeaderTimeout bounds the time in which a peer or operator must send the request headers.
const readHeaderTimeout = 10 * time.Second

// Controller is one controller process.
type Controller struct {
	network  network.Network
	process  *settings.Process
	platform Platform
	// entryAddress is the peer address of this VM's entry.
	entryAddress string
	identity     lease.Identity
	start        time.Time

	members   *membership.Watcher
	departed  *order.MembershipRemovals
	store     *rollout.Store
	trees     *treeFollower
	transport http.RoundTripper
	peers     *peer.Client
	gate      *order.Gate
	journal   *order.Journal
	responder *order.Responder
	targets   *targets
	contender *contender
	decisions *decisionLog
	// poolPlanners holds a *poolPlanner for each pool that this controller leads, by pool name.
	poolPlanners sync.Map
	operators    *operator.Server

	listeners listeners
}

// listeners are the sockets of a process.
type listeners struct{ peers, operators, metrics net.Listener }

// New binds the listen addresses and creates a controller. entry is the peer address of this VM's
// entry. Errors are those of package net, wrapped.
func New(p *settings.Process, entry string, platform Platform) (*Controller, error) {
	return NewOn(network.TCP(), p, entry, platform)
}

// NewOn is New on a given network.
func NewOn(n network.Network, p *settings.Process, entry string, platform Platform) (*Controller, error) {
	c := &Controller{network: n, process: p, platform: platform, entryAddress: entry, start: clock.Now()}
	if err := c.listen(); err != nil {
		return nil, err
	}
	c.identity = lease.Identity{VM: p.VM, Process: rand.Text(), Address: c.advertise()}
	c.members = membership.NewWatcher(platform.Members, membership.WatcherConfig{})
	c.departed = &order.MembershipRemovals{Watcher: c.members}
	c.store = rollout.NewStore(platform.Rows, platform.Objects)
	c.transport = n.ApplyTo(peer.NewTransport())
	c.peers = peer.NewControllerClient(c.transport)
	c.trees = newTreeFollower(c.store, c.peers, entry)
	c.gate = order.NewGate()
	c.journal = order.NewJournal(platform.Rows)
	c.responder = order.NewResponder(c.gate, c.provingIdentity(), order.Timing{})
	c.targets = newTargets(c.trees, n)
	c.decisions = newDecisionLog()
	c.operators = operator.NewServer(history.New(c.store), &fleetStatus{c})
	c.contender = newContender(c)
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

// provingIdentity returns the identity under which this process may prove that an earlier process
// has exited. The proof relies on the bound socket, so the address is left empty if the advertised
// address is not the bound one, such as behind a relay.
func (c *Controller) provingIdentity() lease.Identity {
	identity := c.identity
	if identity.Address != c.listeners.peers.Addr().String() {
		identity.Address = ""
	}
	return identity
}

// waitingFor returns what a planned change of an endpoint is waiting for, or nil if it is not
// waiting or this controller does not lead the pool.
func (c *Controller) waitingFor(pool, endpoint string) *withhold.WaitingError {
	p, found := c.poolPlanners.Load(pool)
	if !found {
		return nil
	}
	return p.(*poolPlanner).withhold.Waiting(endpoint)
}

// now returns the planners' time, measured from the start of the controller.
func (c *Controller) now() time.Duration { return clock.Since(c.start) }

// writeID returns a new ID for a write to the table.
func writeID() string { return rand.Text() }

// Run runs the controller until ctx ends or a server fails. It then releases its leases, so that
// another controller takes over immediately.
//
// The peers' socket is closed last, when the process is about to exit: while it is bound, no other
// process can prove that this one has exited.
func (c *Controller) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	g, groupCtx := errgroup.WithContext(context.Background())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(groupCtx, cancel)
	for _, run := range []func(context.Context){c.members.Run, c.trees.Run} {
		g.Go(func() error {
			run(background)
			return nil
		})
	}
	servers := c.serve(g)
	klog.Infof("controller: %s of zone %s serves operators on %s", c.process.VM, c.process.Zone, c.listeners.operators.Addr())
	c.contender.Run(ctx)
	stopBackground()
	for _, s := range servers {
		_ = s.Close()
	}
	return g.Wait()
}

// serve starts the HTTP servers in g and returns them in the order in which they are to be closed.
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

// admin returns the handler for metrics and the liveness check.
func admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
