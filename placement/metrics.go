package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// predictionRatio is the actual time to the first event divided by the predicted one: 1 is exact,
// and above 2 the VM's model of the engines is wrong.
var predictionRatio = metrics.GetOrCreateHistogram("springweir_prediction_ratio")

// observePrediction records the predicted and the actual time to a first event.
func observePrediction(predicted, actual time.Duration) {
	if predicted > 0 {
		predictionRatio.Update(float64(actual) / float64(predicted))
	}
}
