package enginemodel

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/costs"
)

// TestDefaultParamsMatchCostDefaults checks that the model's defaults, which are defined
// separately, match the defaults of package costs, on which scheduling decisions are
// based. The model derives the KV transfer rate from bytes; the rate in costs is rounded.
func TestDefaultParamsMatchCostDefaults(t *testing.T) {
	p := DefaultParams()
	rate := p.KVBytesPerSecond / float64(p.KVBytesPerToken)
	assumed := costs.Defaults()
	if deviation := math.Abs(rate/assumed.MoveRate - 1); deviation > 0.02 {
		t.Errorf("KV transfer rate is %.0f tokens per second, costs.Defaults has %.0f", rate, assumed.MoveRate)
	}
	want := costs.Engine{
		PrefillRate:     p.PrefillRate,
		StepBase:        p.StepBase,
		StepPerSequence: p.StepPerSequence,
		StepPerContext:  p.StepPerContext,
		MixedChunk:      p.MixedChunk,
		DecodeChunk:     p.DecodeChunk,
		MaxBatch:        p.MaxBatch,
		MoveLatency:     p.KVLatency,
		MoveRate:        assumed.MoveRate,
	}
	if diff := cmp.Diff(want, assumed); diff != "" {
		t.Errorf("(-model +assumed):\n%s", diff)
	}
}
