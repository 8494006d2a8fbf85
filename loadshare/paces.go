package loadshare

import (
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// pacesInterval is the time between two rounds in which a collector sends paces, and
	// maxPacesPerRound the most endpoints that one such round contains: 3 KB/s to each receiver. All
	// of 90 engines are thus reported within 0.4 s.
	pacesInterval    = 100 * time.Millisecond
	maxPacesPerRound = 24
	// maxPendingPaces bounds the endpoints whose paces wait to be sent; those of further endpoints are
	// dropped.
	maxPendingPaces = 1024
)

// paceQueue adds up paces by endpoint until they are sent, in the order in which the endpoints were added.
type paceQueue struct {
	pending []*sharepb.Pace
	// index holds the pending paces by endpoint.
	index  map[uint32]*sharepb.Pace
	sentAt time.Time
}

// add adds paces to those that wait.
func (q *paceQueue) add(list []*sharepb.Pace) {
	for _, p := range list {
		if sum := q.index[p.Endpoint]; sum != nil {
			sum.Samples += p.Samples
			sum.LogRatioMilli += p.LogRatioMilli
			continue
		}
		if len(q.pending) >= maxPendingPaces {
			pacesDropped.Inc()
			continue
		}
		if q.index == nil {
			q.index = map[uint32]*sharepb.Pace{}
		}
		sum := &sharepb.Pace{Endpoint: p.Endpoint, Samples: p.Samples, LogRatioMilli: p.LogRatioMilli}
		q.pending, q.index[p.Endpoint] = append(q.pending, sum), sum
	}
}

// take returns the paces to send in this round.
func (q *paceQueue) take(now time.Time) []*sharepb.Pace {
	if len(q.pending) == 0 || now.Sub(q.sentAt) < pacesInterval {
		return nil
	}
	q.sentAt = now
	return q.takeFirst(maxPacesPerRound)
}

// takeFirst returns at most n of the paces that wait.
func (q *paceQueue) takeFirst(n int) []*sharepb.Pace {
	n = min(n, len(q.pending))
	list := q.pending[:n:n]
	q.pending = q.pending[n:]
	for _, p := range list {
		delete(q.index, p.Endpoint)
	}
	return list
}
