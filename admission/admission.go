// Package admission decides whether and when a request may be sent. Requests that cannot meet their
// deadline are refused immediately, organisations and priority classes share the capacity by
// weight, and short requests do not wait behind long ones.
//
// Queue implements the decisions: it has no clock, goroutines or lock. Controller runs the queues
// of a process.
//
// Times are monotonic durations since the start of the process.
package admission

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Work describes a request to be admitted.
type Work struct {
	// Model selects the queue. Requests that the same engines serve share one.
	Model        string
	Organisation string
	// Weight is the organisation's share relative to other organisations. Zero counts as 1.
	Weight   float64
	Priority engine.Priority
	// PromptTokens and OutputTokens are the expected size of the request.
	PromptTokens, OutputTokens int
	// Deadline is the time by which the response must be complete. Zero means none.
	Deadline time.Duration
	// Context is passed through to the Predictor.
	Context any
}

// Config configures a queue.
type Config struct {
	// MaxQueue bounds the number of waiting requests, MaxPerOrganisation the number per
	// organisation.
	MaxQueue, MaxPerOrganisation int
	// MaxWait bounds the waiting time of a request without a deadline.
	MaxWait time.Duration
	// OutputCost is the cost of an output token relative to a prompt token.
	OutputCost float64
	// ClassWeights are the relative shares of the priority classes, indexed by class.
	ClassWeights [3]float64
	// DelayPerCost is how much later a request is sorted within its flow for each unit of its cost.
	// It bounds the time for which shorter requests that arrive later may overtake it.
	DelayPerCost time.Duration
	// Margin is the fraction of the predicted wait that is added as a safety margin.
	Margin float64
	// InitialRate is the assumed drain rate, in cost per second, until it has been measured.
	InitialRate float64
	// RateTimeConstant is the time constant of the moving average of the drain rate.
	RateTimeConstant time.Duration
	// MinRetryAfter is the lower bound of Retry-After.
	MinRetryAfter time.Duration
}

// DefaultConfig returns the default configuration.
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

// MaxReadyWait is the longest predicted wait at an engine (routing.Decision.Queue) with which a
// request counts as ready. A shorter limit leaves engines idle between load reports. Limits of up
// to four seconds give about the same goodput, so the smallest one is used.
const MaxReadyWait = time.Second

// Prediction is what the engines are predicted to do for a request that is sent now.
type Prediction struct {
	// Ready reports whether the request may be sent now, because an engine would start it soon.
	Ready bool
	// Queueable reports whether the request may be sent even though it would wait in the queue of
	// the engine, which observes priorities.
	Queueable bool
	// ServiceTime is the time from sending to the complete response, including any wait at the
	// engine.
	ServiceTime time.Duration
	// Plan is passed to Commit when the request is sent, and returned in the Grant.
	Plan any
}

// Predictor predicts the service of a request from the latest snapshot. An error refuses the
// request; it must implement failure.Coded. A Predictor may be called under the lock of the
// Controller, so it must not block or call the Controller.
type Predictor func(now time.Duration, w *Work) (Prediction, error)

// Commit records that a request is being sent according to plan. It is called before the prediction
// for the next request, so that requests sent together do not all select the same idle engine. It
// is called under the lock of the Controller.
type Commit func(now time.Duration, w *Work, plan any)

func refusal(code failure.Reason, after time.Duration, message string) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.NotRun, RetryAfter: after, Message: message}
}

// class returns the index of the priority class of w.
func (w *Work) class() int {
	return min(max(int(w.Priority), 0), int(engine.Batch))
}

// cost returns the cost of w in units of a prompt token, at least 1.
func (w *Work) cost(c *Config) float64 {
	return max(1, float64(w.PromptTokens)+c.OutputCost*float64(w.OutputTokens))
}

// weight returns the weight of the flow of w.
func (w *Work) weight(c *Config) float64 {
	weight := w.Weight
	if weight <= 0 {
		weight = 1
	}
	return weight * c.ClassWeights[w.class()]
}
