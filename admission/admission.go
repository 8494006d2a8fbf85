// Package admission decides whether and when a request may be sent: deadlines
// that cannot be met are refused at once, organisations and priority classes
// share what there is by weight, and short requests are not stuck behind long
// ones.
//
// Queue is the decision core: it has no clock, no goroutines and no lock.
// Controller runs queues in a process.
//
// Times are monotonic durations since the start of the process.
package admission

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Work is what admission needs to know of a request.
type Work struct {
	// Model names the queue: what the same engines serve shares one.
	Model        string
	Organisation string
	// Weight is the organisation's share relative to others; zero counts as 1.
	Weight   float64
	Priority engine.Priority
	// PromptTokens and OutputTokens are the size expected.
	PromptTokens, OutputTokens int
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Duration
	// Context is for the Predictor's use.
	Context any
}

// Config holds the choices of a queue.
type Config struct {
	// MaxQueue bounds the requests waiting, MaxPerOrganisation those of one.
	MaxQueue, MaxPerOrganisation int
	// MaxWait bounds the wait of a request without a deadline.
	MaxWait time.Duration
	// OutputCost is the cost of an output token, in prompt tokens.
	OutputCost float64
	// ClassWeights are the shares of the priority classes.
	ClassWeights [3]float64
	// DelayPerCost is how much longer a request may be overtaken by shorter ones of
	// its own flow for each unit of its cost.
	DelayPerCost time.Duration
	// Margin is the part of the predicted wait added for errors.
	Margin float64
	// InitialRate is the cost a second assumed to drain before it is measured.
	InitialRate float64
	// RateTimeConstant is the time over which the drain rate is averaged.
	RateTimeConstant time.Duration
	// MinRetryAfter bounds Retry-After from below.
	MinRetryAfter time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		MaxQueue:           512,
		MaxPerOrganisation: 128,
		MaxWait:            10 * time.Second,
		OutputCost:         4,
		ClassWeights:       [3]float64{16, 4, 1},
		DelayPerCost:       time.Millisecond,
		Margin:             0.2,
		InitialRate:        20_000,
		RateTimeConstant:   5 * time.Second,
		MinRetryAfter:      time.Second,
	}
}

// ReadyWait is the predicted wait at an engine (routing.Decision.Queue) up to
// which a request counts as ready. Shorter waits leave engines idle between load
// reports; up to four seconds goodput is much the same, so the least is taken.
const ReadyWait = time.Second

// Prediction is what the engines could do for a request now.
type Prediction struct {
	// Ready tells whether it may be sent now: some engine would start it soon.
	Ready bool
	// Queueable tells whether it may be sent although it would have to wait at
	// the engine, whose own queue honours priorities.
	Queueable bool
	// ServiceTime is the time from sending to the whole answer, any wait at the
	// engine included.
	ServiceTime time.Duration
	// Plan is handed to Commit when the request is sent, and to its caller.
	Plan any
}

// Predictor predicts the outlook of a request from the newest snapshot. An
// error refuses the request; it must be Coded. It may be called under the
// controller's lock, so it must not block nor call the controller.
type Predictor func(now time.Duration, w *Work) (Prediction, error)

// Commit records that a request is being sent as planned, before the next one is
// predicted, so that requests sent together do not all see the same idle engine.
// It is called under the controller's lock.
type Commit func(now time.Duration, w *Work, plan any)

func refuse(code failure.Reason, after time.Duration, message string) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.NotRun, RetryAfter: after, Message: message}
}

// class returns the index of w's priority class.
func (w *Work) class() int {
	return min(max(int(w.Priority), 0), int(engine.Batch))
}

func (w *Work) cost(c *Config) float64 {
	return max(1, float64(w.PromptTokens)+c.OutputCost*float64(w.OutputTokens))
}

func (w *Work) weight(c *Config) float64 {
	weight := w.Weight
	if weight <= 0 {
		weight = 1
	}
	return weight * c.ClassWeights[w.class()]
}
