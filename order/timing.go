package order

import "time"

// Timing holds the intervals and limits for sending orders. A zero field takes its default.
type Timing struct {
	// SendTimeout is the hard deadline of one order's connection, measured from the start of
	// the send: no byte of the order is sent after it.
	SendTimeout time.Duration
	// LeaseMargin is how much of the lease must remain at the hard deadline.
	LeaseMargin time.Duration
	// MaxTransit is how long data sent before the deadline may still be in the network or in
	// the engine's receive buffer.
	MaxTransit time.Duration
	// PollInterval is the time between two reads of an engine's state.
	PollInterval time.Duration
	// TimeSlice is how long a worker works on one engine before it takes the next.
	TimeSlice time.Duration
	// CallTimeout bounds one call to a peer or an engine.
	CallTimeout time.Duration
	// MaxSends is how many copies of an order are sent before it is given up.
	MaxSends int
}

// Defaults for Timing.
const (
	DefaultSendTimeout  = 2 * time.Second
	DefaultLeaseMargin  = 500 * time.Millisecond
	DefaultMaxTransit   = 2 * time.Second
	DefaultPollInterval = 250 * time.Millisecond
	DefaultTimeSlice    = 30 * time.Second
	DefaultCallTimeout  = time.Second
	DefaultMaxSends     = 3
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.SendTimeout, DefaultSendTimeout)
	setDefault(&t.LeaseMargin, DefaultLeaseMargin)
	setDefault(&t.MaxTransit, DefaultMaxTransit)
	setDefault(&t.PollInterval, DefaultPollInterval)
	setDefault(&t.TimeSlice, DefaultTimeSlice)
	setDefault(&t.CallTimeout, DefaultCallTimeout)
	if t.MaxSends == 0 {
		t.MaxSends = DefaultMaxSends
	}
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
