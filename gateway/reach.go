package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/reach"
)

// Timeouts of the connections to VMs that pass requests on. Several VMs are asked within the timeout of a
// probe of an endpoint.
const (
	hopConnectTimeout = 80 * time.Millisecond
	hopMaxIdleTime    = 4 * time.Second
	hopUserTimeout    = 2 * time.Second
)

// newReach sets up how attempts reach endpoints. Without a platform that supports it, they are sent
// directly.
func (g *Gateway) newReach() {
	p := g.platform
	g.hopClient = hop.NewClient(g.settings.VM, h1.Options{
		Network: g.network, ConnectTimeout: hopConnectTimeout, MaxIdleTime: hopMaxIdleTime, UserTimeout: hopUserTimeout,
		Limits: hopLimits(g.settings.Responses),
	})
	g.reach = reach.NewClient(reach.Config{
		Zone: g.settings.Zone, Direct: p.Direct, VMs: g.otherVMs, Endpoints: g.directory.Snapshot, RequestID: p.RequestID,
		Hop: g.hopClient, Down: func(e *directory.Endpoint) bool { return g.planner.IsDown(e) },
	})
	g.hop = hop.NewServer(hop.Config{Directory: g.directory.Snapshot, Forward: g.forward, Connect: g.connect, Check: g.check, Unreached: g.reach.Unreached, Impaired: g.reach.Impaired, RequestID: p.RequestID, Memory: g.requestMemory})
	if p.SetSender != nil {
		p.SetSender(g.reach)
	}
}

// hopHeadBytes is by how much the head of a response that another VM passes on may be longer than the endpoint's.
const hopHeadBytes = 4 << 10

// hopLimits returns the limits of responses of other VMs. A head that the other VM accepts from an endpoint is within
// them with the headers that it adds, so that it does not count as a fault of that VM.
func hopLimits(l h1.Limits) h1.Limits {
	if l.Head == 0 {
		l.Head = h1.DefaultHeadLimit
	}
	l.Head += hopHeadBytes
	return l
}

// forward sends the request of another VM to an endpoint. That the endpoint refuses the connection
// counts only if this VM reaches others of its zone.
func (g *Gateway) forward(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	if g.reach.Unreached(e) {
		return nil, &h1.Error{Cause: reach.ErrUnreached}
	}
	response, err := g.platform.Forward(ctx, e, out)
	if errors.Is(err, unix.ECONNREFUSED) && g.reach.RefusalIsOwn(ctx, e) {
		return nil, &h1.Error{Cause: reach.ErrUnreached}
	}
	return response, err
}

// connect connects to an endpoint for another VM.
func (g *Gateway) connect(ctx context.Context, e *directory.Endpoint) error {
	if g.reach.Unreached(e) {
		return reach.ErrUnreached
	}
	err := g.platform.Direct.Connect(ctx, e)
	if errors.Is(err, unix.ECONNREFUSED) && g.reach.RefusalIsOwn(ctx, e) {
		return reach.ErrUnreached
	}
	return err
}

// check checks for another VM whether an endpoint responds.
func (g *Gateway) check(ctx context.Context, e *directory.Endpoint) error {
	if g.reach.Unreached(e) {
		return reach.ErrUnreached
	}
	return g.platform.Direct.Check(ctx, e)
}

// isDown reports whether nothing listens at an endpoint's address any more. The failed connection of
// this VM alone, which refused reports, does not show it if another VM can be asked.
func (g *Gateway) isDown(ctx context.Context, e *directory.Endpoint, refused func()) bool {
	return errors.Is(g.reach.ConnectObserved(ctx, e, refused), unix.ECONNREFUSED)
}

// endCheckTimeout bounds the check of whether an endpoint has ended.
const endCheckTimeout = 200 * time.Millisecond

// hasEnded reports whether an endpoint has ended: it has another incarnation, or refuses connections. That it does not
// accept any in time is no evidence, since a busy endpoint accepts them late.
func (g *Gateway) hasEnded(ctx context.Context, e *directory.Endpoint) bool {
	if now := g.directory.Snapshot().Endpoint(e.ID); now != nil && now.Incarnation() != e.Incarnation() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return g.reach.RefusedByAll(ctx, e)
}

// otherVMs returns the other VMs.
func (g *Gateway) otherVMs() []reach.VM {
	addresses := *g.peerAddresses.Load()
	vms := make([]reach.VM, 0, len(addresses))
	for _, m := range g.exchange.Registered() {
		if address, known := addresses[m.Name]; known {
			vms = append(vms, reach.VM{Peer: hop.Peer{Name: m.Name, Address: address}, Zone: m.Zone, Silent: m.Silent})
		}
	}
	return vms
}

// localReport returns this VM's load report.
func (g *Gateway) localReport() loadshare.Report {
	report := g.planner.LocalReport()
	if g.reach.Impaired() {
		report.Impaired = []uint32{loadshare.Hash(g.settings.VM)}
	}
	return report
}

// servePeer serves the requests of other VMs: those for endpoints, and the others, which mux serves.
func (g *Gateway) servePeer(mux http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !hop.Addressed(r):
			g.servePeerCall(mux, w, r)
		case g.state.isStopping():
			hop.EchoAttempt(w.Header(), r.Header)
			w.Header().Set("Connection", "close")
			_ = hop.WriteFailure(w, &failure.Request{Code: failure.Stopping, Ran: failure.NotRun, Message: "this VM is about to stop"})
		default:
			g.hop.ServeHTTP(w, r)
		}
	})
}

// maxPeerCall bounds the body of a call of another VM, in bytes. The largest are sums of usage.
const maxPeerCall = 4 << 20

// servePeerCall serves a call of another VM that is no request of a caller, within the memory for requests.
func (g *Gateway) servePeerCall(mux http.Handler, w http.ResponseWriter, r *http.Request) {
	held := g.requestMemory.Open()
	defer held.Release()
	err := held.Resize(max(0, r.ContentLength))
	if err != nil || r.ContentLength < 0 || r.ContentLength > maxPeerCall {
		klog.ErrorS(err, "gateway: call of another VM refused", "path", r.URL.Path, "bytes", r.ContentLength)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	mux.ServeHTTP(w, r)
}
