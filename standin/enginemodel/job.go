package enginemodel

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// JobID identifies a job within one Engine. The caller assigns it and must not reuse it.
type JobID uint64

// Job describes one request to the model.
type Job struct {
	ID       JobID
	Priority engine.Priority
	// PromptTokens is the length of the prompt; Hashes are the hashes of its leading blocks.
	PromptTokens int
	Hashes       []uint64
	// OutputTokens is the length of the complete response, including the resumed part.
	OutputTokens int
	// ResumeFrom is the number of response tokens that the caller already has. They are
	// prefilled after the prompt, also when the prompt's cache is imported.
	ResumeFrom int
	// Import transfers the prompt's cache from another engine instead of prefilling it.
	Import bool
	// PrefillOnly ends the job after the prefill and retains its cache for Params.KVHold.
	PrefillOnly bool
	// EveryToken enables a Token event for each token after the first.
	EveryToken bool
}

// EventKind is the type of an Event.
type EventKind uint8

// Event kinds.
const (
	// FirstToken is the first token that the engine generates for a job.
	FirstToken EventKind = iota + 1
	// Token is a later token; emitted only for jobs with EveryToken.
	Token
	// Finished ends a job whose response is complete.
	Finished
	// Prefilled ends a job with PrefillOnly.
	Prefilled
	// Cut ends a job that was interrupted by an order.
	Cut
	// OrderDone ends an order; its Job is zero.
	OrderDone
)

// Event is a state change of a job, or the end of an order.
type Event struct {
	At   time.Duration
	Kind EventKind
	Job  JobID
	// Tokens is the length of the response so far, including the resumed part.
	Tokens int
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int
	// Submitted and First are the times of submission and of the first token.
	Submitted time.Duration
	First     time.Duration
	// MaxGap is the longest time between two tokens so far.
	MaxGap time.Duration
}

// job is the engine's state of a Job.
type job struct {
	Job
	seq       uint64
	submitted time.Duration
	// importedAt is when the transfer of an imported cache completes.
	importedAt time.Duration
	// toPrefill is the number of tokens still to be prefilled.
	toPrefill  int
	cached     int
	produced   int
	firstToken time.Duration
	lastToken  time.Duration
	maxGap     time.Duration
	cancelled  bool
}

// reservedTokens returns the cache memory that the job occupies while it runs. The length
// of the response is known in advance, so all of it is reserved at admission and a running
// job never has to be preempted.
func (j *job) reservedTokens() int {
	if j.PrefillOnly {
		return j.PromptTokens + j.ResumeFrom
	}
	return j.PromptTokens + j.OutputTokens
}

func (j *job) contextTokens() int {
	return j.PromptTokens + j.produced
}

func (j *job) event(kind EventKind, at time.Duration) Event {
	return Event{
		At:        at,
		Kind:      kind,
		Job:       j.ID,
		Tokens:    j.produced,
		Cached:    j.cached,
		Submitted: j.submitted,
		First:     j.firstToken,
		MaxGap:    j.maxGap,
	}
}

// recordTokens records generated tokens. The first ends at time from; the last ends at
// time at after a step of duration lastStep, which is the longest step.
func (j *job) recordTokens(tokens int, from, at, lastStep time.Duration) {
	switch {
	case j.firstToken == 0:
		j.firstToken = at
	case tokens == 1:
		j.maxGap = max(j.maxGap, at-j.lastToken)
	default:
		j.maxGap = max(j.maxGap, from-j.lastToken, lastStep)
	}
	j.lastToken = at
	j.produced += tokens
}

// queue is a heap of waiting jobs, ordered by priority and then by submission.
type queue []*job

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority < q[j].Priority
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}
