package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/relay"
)

// An attempt is abandoned for a plan that is available, so Available must not promise one that Plan
// refuses.
func TestAvailablePromisesNoRefusedPlan(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"the other engine only prefills": func(f *fixture) {
			f.addEngine("d", "a", engine.Decode)
			f.addEngine("p", "a", engine.Prefill)
		},
		"the other engine is full": func(f *fixture) {
			f.addEngine("d", "a", engine.Decode)
			f.addEngine("e", "a", engine.Decode)
			for range 40 {
				if _, failed := f.planner.Plan(f.longReq("x"), relay.AttemptState{Tried: []string{"d"}}); failed != nil {
					break
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				prepare(f)
				state := relay.AttemptState{Number: 1, Tried: []string{"d"}, Colocated: true}
				available := f.planner.Available(f.shortReq(), state)
				_, failed := f.planner.Plan(f.shortReq(), state)
				if available && failed != nil {
					t.Errorf("available, but the plan is refused: %s (%s)", failed.Code, failed.Message)
				}
			})
		})
	}
}
