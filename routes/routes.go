// Package routes holds the routing configuration, one immutable value for each version: which
// requests go to which service, how often they may be attempted, and how long they may take.
package routes

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/springweir/springweir/organisation"
)

// Kind determines whether the requests of a route may be repeated.
type Kind uint8

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events and run at most once, unless the route
	// is resumable.
	Stream
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the weights of the other targets.
	Weight float64
}

// Route defines how requests for a host and a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the duration of a request; zero means no limit.
	Timeout time.Duration
	// Objective is the target latency of the response, or of the first event of a stream; zero
	// means none.
	Objective time.Duration
	// EventGap is the target for the longest pause between two events of a stream.
	EventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int
	// Resumable streams may be continued on another endpoint.
	Resumable bool
	// Open routes require no API key.
	Open bool
	// Malformed is set if it is only known which requests the route is for. They are refused.
	Malformed bool
	// Targets are the services of the route, at least one unless the route is malformed.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.IsResumable()
}

// IsResumable reports whether the streams of the route may be continued on another endpoint.
func (r *Route) IsResumable() bool { return r.Kind == Stream && r.Resumable }

// Service selects the service of one request by weight; draw is uniformly distributed over [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// SendsTo reports whether the route may send requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Engine is the configuration of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVTokens is the KV cache capacity of an engine, in tokens of KVTokenBytes each.
	KVTokens     int
	KVTokenBytes int64
	// LinkBitsPerSecond is the bandwidth of an engine's link for KV cache transfers.
	LinkBitsPerSecond float64
	// HandleTTL is how long an exported KV cache is held for its import.
	HandleTTL time.Duration
	// RoleChangeDuration is how long an engine is unavailable while it changes its role.
	RoleChangeDuration time.Duration
	// Backups is set if an engine can replicate the state of a run incrementally to another one.
	Backups bool
	// Models are the names of the models that the engines serve.
	Models []string
}

// Scale bounds the automatic scaling of a service and describes its costs.
type Scale struct {
	// Min and Max bound the number of endpoints in one zone, including revocable ones.
	Min, Max int
	// BootDuration is the time from ordering a new endpoint until it serves requests.
	BootDuration time.Duration
	// RevocablePrice is the price of a revocable endpoint per second, as a fraction of that of a
	// regular one; zero means that no revocable endpoints are available.
	RevocablePrice float64
	// ZonePrices are the prices of an endpoint per second in each zone, relative to each other.
	ZonePrices map[string]float64
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections from all VMs to one endpoint; zero means no limit.
	MaxConns int
	// Engine is set if the endpoints are model engines.
	Engine *Engine
	// Scale is set if the service is scaled automatically.
	Scale *Scale
}

// Limits bounds the size and the duration of what callers send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable once Index has been called.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are the organisations of the callers. If it is nil, no request requires a key.
	Organisations *organisation.Registry
	// MalformedParts is the number of parts of this version that could not be decoded, and MalformedOrganisations that of
	// organisations among them, whose keys are not known.
	MalformedParts, MalformedOrganisations int

	byHost   map[string][]*Route
	services map[string]*Service
}

// Index builds the indexes that Lookup and Service use. It must be called before them.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
}

// unlimitedStream is assumed to be the duration of a stream of a route without a timeout.
const unlimitedStream = 10 * time.Minute

// LongestStream returns how long a response of a resumable route may last.
func (c *Config) LongestStream() time.Duration {
	longest := time.Duration(0)
	for _, r := range c.Routes {
		switch {
		case !r.IsResumable():
		case r.Timeout == 0:
			longest = max(longest, unlimitedStream)
		default:
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Lookup returns the route of the host with the longest prefix of the path, or nil.
func (c *Config) Lookup(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }
