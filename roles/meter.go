package roles

import (
	"math"
	"time"

	"github.com/springweir/springweir/engine"
)

// Sample is one request that arrived.
type Sample struct {
	// Prompt is the length of the whole prompt, Cached the part of it that is
	// expected to be cached.
	Prompt, Cached int
	// Output is the expected length of the answer.
	Output   int
	Deadline time.Duration
	Priority engine.Priority
}

// The classes of a Meter: each priority by the size of the prompt.
const (
	priorities = 3
	// shortPrompt and middlePrompt are the upper bounds of the first two sizes.
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

// Meter measures the demand that one entry VM sees, as exponentially decaying
// sums, and the usual length of answers. The zero value is not usable; see
// NewMeter. It is not safe for concurrent use.
type Meter struct {
	began, last time.Duration
	window      time.Duration
	sums        [classes]sums
	// outputs is the mean length of finished answers.
	outputs [classes]mean
}

// sums are decaying totals.
type sums struct{ requests, prompt, output, deadline float64 }

// mean is a decaying mean.
type mean struct{ value, weight float64 }

// outputMemory is about how many answers the mean length remembers.
const outputMemory = 50

// NewMeter returns a meter whose rates look back about window.
func NewMeter(now, window time.Duration) *Meter {
	return &Meter{began: now, last: now, window: window}
}

// RecordArrival counts a request, whether or not it was admitted.
func (m *Meter) RecordArrival(now time.Duration, s Sample) {
	m.decay(now)
	at := &m.sums[classOf(s.Prompt, s.Priority)]
	at.requests++
	at.prompt += float64(s.Prompt - s.Cached)
	at.output += float64(s.Output)
	at.deadline += s.Deadline.Seconds()
}

// RecordOutput takes in the length of an answer.
func (m *Meter) RecordOutput(prompt int, p engine.Priority, output int) {
	at := &m.outputs[classOf(prompt, p)]
	at.weight = math.Min(at.weight+1, outputMemory)
	at.value += (float64(output) - at.value) / at.weight
}

// ExpectedOutput returns the expected length of an answer to a prompt when the
// caller allows most tokens.
func (m *Meter) ExpectedOutput(prompt int, p engine.Priority, most int) int {
	at := m.outputs[classOf(prompt, p)]
	if at.weight == 0 {
		return (most + 1) / 2
	}
	return min(most, int(math.Ceil(at.value)))
}

// Demand returns what this entry VM sees. Age, Heard and Roster are left to
// whoever puts the contributions of a zone together with Merge.
func (m *Meter) Demand(now time.Duration) Demand {
	m.decay(now)
	watched := now - m.began
	d := Demand{Window: watched}
	// Until the window has passed the sums are short of their full weight.
	span := m.window.Seconds() * (1 - math.Exp(-watched.Seconds()/m.window.Seconds()))
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

// minRequests is the decayed number of requests below which a class is left out.
const minRequests = 0.01

func (m *Meter) decay(now time.Duration) {
	if now <= m.last {
		return
	}
	keep := math.Exp(-(now - m.last).Seconds() / m.window.Seconds())
	m.last = now
	for i := range m.sums {
		s := &m.sums[i]
		s.requests *= keep
		s.prompt *= keep
		s.output *= keep
		s.deadline *= keep
	}
}

// Merge puts the contributions of a zone's entry VMs together. age is that of
// the oldest one and roster the number of entry VMs there should be.
func Merge(parts []Demand, age time.Duration, roster int) Demand {
	out := Demand{Age: age, Heard: len(parts), Roster: roster}
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

// plus adds the rates and takes the means by rate.
func (k Class) plus(o Class) Class {
	rate := k.Rate + o.Rate
	if rate == 0 {
		return k
	}
	share := o.Rate / rate
	return Class{
		Rate:     rate,
		Prompt:   k.Prompt + share*(o.Prompt-k.Prompt),
		Output:   k.Output + share*(o.Output-k.Output),
		Deadline: k.Deadline + time.Duration(share*float64(o.Deadline-k.Deadline)),
	}
}
