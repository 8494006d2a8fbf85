package reach

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

// silentNetwork accepts all connections, which carry nothing while silent is set. Requests take a time.
type silentNetwork struct {
	*fakeNetwork
	silent atomic.Bool
	takes  time.Duration
	checks atomic.Int32
}

func (n *silentNetwork) wait(ctx context.Context, d time.Duration) error {
	if n.silent.Load() {
		<-ctx.Done()
	} else if err := wait(ctx, d); err == nil {
		return nil
	}
	return &h1.Error{Sent: true, Cause: context.Cause(ctx)}
}

func (n *silentNetwork) Do(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	if err := n.wait(ctx, n.takes); err != nil {
		return nil, err
	}
	return n.fakeNetwork.Do(ctx, e, out)
}

func (n *silentNetwork) Check(ctx context.Context, _ *directory.Endpoint) error {
	n.checks.Add(1)
	return n.wait(ctx, 0)
}

// silentEverywhere is a Hop through which an endpoint does not respond either.
type silentEverywhere struct{ fakeHop }

func (silentEverywhere) Check(ctx context.Context, _ hop.Peer, _ *directory.Endpoint) error {
	<-ctx.Done()
	return &h1.Error{Sent: true, Cause: context.Cause(ctx)}
}

func inSilence(t *testing.T, f func(t *testing.T, n *silentNetwork, c *Client, e *directory.Endpoint)) {
	synctest.Test(t, func(t *testing.T) {
		n := &silentNetwork{fakeNetwork: &fakeNetwork{idle: true}}
		c, d := newTestClient(n.fakeNetwork, "e")
		c.cfg.Direct = n
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		f(t, n, c, d.Snapshot().Endpoint("e"))
		cancel()
		synctest.Wait()
	})
}

func sendWithin(c *Client, e *directory.Endpoint, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := c.Do(ctx, e, &h1.Request{})
	return err
}

// Connections that are accepted and carry nothing break a path as connections that hang do, until they carry
// something again.
func TestPathThatCarriesNothingIsBroken(t *testing.T) {
	inSilence(t, func(t *testing.T, n *silentNetwork, c *Client, e *directory.Endpoint) {
		n.silent.Store(true)
		if sendWithin(c, e, 2*time.Second) == nil {
			t.Error("the first request was served")
		}
		for range 3 {
			if err := sendWithin(c, e, time.Second); err != nil {
				t.Errorf("a request after the path was found silent: %v", err)
			}
			time.Sleep(time.Second)
		}
		n.silent.Store(false)
		time.Sleep(2 * maxCheckInterval)
		if c.Unreached(e) {
			t.Error("the path is still broken")
		}
	})
}

// An endpoint that takes long, or that responds to nobody, breaks no path.
func TestSlowAndSuspendedEndpointsBreakNoPath(t *testing.T) {
	t.Run("slow", func(t *testing.T) {
		inSilence(t, func(t *testing.T, n *silentNetwork, c *Client, e *directory.Endpoint) {
			n.takes = 3 * time.Second
			if err := sendWithin(c, e, 5*time.Second); err != nil {
				t.Error(err)
			}
			if got := n.checks.Load(); got != 1 || c.Unreached(e) {
				t.Errorf("%d checks, unreached %t", got, c.Unreached(e))
			}
		})
	})
	t.Run("suspended", func(t *testing.T) {
		inSilence(t, func(t *testing.T, n *silentNetwork, c *Client, e *directory.Endpoint) {
			c.cfg.Hop = silentEverywhere{fakeHop{n.fakeNetwork}}
			n.silent.Store(true)
			_ = sendWithin(c, e, 2*time.Second)
			if c.Unreached(e) {
				t.Error("the path is broken, though no VM hears the endpoint")
			}
		})
	})
}
