// Package weightstore defines the interface to the store from which engines fetch
// weights. The store's rate limit covers all availability zones together, so loads
// are planned against a budget.
package weightstore

import (
	"context"
	"time"
)

// Artifact identifies weights that an engine can load.
type Artifact struct {
	Model string `json:"model"`
	// Adapter is empty for the base model.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// Info describes an artifact in the store.
type Info struct {
	Artifact Artifact `json:"artifact"`
	// Bytes is the download size.
	Bytes int64 `json:"bytes"`
}

// Limits holds the store's limits, which apply to all callers together.
type Limits struct {
	// BytesPerSecond is the rate above which the store refuses fetches.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Concurrent is the maximum number of concurrent fetches.
	Concurrent int `json:"concurrent"`
	// Window is the period over which the rate is measured.
	Window time.Duration `json:"window"`
}

// Store provides metadata of the weight store. Only engines fetch weights.
type Store interface {
	// Describe returns the size of an artifact.
	Describe(ctx context.Context, a Artifact) (Info, error)
	// Limits returns the current limits.
	Limits(ctx context.Context) (Limits, error)
}
