package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lastconfig"
	"github.com/springweir/springweir/table"
)

const (
	// loadAttempts is how often the kept configuration is read in a row, loadRetry the mean pause in between, and
	// loadTimeout the limit of one attempt. It is read again at the next response of the feed.
	loadAttempts = 3
	loadRetry    = 100 * time.Millisecond
	loadTimeout  = time.Second
)

// recordUnusable records whether the operators' row is missing or malformed as a whole. A VM that has no configuration
// then takes the last one that was in force.
func (g *Gateway) recordUnusable(ctx context.Context, unusable bool) {
	g.state.configUnusable.Store(unusable)
	for range loadAttempts {
		if !unusable || g.state.config.Load() != nil {
			return
		}
		err := g.restoreConfig(ctx)
		if err == nil {
			return
		}
		klog.ErrorS(err, "gateway: the last configuration in force cannot be read")
		if !loop.Sleep(ctx, loop.Jitter(loadRetry)) {
			return
		}
	}
}

// restoreConfig puts the configuration in force that the store keeps, if there is one, and valid ones of the operators
// that have come since, as far as the store's history shows them.
func (g *Gateway) restoreConfig(ctx context.Context) error {
	ctx, cancel := clock.WithTimeout(ctx, loadTimeout)
	defer cancel()
	kept, err := lastconfig.Load(ctx, g.platform.Rows)
	if kept == nil {
		return err
	}
	row := table.Row{Key: g.platform.Config, Version: kept.Source, Value: kept.Value}
	klog.InfoS("gateway: the operators' configuration cannot be used, taking the last one that was in force", "version", kept.Version, "row", kept.Source.String())
	if g.applyConfig(row) == 0 {
		return nil // logged
	}
	changes, _, err := g.platform.Feed.Changes(ctx, row.Key.Table, kept.Source, 0)
	if err != nil {
		klog.InfoS("gateway: later configurations are not known", "since", kept.Source.String(), "err", err)
		return nil
	}
	for _, c := range changes {
		g.applyConfigChange(c, 0)
	}
	return nil
}

// keepConfig has the store keep the configuration of a row that is in force.
func (g *Gateway) keepConfig(version uint64, row table.Row) {
	kept := lastconfig.Copy{Version: version, Source: row.Version, Value: row.Value}
	g.inForce.Store(&kept)
	g.lastConfig.Set(kept)
}

// keepConfigAgain does so once more, as a restored store may have lost the copy.
func (g *Gateway) keepConfigAgain() {
	if kept := g.inForce.Load(); kept != nil {
		g.lastConfig.Set(*kept)
	}
}
