package enginemodel

import (
	"container/heap"
	"time"

	"github.com/springweir/springweir/engine"
)

// recentJobs is the maximum number of jobs that Recent returns.
const recentJobs = 64

// Engine models one engine. Its invariants at each step boundary: a live job is in
// exactly one of importing, waiting, prefilling, decoding and held; kvUsed is
// the sum of the reserved tokens of all but the first two; contextTokens is the sum of
// the contexts of decoding; and kvUsed plus the cached blocks fit in KVTokens.
type Engine struct {
	params Params
	role   engine.Role
	// clock is the step boundary that the model has advanced to.
	clock time.Duration
	plan  plan
	jobs  map[JobID]*job
	seq   uint64

	importing  []*job // by importedAt
	waiting    queue
	prefilling []*job // in order of admission
	decoding   []*job
	held       []heldKV // by expiry

	kvUsed        int
	contextTokens int
	cache         *cache

	order       orderRun
	events      []Event
	eventBuffer []Event
	recent      []JobID
	freeJobs    []*job // free list
}

// New returns an idle engine at time zero.
func New(p Params, role engine.Role) *Engine {
	return &Engine{
		params: p,
		role:   role,
		jobs:   make(map[JobID]*job),
		cache:  newCache(p.RecordCache),
	}
}

// Role returns the current role.
func (e *Engine) Role() engine.Role { return e.role }

// Params returns the engine's costs.
func (e *Engine) Params() Params { return e.params }

// Submit submits a job. It fails with *UnavailableError, *RoleError or *TooLongError; the
// job has then not run.
func (e *Engine) Submit(now time.Duration, in Job) error {
	e.advance(now)
	if err := e.checkSubmission(in); err != nil {
		return err
	}
	j := e.newJob(in, now)
	e.jobs[j.ID] = j
	e.recordRecent(j.ID)
	if in.Import {
		j.importedAt = now + e.params.TransferTime(in.PromptTokens)
		e.addImport(j)
	} else {
		e.push(j)
	}
	e.interrupt(now)
	return nil
}

func (e *Engine) checkSubmission(in Job) error {
	if e.order.active && e.order.Cut {
		return &UnavailableError{Until: e.order.end}
	}
	if e.role == engine.Prefill && !in.PrefillOnly {
		return &RoleError{Role: e.role}
	}
	if need := in.PromptTokens + in.OutputTokens; need > e.params.KVTokens {
		return &TooLongError{Tokens: need, Limit: e.params.KVTokens}
	}
	return nil
}

// Cancel ends a job without an event and reports whether the job was live. A step in
// progress is finished first, as in a real engine.
func (e *Engine) Cancel(now time.Duration, id JobID) bool {
	e.advance(now)
	j, ok := e.jobs[id]
	if !ok {
		return false
	}
	j.cancelled = true
	delete(e.jobs, id)
	e.interrupt(now)
	return true
}

// Advance advances the model to now and returns the events since the last call, in order
// of time. The slice is valid until the next call of Advance returns.
func (e *Engine) Advance(now time.Duration) []Event {
	e.advance(now)
	out := e.events
	e.events, e.eventBuffer = e.eventBuffer[:0], out
	return out
}

// NextEvent returns the time at which Advance next has work to do, which does not always
// produce an event. It returns false when the engine is idle.
func (e *Engine) NextEvent() (time.Duration, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	if e.order.active {
		return e.order.end, true
	}
	if e.plan.steps > 0 {
		return e.plan.endOfStep(e.plan.steps), true
	}
	return e.nextWakeup()
}

// nextWakeup returns when an engine without runnable jobs may have one: at the next
// completed import, or when retained cache memory expires.
func (e *Engine) nextWakeup() (time.Duration, bool) {
	if len(e.importing) > 0 {
		return e.importing[0].importedAt, true
	}
	if len(e.waiting) > 0 && len(e.held) > 0 {
		return e.held[0].expires, true
	}
	return 0, false
}

// interrupt makes a change take effect at the end of the step in progress, or immediately
// if there is none.
func (e *Engine) interrupt(now time.Duration) {
	if e.plan.steps > 0 {
		e.plan.truncate(now)
		return
	}
	e.advance(now)
}

// advance processes the step boundaries up to now.
func (e *Engine) advance(now time.Duration) {
	for {
		end, ok := e.boundary()
		if ok && end > now {
			return
		}
		if e.order.active {
			e.finishOrder()
		}
		e.apply()
		if !ok {
			e.idleUntil(now)
		}
		e.admit()
		e.plan = e.newPlan()
		if e.plan.steps == 0 && !e.wakesBy(now) {
			e.clock = max(e.clock, now)
			return
		}
	}
}

// boundary returns the end of the current order or plan.
func (e *Engine) boundary() (time.Duration, bool) {
	if e.order.active {
		return e.order.end, true
	}
	if e.plan.steps > 0 {
		return e.plan.endOfStep(e.plan.steps), true
	}
	return 0, false
}

// idleUntil moves an idle engine's clock to its next wake-up, or to now.
func (e *Engine) idleUntil(now time.Duration) {
	at, ok := e.nextWakeup()
	if !ok || at > now {
		at = now
	}
	e.clock = max(e.clock, at)
}

func (e *Engine) wakesBy(now time.Duration) bool {
	at, ok := e.nextWakeup()
	return ok && at <= now && at > e.clock
}

// admit starts waiting jobs while the batch and the memory have capacity.
func (e *Engine) admit() {
	e.releaseExpired()
	e.queueArrivedImports()
	for len(e.waiting) > 0 && len(e.prefilling)+len(e.decoding) < e.params.MaxBatch {
		j := e.waiting[0]
		if j.cancelled {
			heap.Pop(&e.waiting)
			e.recycle(j)
			continue
		}
		if e.kvUsed+j.reservedTokens() > e.params.KVTokens {
			return
		}
		heap.Pop(&e.waiting)
		e.start(j)
	}
}

func (e *Engine) start(j *job) {
	j.produced = j.ResumeFrom
	total := j.PromptTokens + j.ResumeFrom
	if j.Import {
		total = j.ResumeFrom
	} else {
		matched := e.cache.match(j.Hashes) * e.params.BlockTokens
		j.cached = max(0, min(matched, j.PromptTokens-1))
	}
	j.toPrefill = total - j.cached
	e.kvUsed += j.reservedTokens()
	e.cache.shrink(e.cacheCapacity())
	if j.toPrefill > 0 {
		e.prefilling = append(e.prefilling, j)
		return
	}
	e.decoding = append(e.decoding, j)
	e.contextTokens += j.contextTokens()
}

// drop removes a running job and frees its memory.
func (e *Engine) drop(j *job) {
	e.kvUsed -= j.reservedTokens()
	delete(e.jobs, j.ID)
	e.recycle(j)
}

func (e *Engine) newJob(in Job, now time.Duration) *job {
	e.seq++
	if n := len(e.freeJobs); n > 0 {
		j := e.freeJobs[n-1]
		e.freeJobs = e.freeJobs[:n-1]
		*j = job{Job: in, seq: e.seq, submitted: now}
		return j
	}
	return &job{Job: in, seq: e.seq, submitted: now}
}

func (e *Engine) recycle(j *job) {
	j.Hashes = nil
	e.freeJobs = append(e.freeJobs, j)
}

func (e *Engine) emitEvent(ev Event) { e.events = append(e.events, ev) }

func (e *Engine) recordRecent(id JobID) {
	if len(e.recent) == recentJobs {
		copy(e.recent, e.recent[1:])
		e.recent = e.recent[:recentJobs-1]
	}
	e.recent = append(e.recent, id)
}
