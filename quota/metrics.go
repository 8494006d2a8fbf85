package quota

import "github.com/VictoriaMetrics/metrics"

var (
	reservedByGranter = metrics.NewCounter(`springweir_quota_requests_total{outcome="granted"}`)
	reservedFromOwn   = metrics.NewCounter(`springweir_quota_requests_total{outcome="own-part"}`)
	refused           = metrics.NewCounter(`springweir_quota_requests_total{outcome="refused"}`)
	unanswered        = metrics.NewCounter("springweir_quota_granters_unreachable_total")
)
