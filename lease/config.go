package lease

import (
	"time"

	"github.com/springweir/springweir/internal/loop"
)

// Defaults for Config.
const (
	DefaultTTL    = 9 * time.Second
	DefaultRenew  = 3 * time.Second
	DefaultPoll   = 3 * time.Second
	DefaultMargin = 500 * time.Millisecond
)

// Config says which lease to contend for, as whom and at what pace.
type Config struct {
	Pool, Zone string
	Identity   Identity
	// TTL is how long a lease lasts; Renew is the time between renewals; Poll
	// is the mean time between a contender's reads. Zero takes the default.
	TTL, Renew, Poll time.Duration
	// Margin is cut from the holder's end of the lease, for clock rates.
	Margin time.Duration
	// Eligible tells whether this process may contend now; nil means always.
	Eligible func() bool
	// Rank is this process's place among the contenders, from zero; those
	// behind the first few read the row more seldom. Nil means zero.
	Rank func() int
	// Epoch returns the newest epoch of the table service (see table.Version). Nil is a service that
	// never comes back from a copy.
	Epoch func() uint64
}

func (c Config) withDefaults() Config {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Renew == 0 {
		c.Renew = DefaultRenew
	}
	if c.Poll == 0 {
		c.Poll = DefaultPoll
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	return c
}

func (c Config) epoch() uint64 {
	if c.Epoch == nil {
		return 0
	}
	return c.Epoch()
}

func (c Config) eligible() bool { return c.Eligible == nil || c.Eligible() }

func (c Config) rank() int {
	if c.Rank == nil {
		return 0
	}
	return c.Rank()
}

func (c Config) pollDelay() time.Duration { return loop.Jitter(pollInterval(c.Poll, c.rank())) }
