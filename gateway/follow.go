package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/table"
)

// storedConfig is what the store told of the configuration, all of which has been taken in.
type storedConfig struct {
	// tableVersion is the version of the table, version that of the configuration; zero if that was not
	// understood, or is not there.
	tableVersion table.Version
	version      uint64
}

// followConfig puts each new configuration in force.
func (g *Gateway) followConfig(ctx context.Context) {
	version := uint64(0)
	f := &table.Follower{
		Feed:  g.configs,
		Table: g.platform.Config.Table,
		OnList: func(rows []table.Row, _ table.Listing) {
			version = 0
			for _, row := range rows {
				version = g.applyConfigChange(table.Change{Row: row}, version)
			}
		},
		OnChanges: func(changes []table.Change, _ bool) {
			for _, c := range changes {
				version = g.applyConfigChange(c, version)
			}
		},
		OnAnswered: func() {
			g.stored.Store(&storedConfig{tableVersion: g.configs.Version(), version: version})
			g.confirmConfig(version, g.configs.Confirmed())
		},
		OnLost: func(err error) {
			g.state.configLostAt.Store(time.Now().UnixNano())
			klog.InfoS("gateway: configuration cannot be followed", "err", err)
		},
		OnRegained: func(outage time.Duration) {
			g.state.configLostAt.Store(0)
			klog.InfoS("gateway: configuration is followed again", "away", outage)
		},
	}
	f.Run(ctx)
}

// applyConfigChange takes in a change of the operators' table. It returns the version of the
// configuration that the store holds after it, given the one before; zero if it holds none that is
// understood.
func (g *Gateway) applyConfigChange(c table.Change, previous uint64) uint64 {
	switch {
	case c.Row.Key != g.platform.Config:
		return previous
	case c.Deleted:
		return 0
	}
	return g.applyConfig(c.Row)
}

// applyConfig puts a configuration in force, unless it is older than the present one, and returns its
// version. A row that cannot be understood leaves the present one, and has version zero.
func (g *Gateway) applyConfig(row table.Row) uint64 {
	c, err := g.platform.DecodeConfig(row)
	if err != nil {
		klog.ErrorS(err, "gateway: configuration not understood, the present one stays")
		return 0
	}
	if g.state.setConfig(c) {
		g.freshness.InForce(c.Version)
		klog.InfoS("gateway: configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "organisations", c.Organisations.Len())
	}
	return c.Version
}

// confirmConfig notes that the store held a version at a moment, once that has been taken in. A
// configuration that is not understood confirms nothing: it may have taken keys away.
func (g *Gateway) confirmConfig(version uint64, at time.Time) {
	if version != 0 && !at.IsZero() {
		g.freshness.Confirm(freshness.Confirmation{Version: version, At: at})
	}
}
