package admission

import (
	"time"

	"github.com/springweir/springweir/failure"
)

// maxHeads is how many flows are tried when the first ones are not ready.
const maxHeads = 4

// Fate is told what became of a request that has left its queue: sent on an
// outlook, or given up with an error. It must not call the queue.
type Fate func(it *Item, outlook Prediction, err error)

// Pump sends all that may be sent now and gives up what can no longer be in
// time. A first request that is not ready is passed over by those of the next
// few flows that are (a short question goes to an engine on which a long letter
// would have to wait). It keeps its place, and once half of the time that it can
// spare is over it cannot be passed over any more: it is sent if an engine would
// queue it, and holds up the others if not.
func (q *Queue) Pump(now time.Duration, predict Predictor, fate Fate) {
	for q.pumpOne(now, predict, fate) {
	}
}

// pumpOne decides the first request that can be decided, and tells whether
// there was one: each changes the order of the others.
func (q *Queue) pumpOne(now time.Duration, predict Predictor, fate Fate) bool {
	for _, it := range q.heads(maxHeads) {
		outlook, err := predict(now, &it.Work)
		if err == nil && it.Work.Deadline != 0 && now+outlook.ServiceTime > it.Work.Deadline {
			err = q.lateError()
		}
		overdue := now >= it.overdueAt()
		switch {
		case err != nil:
			q.Cancel(now, it)
		case outlook.Ready || overdue && outlook.Queueable:
			q.Send(now, it)
		case overdue:
			return false
		default:
			continue
		}
		fate(it, outlook, err)
		return true
	}
	return false
}

// overdueAt is when half of the time that the request can spare is over.
func (it *Item) overdueAt() time.Duration {
	return it.Arrived + (it.LatestStart-it.Arrived)/2
}

func (q *Queue) lateError() *failure.Request {
	return refuse(failure.DeadlineUnreachable, q.retryAfter(0), "the answer can no longer be whole by the deadline")
}
