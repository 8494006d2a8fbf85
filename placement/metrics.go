package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// predictionRatio is the actual time to the first event divided by the predicted one: 1 is exact,
// and above 2 the VM's model of the engines is wrong.
var predictionRatio = metrics.GetOrCreateHistogram("springweir_prediction_ratio")

var (
	// serviceCostRatio is the observed duration of a request to a plain service divided by the
	// predicted one.
	serviceCostRatio = metrics.GetOrCreateHistogram("springweir_service_cost_ratio")
	// servicesRefusedLate counts the requests to plain services that were refused because waiting
	// would have made them late.
	servicesRefusedLate = metrics.NewCounter(`springweir_service_refused_total{reason="late"}`)
	// servicesAbandonedSlow counts the attempts that were given up while their endpoint answered others.
	servicesAbandonedSlow = metrics.NewCounter(`springweir_service_wasted_total{reason="slow"}`)
)

// observePrediction records the predicted and the actual time to a first event.
func observePrediction(predicted, actual time.Duration) {
	if predicted > 0 {
		predictionRatio.Update(float64(actual) / float64(predicted))
	}
}
