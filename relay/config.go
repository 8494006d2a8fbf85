package relay

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/memory"
)

// Config configures a Relay. Planner, Upstream, Budget and Endpoints are required; zero settings
// take the defaults.
type Config struct {
	Planner  Planner
	Upstream Upstream
	// Budget returns the retry budget of a service.
	Budget func(service string) Budget
	// Guard refuses requests that crash endpoints; nil disables the check.
	Guard Guard
	// Meter counts the requests that endpoints start to run; nil disables counting.
	Meter Meter
	// Router re-routes requests by the current configuration; nil keeps the original routes.
	Router Router
	// Origins knows which software began each stream; nil does not bind streams that callers take up.
	Origins Origins
	// Endpoints returns the latest snapshot of the endpoints.
	Endpoints func() *directory.Snapshot
	// ShutdownAt returns by when requests must have their answer because of this VM's planned shutdown,
	// which closes those that are still open soon after. A zero time, or a nil function, means that no
	// shutdown is planned.
	ShutdownAt func() time.Time
	// LateInShutdown reports whether the planned shutdown has come so far that callers reach other VMs with new
	// connections. Nil means never.
	LateInShutdown func() bool
	// Memory bounds the bytes of responses that are held at a time (default: that of a VM of memory.DefaultVM).
	Memory *memory.Budget
	// MaxResponseBytes bounds a response that is not a stream, in bytes (default 16 MiB).
	MaxResponseBytes int64
	// MaxEventBytes bounds one event of a stream, in bytes (default 1 MiB).
	MaxEventBytes int
	// MaxEndpoints bounds the endpoints tried for one request, except for those that refuse the
	// connection (default 4).
	MaxEndpoints int
	// StallFraction sets how long an attempt of a repeatable request may produce nothing before
	// the request is retried elsewhere, as a fraction of the route's objective (default 0.75).
	StallFraction float64
	// MinStallTimeout is the lower bound of that timeout (default 60 ms, because a request queued
	// behind one long prefill is not stalled).
	MinStallTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxEndpoints     = 4
	DefaultStallFraction    = 0.75
	DefaultMinStallTimeout  = 60 * time.Millisecond
)

// Budget bounds the retries of a service.
type Budget interface {
	// First records the first attempt of a request.
	First()
	// Available reports whether a retry is available.
	Available() bool
	// Take consumes one retry and reports whether one was available.
	Take() bool
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Guard == nil {
		cfg.Guard = noGuard{}
	}
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	if cfg.Origins == nil {
		cfg.Origins = noOrigins{}
	}
	if cfg.Router == nil {
		cfg.Router = noRouter{}
	}
	if cfg.ShutdownAt == nil {
		cfg.ShutdownAt = func() time.Time { return time.Time{} }
	}
	if cfg.LateInShutdown == nil {
		cfg.LateInShutdown = func() bool { return false }
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if cfg.MaxEventBytes == 0 {
		cfg.MaxEventBytes = DefaultMaxEventBytes
	}
	if cfg.MaxEndpoints == 0 {
		cfg.MaxEndpoints = DefaultMaxEndpoints
	}
	if cfg.StallFraction == 0 {
		cfg.StallFraction = DefaultStallFraction
	}
	if cfg.MinStallTimeout == 0 {
		cfg.MinStallTimeout = DefaultMinStallTimeout
	}
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Responses, nil)
	}
	return &Relay{cfg: cfg, bodies: bodyReader{budget: cfg.Memory}}
}
