package admission

import (
	"time"

	"github.com/springweir/springweir/failure"
)

// maxHeads is the number of flows whose first request is tried.
const maxHeads = 4

// DecidedFunc receives the outcome of a request that has left its queue: it is sent according to
// the prediction, or refused with an error. It must not call the Queue.
type DecidedFunc func(it *Item, prediction Prediction, err error)

// Dispatch sends all requests that may be sent now and refuses those that can no longer meet their
// deadline.
//
// If the first request is not ready, ready requests at the head of the next few flows are sent
// before it: a short request may use an engine at which a long one would have to wait. The first
// request keeps its position. Once half of the time until its latest start has passed, it can no
// longer be overtaken: it is sent if an engine would queue it, and blocks the other flows if not.
func (q *Queue) Dispatch(now time.Duration, predict Predictor, decided DecidedFunc) {
	for q.dispatchOne(now, predict, decided) {
	}
}

// dispatchOne sends or refuses the first request that can be decided, and reports whether there was
// one. It handles a single request, because each one changes the order of the others.
func (q *Queue) dispatchOne(now time.Duration, predict Predictor, decided DecidedFunc) bool {
	for _, it := range q.heads(maxHeads) {
		prediction, err := predict(now, &it.Work)
		if err == nil && it.Work.Deadline != 0 && now+prediction.ServiceTime > it.Work.Deadline {
			err = q.lateError()
		}
		overdue := now >= it.overdueAt()
		switch {
		case err != nil:
			q.Cancel(now, it)
		case prediction.Ready || overdue && prediction.Queueable:
			q.Send(now, it)
		case overdue:
			return false
		default:
			continue
		}
		decided(it, prediction, err)
		return true
	}
	return false
}

// overdueAt returns the time at which half of the interval from arrival to latest start has passed.
func (it *Item) overdueAt() time.Duration {
	return it.Arrived + (it.LatestStart-it.Arrived)/2
}

// lateError returns the refusal of a request that can no longer meet its deadline.
func (q *Queue) lateError() *failure.Request {
	return refusal(failure.DeadlineUnreachable, q.retryAfter(0), "the answer can no longer be whole by the deadline")
}
