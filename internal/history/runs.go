package history

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// CallerResult is the result of one request as the caller received it.
type CallerResult struct {
	Request string
	// Key is the request's idempotency key, or empty.
	Key string
	// Want is the expected response; Got is the received one, or empty.
	Want, Got string
	// Ran is the outcome of a failed request, or empty.
	Ran failure.Outcome
}

// Run is one execution of a call at an endpoint.
type Run struct{ Request, Key string }

// Check returns a description of each violation: a key that ran twice, a request
// that ran although it was reported as not run, and a caller that received the
// response to another request.
func Check(results []CallerResult, runs []Run) []string {
	var violations []string
	byKey, byRequest := make(map[string]int), make(map[string]int)
	for _, r := range runs {
		byKey[r.Key]++
		byRequest[r.Request]++
		if r.Key != "" && byKey[r.Key] == 2 {
			violations = append(violations, fmt.Sprintf("key %s ran more than once", r.Key))
		}
	}
	for _, t := range results {
		if t.Ran == failure.NotRun && byRequest[t.Request] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was reported as not run but ran", t.Request))
		}
		if t.Got != "" && t.Got != t.Want {
			violations = append(violations, fmt.Sprintf("request %s: got response %q, want %q", t.Request, t.Got, t.Want))
		}
	}
	return violations
}
