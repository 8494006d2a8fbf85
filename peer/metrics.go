package peer

import "github.com/VictoriaMetrics/metrics"

var (
	calls        = metrics.NewCounter(`springweir_peer_calls_total`)
	callFailures = metrics.NewCounter(`springweir_peer_call_failures_total`)
)
