package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/internal/httponce"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Rows    table.Service
	Objects object.Store
	Members membership.List
	Weights weightstore.Store
}

// NewPlatform returns clients of the platform that is configured in p.
func NewPlatform(p *settings.Process) Platform {
	return Platform{
		Rows:    table.NewMetered(table.NewClient(p.Platform, httponce.Config{}), metrics.GetDefaultSet()),
		Objects: object.NewClient(p.Platform, httponce.Config{}),
		Members: membership.NewClient(p.Platform, p.Zone, httponce.Config{}),
		Weights: weightstore.NewClient(p.Platform, httponce.Config{}),
	}
}
