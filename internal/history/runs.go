package history

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// CallerResult is what a caller was told about one request.
type CallerResult struct {
	Request string
	// Key is the request's idempotency key, or empty.
	Key string
	// Want is the answer that is the request's own; Got is what came, or empty.
	Want, Got string
	// Ran is the outcome of a failure, or empty.
	Ran failure.Outcome
}

// Run is one run of a call at an endpoint.
type Run struct{ Request, Key string }

// Check returns each promise that was broken: a key ran twice, a request that
// was called not run did run, a caller got an answer that is not its own.
func Check(told []CallerResult, runs []Run) []string {
	var broken []string
	byKey, byRequest := make(map[string]int), make(map[string]int)
	for _, r := range runs {
		byKey[r.Key]++
		byRequest[r.Request]++
		if r.Key != "" && byKey[r.Key] == 2 {
			broken = append(broken, fmt.Sprintf("key %s ran again", r.Key))
		}
	}
	for _, t := range told {
		if t.Ran == failure.NotRun && byRequest[t.Request] > 0 {
			broken = append(broken, fmt.Sprintf("request %s was called not run and ran", t.Request))
		}
		if t.Got != "" && t.Got != t.Want {
			broken = append(broken, fmt.Sprintf("request %s got %q, its own answer is %q", t.Request, t.Got, t.Want))
		}
	}
	return broken
}
