package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/table"
)

// storedConfig is the newest state of the configuration received from the store and fully applied.
type storedConfig struct {
	// tableVersion is the version of the table. version is that of the configuration; zero if its
	// row is missing or malformed.
	tableVersion table.Version
	version      uint64
}

// followConfig puts each new configuration in force until ctx ends.
func (g *Gateway) followConfig(ctx context.Context) {
	version := uint64(0)
	f := &table.Follower{
		Feed:  g.configs,
		Table: g.platform.Config.Table,
		OnList: func(rows []table.Row, listing table.Listing) {
			version = 0
			if listing.NewEpoch {
				g.keepConfigAgain()
			}
			for _, row := range rows {
				version = g.applyConfigChange(table.Change{Row: row}, version)
			}
		},
		OnChanges: func(changes []table.Change, _ bool) {
			for _, c := range changes {
				version = g.applyConfigChange(c, version)
			}
		},
		OnResponse: func() {
			g.stored.Store(&storedConfig{tableVersion: g.configs.Version(), version: version})
			g.confirmConfig(version, g.configs.ConfirmedAt())
			g.recordUnusable(ctx, version == 0)
		},
		OnUnavailable: func(err error) {
			g.state.configLostAt.Store(time.Now().UnixNano())
			klog.InfoS("gateway: configuration cannot be followed", "err", err)
		},
		OnRecovered: func(outage time.Duration) {
			g.state.configLostAt.Store(0)
			klog.InfoS("gateway: configuration is followed again after an outage", "away", outage)
		},
	}
	f.Run(ctx)
}

// applyConfigChange applies a change of the operators' table. Given the configuration version that
// the store held before the change, it returns the one held after it; zero if the row is missing or
// malformed.
func (g *Gateway) applyConfigChange(c table.Change, previous uint64) uint64 {
	switch {
	case c.Row.Key != g.platform.Config:
		return previous
	case c.Deleted:
		return 0
	}
	return g.applyConfig(c.Row)
}

// applyConfig puts a configuration in force unless it is older than the current one, and returns
// its version. A row that is malformed as a whole leaves the current configuration in force and has version zero.
func (g *Gateway) applyConfig(row table.Row) uint64 {
	c, err := g.platform.DecodeConfig(row)
	switch {
	case c == nil:
		klog.ErrorS(err, "gateway: malformed configuration, keeping the current one")
		return 0
	case err != nil && c.Version > g.state.version():
		klog.ErrorS(err, "gateway: parts of the configuration are malformed, requests that depend on them are refused", "parts", c.MalformedParts)
	}
	g.origins.SetConfig(c)
	if g.state.setConfig(c) {
		g.freshness.SetInForce(c.Version)
		g.keepConfig(c.Version, row)
		klog.InfoS("gateway: configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "organisations", c.Organisations.Len())
	}
	return c.Version
}

// confirmConfig records that the store held an applied version at a given time. A malformed
// configuration confirms nothing, as it may have revoked keys.
func (g *Gateway) confirmConfig(version uint64, at time.Time) {
	if version != 0 && !at.IsZero() {
		g.freshness.Confirm(freshness.Confirmation{Version: version, At: at})
	}
}
