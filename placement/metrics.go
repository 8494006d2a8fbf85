package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// predictionRatio is how long first events took, as a part of what was predicted: one is
// right, and above two the VM does not know what the engines do.
var predictionRatio = metrics.GetOrCreateHistogram("springweir_prediction_ratio")

// observePrediction notes a first event that came after so long.
func observePrediction(predicted, actual time.Duration) {
	if predicted > 0 {
		predictionRatio.Update(float64(actual) / float64(predicted))
	}
}
