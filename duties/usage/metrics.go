package usage

import "github.com/VictoriaMetrics/metrics"

var (
	// reported counts the windows that the platform took, and missed those that were not reported
	// while this VM held the lease.
	reported = metrics.NewCounter("springweir_usage_windows_reported_total")
	missed   = metrics.NewCounter("springweir_usage_windows_missed_total")
	// failed counts reports that were not taken and were tried again.
	failed = metrics.NewCounter("springweir_usage_reports_failed_total")
	// nameless counts requests of organisations whose names the holder did not know.
	nameless = metrics.NewCounter("springweir_usage_requests_nameless_total")
	// unread counts keepers that did not give their accounts.
	unread = metrics.NewCounter("springweir_usage_keepers_unread_total")
)
