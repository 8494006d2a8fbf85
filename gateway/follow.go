package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/table"
)

// followConfig puts each new configuration in force.
func (g *Gateway) followConfig(ctx context.Context) {
	f := &table.Follower{
		Feed:  g.configs,
		Table: g.platform.Config.Table,
		OnList: func(rows []table.Row, _ table.Listing) {
			for _, row := range rows {
				g.takeConfig(row)
			}
		},
		OnChanges: func(changes []table.Change, _ bool) {
			for _, c := range changes {
				if !c.Deleted {
					g.takeConfig(c.Row)
				}
			}
		},
		OnLost: func(err error) {
			g.state.configLost.Store(time.Now().UnixNano())
			klog.InfoS("gateway: configuration cannot be followed", "err", err)
		},
		OnRegained: func(away time.Duration) {
			g.state.configLost.Store(0)
			klog.InfoS("gateway: configuration is followed again", "away", away)
		},
	}
	f.Run(ctx)
}

// takeConfig puts a configuration in force. A row that cannot be understood
// leaves the present one.
func (g *Gateway) takeConfig(row table.Row) {
	if row.Key != g.platform.Config {
		return
	}
	c, err := g.platform.DecodeConfig(row)
	if err != nil {
		klog.ErrorS(err, "gateway: configuration not understood, the present one stays")
		return
	}
	if g.state.setConfig(c) {
		klog.InfoS("gateway: configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
	}
}
