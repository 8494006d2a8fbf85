package usage

import "github.com/VictoriaMetrics/metrics"

var (
	// windowsReported counts windows that the platform accepted, windowsMissed those that were not
	// reported in time while this VM held the lease.
	windowsReported = metrics.NewCounter("springweir_usage_windows_reported_total")
	windowsMissed   = metrics.NewCounter("springweir_usage_windows_missed_total")
	// reportsFailed counts reports that were not accepted and are retried.
	reportsFailed = metrics.NewCounter("springweir_usage_reports_failed_total")
	// requestsUnnamed counts requests that were not reported because this VM has no name for the
	// organisation.
	requestsUnnamed = metrics.NewCounter("springweir_usage_requests_nameless_total")
	// replicasUnread counts failed reads from replicas.
	replicasUnread = metrics.NewCounter("springweir_usage_keepers_unread_total")
)
