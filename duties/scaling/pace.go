package scaling

import "time"

// Every VM is notified of each endpoint that starts or stops, and has to learn of one that stops
// within the platform's bound. Changing hundreds at once delays those notifications in a large
// region, so endpoint counts change in steps.
const (
	// maxStartStep is the number of revocable endpoints of a zone that are started at a time.
	// Ordinary endpoints replace reclaimed ones and are not limited.
	maxStartStep = 30
	// maxStopStep is the number of endpoints of a zone and kind that are stopped at a time, and
	// stopStepInterval the time between two such steps.
	maxStopStep      = 10
	stopStepInterval = 3 * time.Second
)

// nextStep returns the next number to order on the way from current to target. ordered is the
// number last ordered; starting reports whether some of those may still be starting.
func nextStep(current, ordered, target int, starting, revocable bool) int {
	switch {
	case target < current-maxStopStep:
		return current - maxStopStep
	case !revocable || target <= current+maxStartStep:
		return target
	case starting && ordered > current:
		return ordered
	}
	return current + maxStartStep
}
