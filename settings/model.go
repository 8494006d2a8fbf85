package settings

import "time"

// The structs below hold effective values. Each field with a key tag is set from the key of that
// name. A test checks that the tags match Keys.

// FleetSettings apply to all zones together.
type FleetSettings struct {
	// FetchBudget is in bytes per second.
	FetchBudget     float64 `key:"fetch-budget"`
	FetchConcurrent int     `key:"fetch-concurrent"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string `key:"region"`
}

// Deadlines are the default deadlines of requests by priority class. Limit caps those that callers
// request.
type Deadlines struct {
	Interactive time.Duration `key:"deadline-interactive"`
	Standard    time.Duration `key:"deadline-standard"`
	Batch       time.Duration `key:"deadline-batch"`
	Limit       time.Duration `key:"deadline-limit"`
}

// Retry limits retries.
type Retry struct {
	// Budget is the ratio of retries to first attempts; 0.1 allows one retry per ten attempts.
	Budget float64 `key:"retry-budget"`
	// Floor is the number of retries per second that each entry may send regardless of Budget.
	Floor    float64 `key:"retry-floor"`
	Burst    int     `key:"retry-burst"`
	Attempts int     `key:"retry-attempts"`
	// Backoff is the maximum delay before the first retry.
	Backoff      time.Duration `key:"retry-backoff"`
	BackoffLimit time.Duration `key:"retry-backoff-limit"`
}

// Queues limits the requests that wait on one entry, and sets the shares of the freed capacity.
type Queues struct {
	Limit             int           `key:"queue-limit"`
	OrganisationLimit int           `key:"queue-organisation-limit"`
	TimeLimit         time.Duration `key:"queue-time-limit"`
	// Interactive, Standard and Batch are the relative shares of the priority classes.
	Interactive float64 `key:"share-interactive"`
	Standard    float64 `key:"share-standard"`
	Batch       float64 `key:"share-batch"`
}

// Spill controls the requests that are sent to other zones.
type Spill struct {
	Enabled  bool          `key:"spill"`
	Margin   time.Duration `key:"spill-margin"`
	AgeLimit time.Duration `key:"spill-age-limit"`
}

// Ejection controls when an endpoint is ejected because of failures.
type Ejection struct {
	Failures int `key:"eject-failures"`
	// Unresponsive is the number of consecutive requests without any response that ejects.
	Unresponsive int `key:"eject-silent"`
	// FailureRate is the failure rate below which an endpoint is not ejected for doing worse than
	// its peers, from 0 to 1.
	FailureRate float64       `key:"eject-failure-rate"`
	Time        time.Duration `key:"eject-time"`
	TimeLimit   time.Duration `key:"eject-time-limit"`
	// Share is the maximum fraction of a pool or service in a zone that may be ejected, from 0 to
	// 1.
	Share float64 `key:"eject-share"`
}

// Roles configures the role planner.
type Roles struct {
	Planning      bool          `key:"role-planning"`
	GoodputWeight float64       `key:"goodput-weight"`
	ChangeWeight  float64       `key:"change-weight"`
	MinimumStay   time.Duration `key:"minimum-stay"`
	// ChangeBudget is in changes per second.
	ChangeBudget   float64       `key:"change-budget"`
	ChangeBurst    int           `key:"change-burst"`
	MaxUnavailable int           `key:"max-away"`
	Floor          int           `key:"floor"`
	FloorPrefill   int           `key:"floor-prefill"`
	FloorDecode    int           `key:"floor-decode"`
	ReportAgeLimit time.Duration `key:"report-age-limit"`
	ChangeTime     time.Duration `key:"change-time"`
	// PrefillRate is in prompt tokens per second per engine.
	PrefillRate        float64       `key:"prefill-rate"`
	DecodeStep         time.Duration `key:"decode-step"`
	DecodeStepSequence time.Duration `key:"decode-step-sequence"`
	BatchLimit         int           `key:"batch-limit"`
}

// PoolSettings holds a pool's values, in general or for one zone.
type PoolSettings struct {
	Deadlines Deadlines
	Retry     Retry
	Queues    Queues
	Spill     Spill
	Ejection  Ejection
	Roles     Roles
	// BodyLimit is in bytes.
	BodyLimit int64 `key:"body-limit"`
	// PromptLimit and OutputLimit are in tokens.
	PromptLimit          int           `key:"prompt-limit"`
	OutputLimit          int           `key:"output-limit"`
	FirstTokenTimeout    time.Duration `key:"first-token-timeout"`
	BetweenTokensTimeout time.Duration `key:"between-tokens-timeout"`
	// Models lists model names, the highest priority first.
	Models []string `key:"models"`
}

// Pool is a set of engines that serve the same models.
type Pool struct {
	Name   string
	Parent string `key:"parent"`
	// Settings are the values where no zone narrows them.
	Settings PoolSettings
	byZone   map[string]PoolSettings
}

// ForZone returns the pool's values for a zone.
func (p Pool) ForZone(zone string) PoolSettings {
	if s, found := p.byZone[zone]; found {
		return s
	}
	return p.Settings
}

// ServiceSettings holds a service's values, in general or for one zone.
type ServiceSettings struct {
	Deadlines Deadlines
	Retry     Retry
	Queues    Queues
	Ejection  Ejection
	// BodyLimit is in bytes.
	BodyLimit      int64         `key:"body-limit"`
	ClaimRetention time.Duration `key:"claim-retention"`
	Repeatable     bool          `key:"repeatable"`
}

// Service is a plain HTTP service, as opposed to a pool of engines.
type Service struct {
	Name   string
	Parent string `key:"parent"`
	// Settings are the values where no zone narrows them.
	Settings ServiceSettings
	byZone   map[string]ServiceSettings
}

// ForZone returns the service's values for a zone.
func (s Service) ForZone(zone string) ServiceSettings {
	if v, found := s.byZone[zone]; found {
		return v
	}
	return s.Settings
}

// Fencing is the way in which an engine treats orders with an old fencing token.
type Fencing string

// The values of Fencing: an engine either refuses such orders or ignores the token.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Endpoint is an engine (Pool set) or a service's endpoint (Service set).
type Endpoint struct {
	Name    string
	Pool    string `key:"pool"`
	Service string `key:"service"`
	Zone    string `key:"zone"`
	Address string `key:"address"`
	// VM is the endpoint's name on the membership list. It defaults to Name and is never empty.
	VM        string  `key:"vm"`
	Fencing   Fencing `key:"fencing"`
	Drain     bool    `key:"drain"`
	Withdrawn bool    `key:"withdrawn"`
	ReplaceBy string  `key:"replace-by"`
}

// IsEngine reports whether the endpoint is an engine.
func (e Endpoint) IsEngine() bool { return e.Pool != "" }

// Leaving reports whether the endpoint is marked as drained or withdrawn and must receive no new
// work. An endpoint with ReplaceBy serves until its replacement has taken over and drain is set.
func (e Endpoint) Leaving() bool { return e.Drain || e.Withdrawn }

// Organisation is a customer with its API keys and limits.
type Organisation struct {
	Name   string
	Parent string `key:"parent"`
	// KeyHashes are SHA-256 sums in hexadecimal.
	KeyHashes []string `key:"key-hashes"`
	// Priority is the default class: interactive, standard or batch.
	Priority string `key:"priority"`
	// PriorityLimit is the most urgent class that requests may specify.
	PriorityLimit string `key:"priority-limit"`
	// Models and Services list what the organisation may use; nil allows all.
	Models   []string `key:"models"`
	Services []string `key:"services"`
	// Weight is the organisation's share relative to other organisations.
	Weight float64 `key:"weight"`
	// TokenRate is the limit in tokens per second over all entries; zero means no limit.
	TokenRate   float64 `key:"token-rate"`
	Concurrency int     `key:"concurrency"`
}

// Adapter is an adapter of a model at a version.
type Adapter struct {
	Name    string
	Version string
}

// Model is a model to serve.
type Model struct {
	Name     string
	Version  string `key:"version"`
	Adapters []Adapter
	// Copies is the number of engines of each pool and zone that should have the model loaded.
	Copies int `key:"copies"`
}
