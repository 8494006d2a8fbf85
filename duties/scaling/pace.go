package scaling

import "time"

// Every VM hears of each endpoint that comes or leaves, and must know within the platform's bound of
// one that leaves. Hundreds at once hold that news up in a large region, so numbers move in steps.
const (
	// maxComing is how many revocable endpoints of a zone are started at a time. Ordinary ones make
	// up for others that were taken away, and are not held up.
	maxComing = 30
	// maxLeaving is how many endpoints of a zone and kind are told to leave at a time, and leavePause
	// the time until the next ones are.
	maxLeaving = 10
	leavePause = 3 * time.Second
)

// paced is the next step from the number that there is to the one that is wanted. ordered is what was
// last ordered, and starting tells whether some of these may still be starting.
func paced(have, ordered, want int, starting, revocable bool) int {
	switch {
	case want < have-maxLeaving:
		return have - maxLeaving
	case !revocable || want <= have+maxComing:
		return want
	case starting && ordered > have:
		return ordered
	}
	return have + maxComing
}
