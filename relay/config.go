package relay

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// Config is what a Relay works with. Planner, Upstream, Budget and Endpoints are required;
// zero settings take the defaults.
type Config struct {
	Planner  Planner
	Upstream Upstream
	// Budget returns the retry budget of a service.
	Budget func(service string) Budget
	// Guard watches what requests do to endpoints; nil is nobody.
	Guard Guard
	// Meter counts the requests that endpoints begin to run; nil counts none.
	Meter Meter
	// Router says where requests go now; nil leaves their routes as they came.
	Router Router
	// Endpoints returns the newest picture of the endpoints.
	Endpoints func() *directory.Snapshot
	// ShutdownAt returns when this VM's planned stop cuts off what is still open; zero, or nil,
	// is none.
	ShutdownAt func() time.Time
	// MaxAnswer bounds an answer that is no stream, in bytes (default 16 MiB).
	MaxAnswer int64
	// MaxPlaces bounds the endpoints tried for one request, those that could
	// not be reached included (default 4).
	MaxPlaces int
	// Stall is how long a repeatable request may go without a sign of life
	// before it is tried elsewhere, as a part of its route's objective
	// (default 0.75).
	Stall float64
	// MinStall bounds that time from below (default 60 ms: a request behind one
	// long prefill is not stalled).
	MinStall time.Duration
}

// Defaults of Config.
const (
	DefaultMaxAnswer = 16 << 20
	DefaultMaxPlaces = 4
	DefaultStall     = 0.75
	DefaultMinStall  = 60 * time.Millisecond
)

// Budget bounds the attempts beyond the first.
type Budget interface {
	First()
	Take() bool
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Guard == nil {
		cfg.Guard = unguarded{}
	}
	if cfg.Meter == nil {
		cfg.Meter = unmetered{}
	}
	if cfg.Router == nil {
		cfg.Router = unrouted{}
	}
	if cfg.ShutdownAt == nil {
		cfg.ShutdownAt = func() time.Time { return time.Time{} }
	}
	if cfg.MaxAnswer == 0 {
		cfg.MaxAnswer = DefaultMaxAnswer
	}
	if cfg.MaxPlaces == 0 {
		cfg.MaxPlaces = DefaultMaxPlaces
	}
	if cfg.Stall == 0 {
		cfg.Stall = DefaultStall
	}
	if cfg.MinStall == 0 {
		cfg.MinStall = DefaultMinStall
	}
	return &Relay{cfg: cfg}
}
