// Package routes holds the operators' routing configuration as one immutable
// value for each version: which requests go to which service, how often they may
// be tried, and how long they may take.
package routes

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/springweir/springweir/organisation"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events, and run at most once
	// unless the route is resumable.
	Stream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share, relative to the other targets'.
	Weight float64
}

// Route is where requests go whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request may be held; zero is none.
	Timeout time.Duration
	// Objective is the time within which the answer, or the first event of a
	// stream, should come; zero is none.
	Objective time.Duration
	// EventGap is the longest pause between events of a stream that is in time.
	EventGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	// Open routes need no API key.
	Open bool
	// Targets are the services, at least one.
	Targets []Target
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service chooses the service of one request; draw is evenly spread over [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * total
	for _, t := range r.Targets {
		at -= t.Weight
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// SendsTo tells whether requests of the route may go to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Engine is what the configuration says of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVTokens is an engine's cache memory, in tokens of KVTokenBytes each.
	KVTokens     int
	KVTokenBytes int64
	// LinkBitsPerSecond is the speed of an engine's link for moving KV caches.
	LinkBitsPerSecond float64
	// HandleTTL is how long an exported KV cache is held for its importer.
	HandleTTL time.Duration
	// RoleChangeDuration is how long an engine is away when it changes its role.
	RoleChangeDuration time.Duration
	// Backups tells that an engine can send what it holds of a run to another one as that grows.
	Backups bool
	// Models are the names of the models served.
	Models []string
}

// Scale is within what the number of a service's endpoints may be changed.
type Scale struct {
	// Min and Max bound the endpoints of one zone, revocable ones included.
	Min, Max int
	// BootDuration is how long it takes from an order until a new endpoint serves.
	BootDuration time.Duration
	// RevocablePrice is what a second of a revocable endpoint costs, as a part of another's; zero
	// where there are none.
	RevocablePrice float64
	// ZonePrices are what a second of an endpoint costs in each zone, relative to each other.
	ZonePrices map[string]float64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one endpoint over all VMs; zero is none.
	MaxConns int
	// Engine is set when the endpoints are model engines.
	Engine *Engine
	// Scale is set where the number of endpoints may be changed.
	Scale *Scale
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable once Index was called.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are the callers'. Nil names none: nobody needs a key.
	Organisations *organisation.Registry

	byHost  map[string][]*Route
	service map[string]*Service
}

// Index prepares the look-ups.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	c.service = make(map[string]*Service, len(c.Services))
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Services {
		c.service[c.Services[i].Name] = &c.Services[i]
	}
}

// Lookup returns the route whose prefix begins the path and is longest, or nil.
func (c *Config) Lookup(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.service[name] }
