package forward

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/retry"
)

// Config configures a Forwarder. Router and Admitter are required; zero values take the defaults.
type Config struct {
	Router   Router
	Admitter Admitter
	// Claims stores at-most-once calls; if nil, non-repeatable calls with a key are refused.
	Claims *claim.Store
	// Budgets are the retry budgets; nil creates default ones.
	Budgets *retry.Budgets
	Backoff retry.Backoff
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// FirstFrameTimeout bounds the wait for an engine's first frame, MaxFrameGap the wait for each
	// later one. An attempt that exceeds them is abandoned and may be resumed on another engine.
	FirstFrameTimeout, MaxFrameGap time.Duration
	// PrefillTimeout bounds the prefill that precedes a KV cache import.
	PrefillTimeout time.Duration
	// MaxResponseBytes bounds the body of a service's response.
	MaxResponseBytes int64
	// Memory bounds the bodies of such responses that are being read at a time, together with those of others that
	// share it (default: that of a VM of memory.DefaultVM).
	Memory *memory.Budget
}

// Defaults of Config.
const (
	DefaultMaxAttempts       = 3
	DefaultFirstFrameTimeout = 30 * time.Second
	DefaultMaxFrameGap       = 10 * time.Second
	DefaultPrefillTimeout    = 30 * time.Second
	DefaultMaxResponseBytes  = 8 << 20
)

const (
	// cancelTimeout bounds the request that tells an engine to drop an attempt.
	cancelTimeout = 2 * time.Second
	// maxCancels bounds the concurrent cancel requests. Further ones are dropped, since the closed
	// connection also tells the engine.
	maxCancels = 64
	// maxClaimedCalls bounds the concurrent claimed calls that get a grace period. Calls beyond it
	// end with their caller.
	maxClaimedCalls = 4096
)

// Forwarder sends work to endpoints. It is safe for concurrent use and holds no lock while it
// waits.
type Forwarder struct {
	cfg     Config
	cancels errgroup.Group
	// claimedCalls runs the claimed calls in flight, which may outlive their callers.
	claimedCalls errgroup.Group
}

// New returns a Forwarder with the defaults of cfg filled in.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg.withDefaults()}
	f.cancels.SetLimit(maxCancels)
	f.claimedCalls.SetLimit(maxClaimedCalls)
	return f
}

func (c Config) withDefaults() Config {
	if c.Budgets == nil {
		c.Budgets = retry.NewBudgets(retry.DefaultLimits)
	}
	if c.Backoff == (retry.Backoff{}) {
		c.Backoff = retry.DefaultBackoff
	}
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.FirstFrameTimeout, DefaultFirstFrameTimeout)
	setDefault(&c.MaxFrameGap, DefaultMaxFrameGap)
	setDefault(&c.PrefillTimeout, DefaultPrefillTimeout)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	if c.Memory == nil {
		c.Memory = memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Responses, nil)
	}
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Wait returns once no cancel request and no claimed call is in flight. It is meant for planned
// shutdowns, after the callers' requests have ended.
func (f *Forwarder) Wait() {
	_ = f.cancels.Wait()
	_ = f.claimedCalls.Wait()
}

// cancelAttempt tells the engine to drop an abandoned attempt, without delaying the caller's final
// response.
func (f *Forwarder) cancelAttempt(g Generator, attempt string) {
	f.cancels.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		return g.Cancel(ctx, attempt)
	})
}
