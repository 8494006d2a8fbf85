package lease

import "time"

// Defaults for Config.
const (
	DefaultTTL    = 9 * time.Second
	DefaultRenew  = 3 * time.Second
	DefaultPoll   = 3 * time.Second
	DefaultMargin = 500 * time.Millisecond
)

// Config identifies the lease and the contender, and sets the timing.
type Config struct {
	Pool, Zone string
	Identity   Identity
	// TTL is the duration of a lease, Renew the mean time between renewals, and Poll the mean
	// time between a contender's reads. Zero takes the default.
	TTL, Renew, Poll time.Duration
	// Margin is subtracted from the holder's view of the lease duration, to allow for differing
	// clock rates.
	Margin time.Duration
	// SingleProcess states that a VM runs one process at a time. A process then knows that earlier ones of its VM have
	// ended, and does not wait for the end of their leases.
	SingleProcess bool
	// Eligible reports whether this process may contend now; nil means always.
	Eligible func() bool
	// Rank is this process's rank among the contenders, from zero; those beyond the first few
	// read the row less often. Nil means zero.
	Rank func() int
	// Epoch returns the newest epoch of the table service (see table.Version). Nil stands for a
	// service that is never restored from a backup.
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

// succeeds reports whether a holder is an earlier process of this VM, which has ended.
func (c Config) succeeds(holder Identity) bool {
	return c.SingleProcess && holder.VM == c.Identity.VM && holder.Process != c.Identity.Process
}
