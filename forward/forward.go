package forward

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/retry"
)

// Config is what a Forwarder works with. Router and Admitter are required;
// zero settings take the defaults.
type Config struct {
	Router   Router
	Admitter Admitter
	// Claims keeps at-most-once calls; nil refuses non-repeatable calls that
	// carry a key.
	Claims *claim.Store
	// Budgets are the retry budgets; nil makes default ones.
	Budgets *retry.Budgets
	Backoff retry.Backoff
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts int
	// FirstFrameTimeout is how long an engine may stay silent before its first frame;
	// MaxFrameGap how long after that. An attempt that stalls is given up
	// and may be resumed elsewhere.
	FirstFrameTimeout, MaxFrameGap time.Duration
	// PrefillTimeout bounds the prefill that goes before a KV import.
	PrefillTimeout time.Duration
	// MaxResponseBytes bounds a service's answer, in bytes.
	MaxResponseBytes int64
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
	// cancelTimeout bounds the message that tells an engine to drop an attempt.
	cancelTimeout = 2 * time.Second
	// maxCancels bounds such messages under way; more are dropped, since the
	// closed connection tells the engine as well.
	maxCancels = 64
	// maxLate bounds the claimed calls under way. Those above it do not go on
	// once their caller was answered.
	maxLate = 4096
)

// Forwarder carries work to endpoints. It is safe for concurrent use and holds
// no lock while it waits.
type Forwarder struct {
	cfg     Config
	cancels errgroup.Group
	// late holds the claimed calls under way, which may outlast their caller.
	late errgroup.Group
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg.withDefaults()}
	f.cancels.SetLimit(maxCancels)
	f.late.SetLimit(maxLate)
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
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Wait returns once no cancel message and no claimed call is under way. It is
// for planned stops, after the callers' requests have ended.
func (f *Forwarder) Wait() {
	_ = f.cancels.Wait()
	_ = f.late.Wait()
}

// cancelAttempt tells the engine to drop an attempt that this side gave up on,
// without holding up the caller's final answer.
func (f *Forwarder) cancelAttempt(g Generator, attempt string) {
	f.cancels.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		return g.Cancel(ctx, attempt)
	})
}
