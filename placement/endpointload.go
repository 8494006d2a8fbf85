package placement

import (
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/failure"
)

// work is the total of the requests in flight at one endpoint.
type work struct {
	// prefill is the prefill still to be done. kvTokens is the cache memory reserved for the
	// running requests, in tokens.
	prefill  prefillWork
	kvTokens int
	running  int
	// serviceUS is the predicted cost of the requests to a plain service, in microseconds at an
	// endpoint of usual speed.
	serviceUS int
}

func (w *work) add(o work) {
	w.prefill = w.prefill.plus(o.prefill)
	w.kvTokens += o.kvTokens
	w.running += o.running
	w.serviceUS += o.serviceUS
}

func (w *work) sub(o work) {
	w.prefill = w.prefill.minus(o.prefill)
	w.kvTokens -= o.kvTokens
	w.running -= o.running
	w.serviceUS -= o.serviceUS
}

// endpointLoad is this VM's state of one incarnation of an endpoint, beyond its registration.
type endpointLoad struct {
	id        string
	startedAt int64
	hash      uint32
	local     work
	// cache is nil for endpoints that are not engines.
	cache *cacheModel
	// calls are this VM's open requests at a plain endpoint. silentAt is when one was given up because the
	// endpoint had sent nothing; zero before.
	calls    map[*reservation]bool
	silentAt time.Time
	// downAt is when the endpoint was found to accept no more connections; zero if it was not, or if
	// it has served a request that was sent since.
	downAt time.Time
	// pausedUntil is the end of the pause after a refusal, and refusals counts consecutive ones.
	pausedUntil time.Time
	refusals    int
	// fullRefusals counts the consecutive refusals of a plain endpoint.
	fullRefusals int
	// unreachable counts consecutive attempts for which this VM could not connect.
	unreachable int
	// heardAt is when the endpoint last sent this VM a response or an event, in nanoseconds since the
	// planner's start: steps of the clock do not affect it.
	heardAt atomic.Int64
}

// recordHeard records that the endpoint has sent something. It takes no lock, since each event of a
// stream calls it.
func (e *endpointLoad) recordHeard(sinceStart time.Duration) { e.heardAt.Store(int64(sinceStart)) }

// heardSince reports whether the endpoint has sent something after a time since the planner's start.
func (e *endpointLoad) heardSince(sinceStart time.Duration) bool {
	return e.heardAt.Load() > int64(sinceStart)
}

const (
	// minPause is the pause after a first refusal. It doubles with each consecutive one, up to
	// maxPause: a full endpoint may have capacity soon, one that changes its role refuses for
	// seconds.
	minPause = 25 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// peerRefusals is the number of refusals assumed for an endpoint that a peer reports as
	// refusing. The first refusal that this VM receives then starts a longer pause, so that the VMs
	// do not all retry the endpoint whenever one of them does.
	peerRefusals = 4
	// wrongIncarnationPause is the pause of an endpoint whose incarnation differs from its row; a
	// new row arrives within about one second.
	wrongIncarnationPause = time.Second
)

// recordRefusal pauses the endpoint. One that has another incarnation or role than its row shows is
// paused until the row is likely to be updated.
func (e *endpointLoad) recordRefusal(now time.Time, code failure.Reason) {
	pause := pauseAfter(e.refusals)
	if code == failure.WrongIncarnation {
		pause = wrongIncarnationPause
	}
	e.pausedUntil = now.Add(pause)
	e.refusals++
}

// pauseFull pauses a plain endpoint that has refused a request because it is full. Its next slot becomes free
// soon: with pauses that double, all endpoints were paused for most of the time under overload.
func (e *endpointLoad) pauseFull(now time.Time) { e.pausedUntil = now.Add(minPause) }

// recordUnreachable pauses the endpoint for this VM only: others may reach it.
func (e *endpointLoad) recordUnreachable(now time.Time) {
	e.pausedUntil = now.Add(pauseAfter(e.unreachable))
	e.unreachable++
}

// pauseAfter returns the pause after the given number of consecutive failures.
func pauseAfter(failures int) time.Duration { return min(minPause<<min(failures, 8), maxPause) }
