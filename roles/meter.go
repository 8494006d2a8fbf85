package roles

import (
	"math"
	"time"

	"github.com/springweir/springweir/engine"
)

// Sample is an arrived request.
type Sample struct {
	// Prompt is the length of the prompt, and Cached the length of the part that is expected to be
	// cached, both in tokens.
	Prompt, Cached int
	// Output is the expected length of the response in tokens.
	Output   int
	Deadline time.Duration
	Priority engine.Priority
}

// The classes of a Meter are the combinations of priority and prompt size.
const (
	priorities = 3
	// shortPrompt and middlePrompt are the upper bounds, in tokens, of the first two sizes.
	shortPrompt  = 1024
	middlePrompt = 4096
	sizes        = 3
	classes      = priorities * sizes
)

// classOf returns the class of a request.
func classOf(prompt int, p engine.Priority) int {
	size := 0
	if prompt > shortPrompt {
		size++
	}
	if prompt > middlePrompt {
		size++
	}
	row := min(max(int(p), 0), priorities-1)
	return row*sizes + size
}

// Meter measures the demand at one entry VM as exponentially decaying sums, and the mean length of
// responses. Use NewMeter to create one. It is not safe for concurrent use.
type Meter struct {
	startedAt, updatedAt time.Duration
	window               time.Duration
	sums                 [classes]sums
	// outputs holds the mean length of finished responses.
	outputs [classes]mean
}

// sums holds decaying sums.
type sums struct{ requests, prompt, output, deadline float64 }

// mean is a decaying mean.
type mean struct{ value, weight float64 }

// maxOutputWeight is about the number of responses that the mean length covers.
const maxOutputWeight = 50

// NewMeter returns a meter whose rates decay with a time constant of window.
func NewMeter(now, window time.Duration) *Meter {
	return &Meter{startedAt: now, updatedAt: now, window: window}
}

// RecordArrival counts a request, whether or not it was admitted.
func (m *Meter) RecordArrival(now time.Duration, s Sample) {
	m.decay(now)
	sum := &m.sums[classOf(s.Prompt, s.Priority)]
	sum.requests++
	sum.prompt += float64(s.Prompt - s.Cached)
	sum.output += float64(s.Output)
	sum.deadline += s.Deadline.Seconds()
}

// RecordOutput records the length of a response.
func (m *Meter) RecordOutput(prompt int, p engine.Priority, output int) {
	average := &m.outputs[classOf(prompt, p)]
	average.weight = math.Min(average.weight+1, maxOutputWeight)
	average.value += (float64(output) - average.value) / average.weight
}

// ExpectedOutput returns the expected length of the response to a prompt for which the caller
// allows maxTokens.
func (m *Meter) ExpectedOutput(prompt int, p engine.Priority, maxTokens int) int {
	average := m.outputs[classOf(prompt, p)]
	if average.weight == 0 {
		return (maxTokens + 1) / 2
	}
	return min(maxTokens, int(math.Ceil(average.value)))
}

// Demand returns the demand at this entry VM. Age, Contributors and Registered are set by Merge.
func (m *Meter) Demand(now time.Duration) Demand {
	m.decay(now)
	observed := now - m.startedAt
	d := Demand{Window: observed}
	// Until the window has passed, the sums have not reached their full weight.
	span := m.window.Seconds() * (1 - math.Exp(-observed.Seconds()/m.window.Seconds()))
	if span <= 0 {
		return d
	}
	for kind, s := range m.sums {
		if s.requests < minRequests {
			continue
		}
		d.Classes = append(d.Classes, Class{
			Kind:     kind,
			Rate:     s.requests / span,
			Prompt:   s.prompt / s.requests,
			Output:   s.output / s.requests,
			Deadline: time.Duration(s.deadline / s.requests * float64(time.Second)),
		})
	}
	return d
}

// minRequests is the decayed number of requests below which a class is omitted.
const minRequests = 0.01

func (m *Meter) decay(now time.Duration) {
	if now <= m.updatedAt {
		return
	}
	factor := math.Exp(-(now - m.updatedAt).Seconds() / m.window.Seconds())
	m.updatedAt = now
	for i := range m.sums {
		s := &m.sums[i]
		s.requests *= factor
		s.prompt *= factor
		s.output *= factor
		s.deadline *= factor
	}
}

// Merge combines the contributions of a zone's entry VMs. age is the age of the oldest one, and
// roster the number of entry VMs on the roster.
func Merge(parts []Demand, age time.Duration, roster int) Demand {
	out := Demand{Age: age, Contributors: len(parts), Registered: roster}
	var kinds [classes]Class
	for _, p := range parts {
		out.Window = max(out.Window, p.Window)
		for _, k := range p.Classes {
			if k.Kind >= 0 && k.Kind < classes {
				kinds[k.Kind] = kinds[k.Kind].plus(k)
			}
		}
	}
	for i, k := range kinds {
		if k.Rate > 0 {
			k.Kind = i
			out.Classes = append(out.Classes, k)
		}
	}
	return out
}

// plus returns the sum of the rates, and the means weighted by rate.
func (k Class) plus(o Class) Class {
	rate := k.Rate + o.Rate
	if rate == 0 {
		return k
	}
	fraction := o.Rate / rate
	return Class{
		Rate:     rate,
		Prompt:   k.Prompt + fraction*(o.Prompt-k.Prompt),
		Output:   k.Output + fraction*(o.Output-k.Output),
		Deadline: k.Deadline + time.Duration(fraction*float64(o.Deadline-k.Deadline)),
	}
}
