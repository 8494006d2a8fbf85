package gateway

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/duties/scaling"
	"github.com/springweir/springweir/duties/usage"
	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/internal/port"
	"github.com/springweir/springweir/lastconfig"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/origin"
	"github.com/springweir/springweir/placement"
	"github.com/springweir/springweir/poison"
	"github.com/springweir/springweir/quota"
	"github.com/springweir/springweir/reach"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/rolechange"
	"github.com/springweir/springweir/roster"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/signals"
	"github.com/springweir/springweir/table"
)

// Settings configures the gateway of a VM.
type Settings struct {
	// VM and Zone name this VM and its availability zone.
	VM, Zone string
	// Store is the address of the platform's store.
	Store string
	// Callers, Readiness and Metrics are the addresses to listen on (host:port); Peers is the
	// address for datagrams and requests from other VMs.
	Callers, Readiness, Metrics, Peers string
	// Strength orders the VMs of a zone by relative capacity, such as the speed of their links in
	// Mbit/s.
	Strength int
	// Memory is the memory of the VM in bytes, above which the process is killed; zero if it is not known.
	Memory int64
	// Grace is how long the platform waits between SIGTERM and SIGKILL.
	Grace time.Duration
	// BalancerDelay is how long the platform's load balancer may keep sending new connections after
	// the first failed readiness check.
	BalancerDelay time.Duration
	// DrainWithin is the time after which a leaving endpoint must receive no new requests.
	// ApplyWithin is the time within which a new configuration must be in force.
	DrainWithin, ApplyWithin time.Duration
	// ContactWithin is the time within which a VM that was unreachable must be up to date with the
	// other VMs.
	ContactWithin time.Duration
	// RevokeWithin is the time after which a revoked API key must no longer be accepted, even by an
	// unreachable VM; zero sets no bound for an unreachable VM.
	RevokeWithin time.Duration
	// EndpointHeartbeat is the mean interval at which an endpoint rewrites its row. The store drops
	// the row of an endpoint that has missed three heartbeats.
	EndpointHeartbeat time.Duration
	// Lease is the time after one VM's order to an engine during which no other VM may send it
	// orders.
	Lease time.Duration
	// Responses bounds responses of endpoints, the store and other VMs, and EventLimit one event of a stream, in
	// bytes; zero values take the defaults.
	Responses  h1.Limits
	EventLimit int
	// CallerStall is how long a caller may accept nothing of its response, or send nothing of its request's body; zero
	// takes the default of a minute.
	CallerStall time.Duration
	// Balance bounds the choice of engine roles.
	Balance rolechange.BalanceSettings
	// Placement holds the parameters of placement.
	Placement placement.Tuning
	// Retry limits the retries of each service over all VMs.
	Retry retry.RegionLimits
	// Duties configures the calls to the platform that one VM at a time makes.
	Duties Duties
}

// Duties configures the calls to the platform that one VM of the region makes at a time.
type Duties struct {
	// Address is the platform's address for these calls (host:port); empty if it expects none.
	Address string
	// UsageWindow is the length of the windows in which requests are counted. UsageLate is how long
	// after its end a window may still be reported. A zero UsageWindow disables reports.
	UsageWindow, UsageLate time.Duration
	// UsageTolerance is the fraction by which a report may deviate.
	UsageTolerance float64
	// Scaling enables requests to change the number of endpoints. ScaleByDemand makes the number
	// follow the load.
	Scaling, ScaleByDemand bool
	// Unknown names duties that the platform expects and this build does not know, separated by commas.
	Unknown string
}

// Platform holds the gateway's dependencies on the platform it runs on.
type Platform struct {
	Rows table.Service
	Feed table.Feed
	// Epoch returns the newest known epoch of the store (see table.Version).
	Epoch func() uint64
	// EpochSince returns when this process first saw that epoch; zero for a store without epochs.
	EpochSince func() time.Time
	Upstream   relay.Upstream
	// Direct sends requests over this VM's own connections to endpoints, and Forward those of other
	// VMs. SetSender sets what sends attempts; without it, all are sent directly.
	Direct    reach.Direct
	Forward   func(context.Context, *directory.Endpoint, *h1.Request) (*h1.Response, error)
	SetSender func(reach.Sender)
	// RequestID returns the ID of a request, given its headers.
	RequestID func(http.Header) string
	Engines   rolechange.Engines
	Usage     usage.Platform
	Scaling   scaling.Platform
	Caches    Caches
	Codec     Codec
	// Config is the key of the operators' configuration row. Endpoints is the table in which
	// endpoints register.
	Config    table.Key
	Endpoints string
	// DecodeConfig and DecodeEndpoint decode the respective rows. Their errors name the row. DecodeConfig returns a
	// configuration and an error if only parts are malformed.
	DecodeConfig   func(table.Row) (*routes.Config, error)
	DecodeEndpoint func(table.Row) (directory.Registration, error)
	// SetEnded sets the function that reports whether an endpoint has ended. It may be nil.
	SetEnded func(func(context.Context, *directory.Endpoint) bool)
	// ObserveResponses sets the function called with each response of an endpoint. It may be nil.
	ObserveResponses func(func(signals.Response))
	// CloseStaleConnections closes connections to endpoints that are not in the snapshot or have
	// restarted. It is called after a restart and periodically.
	CloseStaleConnections func(*directory.Snapshot)
}

// Gateway runs the components of one VM: request handling, the feeds from the store, and the
// exchange with other VMs.
type Gateway struct {
	settings  Settings
	started   time.Time
	platform  Platform
	network   network.Network
	state     *state
	readiness *readinessLog
	directory *directory.Directory
	planner   *placement.Planner
	signals   *signals.Tracker
	budgets   *retryBudgets
	relay     *relay.Relay
	roster    *roster.Roster
	exchange  *loadshare.Exchange
	freshness *freshness.Tracker
	// usage is nil if no usage is reported.
	usage *usage.Ledger
	// origins knows which software began each stream.
	origins *origin.Tracker
	// intake is nil if the bandwidth of the VM's link is not known.
	intake *intake
	// requestMemory bounds the requests that this VM holds, of callers and other VMs, headMemory the heads that arrive,
	// and responseMemory the responses.
	requestMemory, headMemory, responseMemory *memory.Budget
	roles                                     *rolechange.Controller
	duties                                    *duties.Runner
	// scaler is nil if the number of endpoints is not ordered.
	scaler *scaling.Scaler
	guard  *poison.Guard
	quota  *quota.Limiter
	// reach sends attempts to endpoints, through other VMs if necessary, and hop passes on those of
	// other VMs.
	reach     *reach.Client
	hop       *hop.Server
	hopClient *hop.Client
	// peerAddresses holds the addresses of the other VMs by name.
	peerAddresses atomic.Pointer[map[string]string]
	// configs, endpoints, vms and verdicts are the sources of the tables that this VM follows.
	configs, endpoints, vms, verdicts *feedshare.Source
	// lastConfig keeps the configuration in force in the store; inForce is the one to keep, nil before the first.
	lastConfig *lastconfig.Keeper
	inForce    atomic.Pointer[lastconfig.Copy]
	// stored is the configuration last received from the store; nil before the first.
	stored atomic.Pointer[storedConfig]
}

// New returns a gateway. Run starts it.
func New(s Settings, p Platform, n network.Network) *Gateway {
	g := &Gateway{settings: s, platform: p, network: n, started: time.Now(), freshness: freshness.New(nil)}
	g.peerAddresses.Store(&map[string]string{})
	g.readiness = newReadinessLog(clock.Now())
	g.state = &state{freshness: g.freshness, revoke: newRevokeBudget(s.RevokeWithin), applyWithin: s.ApplyWithin}
	g.signals = signals.New(signals.Config{
		VM: s.VM, Publish: func(n loadshare.Announcement) { g.exchange.Broadcast(n) }, Endpoints: func() *directory.Snapshot { return g.directory.Snapshot() },
		Drain: func(e *directory.Endpoint) bool { return g.directory.Drain(e) },
	})
	if p.ObserveResponses != nil {
		p.ObserveResponses(g.signals.Observe)
	}
	if p.SetEnded != nil {
		p.SetEnded(g.hasEnded)
	}
	limits := memory.LimitsOf(s.Memory)
	g.requestMemory, g.headMemory = memory.NewBudget(limits.Requests, nil), memory.NewBudget(limits.Heads, nil)
	g.responseMemory = memory.NewBudget(limits.Responses, nil)
	g.origins = g.newOrigins()
	g.directory = directory.New(g.setEndpoints)
	g.planner = placement.New(placement.Config{
		Zone: s.Zone, Directory: g.directory, Routes: g.state.config.Load,
		RoleChanges: func() []string { return g.roles.Changing() }, Signals: g.signals, Tuning: s.Placement, OnDown: g.expediteReplacement,
	})
	if s.Placement.LinkBitsPerSecond > 0 {
		g.intake = newIntake(s.Placement.LinkBitsPerSecond, g.planner.UplinkWait)
	}
	wallClock := clock.NewWallClock().Now
	g.budgets = newRetryBudgets(s.Retry)
	self := roster.VM{Name: s.VM, Zone: s.Zone, Address: s.Peers, Capacity: s.Strength, Boot: roster.NewBoot()}
	g.newSources()
	g.roster = roster.New(p.Rows, g.vms, self, g.setPeers)
	if s.Duties.UsageWindow > 0 {
		g.usage = usage.NewLedger(usage.Identity{VM: s.VM, Zone: s.Zone}, s.Duties.UsageWindow, wallClock, nil)
	}
	g.exchange = loadshare.New(g.exchangeConfig())
	g.lastConfig = lastconfig.NewKeeper(p.Rows, g.exchange.Rank)
	g.roles = rolechange.New(rolechange.Config{
		VM: s.VM, Directory: g.directory, Services: g.state.config.Load,
		Engines: p.Engines, Balance: s.Balance, Pressure: g.planner.Pressure, InFlight: g.planner.InFlight, PropagationDelay: g.exchange.PropagationDelay,
	})
	g.duties = duties.NewRunner(duties.Config{
		Rows: p.Rows, Epoch: p.Epoch, HandoverDelay: s.Lease, Rank: g.exchange.Rank,
		SingleProcess: true, // contends only once it has the callers' port
		Self:          lease.Identity{VM: s.VM, Process: self.Boot, Address: s.Peers},
	}, g.listDuties(wallClock)...)
	g.newReach()
	g.quota = quota.New(quota.Config{VM: s.VM, Limit: g.state.limitOf, Peers: quota.NewClient(n)})
	g.guard = poison.NewGuard(poison.Config{
		Down: g.isDown, OnDown: g.planner.MarkDown, Broadcast: g.exchange.Broadcast, PropagationDelay: g.exchange.PropagationDelay, AwaitCatchUp: g.exchange.AwaitCatchUp, Directory: g.directory, Rows: p.Rows, Feed: g.verdicts,
	})
	g.relay = relay.New(relay.Config{
		Planner: g.planner, Upstream: p.Upstream, Budget: g.budgets.forService, Guard: g.guard, Origins: g.origins,
		Router: g.state, Endpoints: g.directory.Snapshot, ShutdownAt: g.state.shutdownTime, LateInShutdown: g.state.lateInShutdown.Load, Meter: g.meter(),
		MaxEventBytes: s.EventLimit, Memory: g.responseMemory,
	})
	return g
}

// exchangeConfig returns the configuration of the datagram exchange between VMs. Confirmations are
// exchanged only if the age of the configuration is bounded.
func (g *Gateway) exchangeConfig() loadshare.Config {
	s := g.settings
	c := loadshare.Config{
		VM: s.VM, Zone: s.Zone, Address: s.Peers, Capacity: s.Strength, LinkBitsPerSecond: s.Placement.LinkBitsPerSecond,
		LocalReport: g.localReport, OnLoad: g.receiveLoad, OnAnnouncement: g.receiveAnnouncement, OnStreams: g.origins.Receive,
	}
	if g.usage != nil {
		c.Usage = g.usage
	}
	if g.state.revoke.bounded() {
		c.Confirmation, c.OnConfirmation = g.freshness.Newest, g.freshness.Confirm
	}
	return c
}

// setEndpoints handles a new snapshot of the endpoints. Connections to a previous incarnation are
// closed at once: they may look open, and a request sent on one is lost.
func (g *Gateway) setEndpoints(_, now *directory.Snapshot) {
	g.planner.SetEndpoints(now)
	g.guard.Retain(now)
	g.signals.Retain(now)
	g.origins.SetEndpoints(now)
	if anyRestarted(now) {
		g.platform.CloseStaleConnections(now)
	}
}

// anyRestarted reports whether an endpoint has restarted under the same ID since the previous snapshot.
func anyRestarted(now *directory.Snapshot) bool {
	for _, c := range now.Changes() {
		if c.Old != nil && c.New != nil && c.Old.StartedAt != c.New.StartedAt {
			klog.InfoS("gateway: endpoint restarted", "endpoint", c.ID, "before", c.Old.StartedAt, "born", c.New.StartedAt)
			return true
		}
	}
	return false
}

// Reload applies settings that changed while the process runs. Retry limits and placement
// parameters apply at once. If other settings differ, the log reports that a restart is needed.
func (g *Gateway) Reload(s Settings) {
	g.budgets.setLimits(s.Retry)
	g.planner.SetTuning(s.Placement)
	old := g.settings
	old.Retry, old.Placement = s.Retry, s.Placement
	klog.InfoS("gateway: settings reloaded", "retry", s.Retry, "restartNeeded", old != s)
}

// servers are the HTTP servers of a gateway.
type servers struct{ callers, readiness, peers, metrics *http.Server }

func (g *Gateway) newServers() *servers {
	return &servers{
		callers: g.callerServer(), readiness: newServer(http.HandlerFunc(g.serveReadiness)),
		peers: newServer(g.peerHandler()), metrics: newServer(http.HandlerFunc(g.serveMetrics)),
	}
}

func (s *servers) close() {
	for _, server := range []*http.Server{s.callers, s.readiness, s.peers, s.metrics} {
		_ = server.Close()
	}
}

// Run serves until ctx ends, then stops without interrupting responses. A part that fails is tried again and does not end
// the others.
func (g *Gateway) Run(ctx context.Context) error {
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	leadingCtx, stopLeading := context.WithCancel(servingCtx)
	defer stopLeading()
	klog.InfoS("gateway: starting", "settings", g.settings)
	if unknown := g.settings.Duties.Unknown; unknown != "" {
		klog.ErrorS(nil, "gateway: duties are not known, nobody will do them", "duties", unknown)
	}
	s := g.newServers()
	// Listen for callers before the readiness check can succeed: otherwise a VM that receives its
	// configuration at once would be ready while it refuses connections.
	callers := g.callerPort(s.callers)
	listener := callers.Open(ctx)
	if listener == nil {
		return nil
	}
	var group errgroup.Group
	run := func(ctx context.Context, part func(context.Context)) {
		group.Go(func() error { part(ctx); return nil })
	}
	run(servingCtx, func(ctx context.Context) { callers.Serve(ctx, listener) })
	for _, part := range append(g.ports(s), g.parts()...) {
		run(servingCtx, part)
	}
	run(leadingCtx, g.afterPeers(g.duties.Run))
	<-ctx.Done()
	stopLeading() // another VM takes over the lease while the open requests complete
	g.stop(s.callers, s.peers)
	stopServing()
	s.close()
	return waitFor(&group, exitTimeout)
}

// ports returns what serves the ports other than the callers'.
func (g *Gateway) ports(s *servers) []func(context.Context) {
	serve := func(name string, server *http.Server, address string) func(context.Context) {
		return func(ctx context.Context) { g.port(name, server, address).Serve(ctx, nil) }
	}
	list := []func(context.Context){
		serve("readiness", s.readiness, g.settings.Readiness), serve("peers", s.peers, g.settings.Peers), g.runExchange,
	}
	if g.settings.Metrics != "" {
		list = append(list, serve("metrics", s.metrics, g.settings.Metrics))
	}
	return list
}

// parts returns what runs in the background until the VM has stopped.
func (g *Gateway) parts() []func(context.Context) {
	list := []func(context.Context){
		g.afterPeers(g.followConfig), g.afterPeers(g.followEndpoints), g.afterPeers(g.guard.Run),
		g.runConfirmer, g.lastConfig.Run, g.closeStaleConnections, clock.Watch, g.watchReadiness, g.roster.Run,
		g.updateMembership, g.origins.Run, g.reach.Run,
	}
	if g.scaler != nil {
		list = append(list, g.afterPeers(g.scaler.Watch))
	}
	return list
}

// afterPeers returns a part that starts once the other VMs are known, or after a while without them.
func (g *Gateway) afterPeers(part func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		g.awaitPeers(ctx)
		part(ctx)
	}
}

// exitTimeout is how long the process waits for its goroutines at exit. A call to an unavailable
// store must not extend the process beyond its grace period.
const exitTimeout = 300 * time.Millisecond

// waitFor returns the group's first error, or nil if the group has not ended within timeout.
func waitFor(group *errgroup.Group, timeout time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(timeout):
		klog.InfoS("gateway: exiting before all goroutines have ended", "limit", timeout)
		return nil
	}
}

const (
	// headerTimeout bounds the time in which a caller must send its request header. The platform's
	// configuration has a shorter limit, which callers observe.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It must exceed the configured
	// idle time, up to which callers may reuse a connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a caller's request header.
	maxHeaderBytes = 128 << 10
)

// newServer returns a server whose requests have bounded heads.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (g *Gateway) callerServer() *http.Server {
	stall := cmp.Or(g.settings.CallerStall, callerStall)
	s := newServer(&handler{codec: g.platform.Codec, relay: g.relay, state: g.state, quota: g.quota, intake: g.intake, memory: g.requestMemory, stall: stall})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		boundUnread(c, stall)
		return connContext(ctx, c)
	}
	s.ConnState = trackHead
	return s
}

// port returns one of this VM's ports.
func (g *Gateway) port(name string, s *http.Server, address string) *port.Port {
	return &port.Port{Name: name, Server: s, Listen: func() (net.Listener, error) { return g.network.Listen(address) }}
}

// callerPort returns the callers' port. If the bandwidth of the VM's link is known, connections are refused while the link
// is busy.
func (g *Gateway) callerPort(s *http.Server) *port.Port {
	p := g.port("callers", s, g.settings.Callers)
	listen := p.Listen
	p.Listen = func() (net.Listener, error) {
		var l net.Listener
		var err error
		if g.intake == nil {
			l, err = listen()
		} else {
			l, err = newIntakeListener(g.intake, listen)
		}
		if err != nil {
			return nil, err
		}
		return &headListener{Listener: l, memory: g.headMemory}, nil
	}
	p.OnChange = func(open bool) { g.state.callersRefused.Store(!open) }
	return p
}

// runExchange runs the exchange of datagrams until ctx ends.
func (g *Gateway) runExchange(ctx context.Context) {
	port.Retry(ctx, "datagrams", func() (struct{}, error) { return struct{}{}, g.exchange.Run(ctx) })
}

const (
	// stopMargin is the part of the grace period reserved for the process's exit.
	stopMargin = time.Second
	// answerMargin is the time before it in which requests that have reached their deadline get their answer.
	answerMargin = 200 * time.Millisecond
)

// stop shuts down the caller server without interrupting responses. The readiness check fails
// first, and all requests are still served while the balancer notices; then the listener closes and
// the open requests complete, with those whose bodies still come if their deadline is before the end, and
// after them those of other VMs.
func (g *Gateway) stop(callerServer, peerServer *http.Server) {
	start := time.Now()
	g.state.stop(clock.Now().Add(g.settings.Grace - stopMargin - answerMargin))
	g.exchange.Leave()
	klog.InfoS("gateway: stopping", "grace", g.settings.Grace)
	time.Sleep(min(g.settings.BalancerDelay, g.settings.Grace/2))
	g.state.lateInShutdown.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(g.settings.Grace-stopMargin))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		klog.InfoS("gateway: requests still open at the end of the grace period", "err", err)
	}
	g.closeUsage()
	g.stopPeers(ctx, peerServer)
	klog.InfoS("gateway: stopped", "took", time.Since(start))
}

// lastWrites is how long a stopping VM waits until the ends of the last responses to other VMs are
// written. Their polls of tables, which take longer, are cut off.
const lastWrites = 100 * time.Millisecond

// stopPeers waits for the requests that this VM passes on, and closes the server for other VMs.
func (g *Gateway) stopPeers(ctx context.Context, peerServer *http.Server) {
	if err := g.hop.Drain(ctx); err != nil {
		klog.InfoS("gateway: requests of other VMs still open at the end of the grace period", "err", err)
	}
	ctx, cancel := context.WithTimeout(ctx, lastWrites)
	defer cancel()
	_ = peerServer.Shutdown(ctx) // times out if a table is polled
}

// staleConnectionInterval is how often stale connections to endpoints and other VMs are closed.
const staleConnectionInterval = 2 * time.Second

func (g *Gateway) closeStaleConnections(ctx context.Context) {
	loop.Every(ctx, staleConnectionInterval, func() {
		g.platform.CloseStaleConnections(g.directory.Snapshot())
		g.hopClient.Retain(slices.Collect(maps.Values(*g.peerAddresses.Load())))
	})
}
