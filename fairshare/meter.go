package fairshare

import (
	"math"
	"time"
)

// meter measures a rate per second as an exponentially weighted average.
type meter struct {
	rate float64
	at   time.Time
}

// add records an amount. span is the time constant of the average.
func (m *meter) add(now time.Time, amount float64, span time.Duration) {
	m.rate = m.value(now, span) + amount/span.Seconds()
	m.at = now
}

// value returns the rate per second.
func (m *meter) value(now time.Time, span time.Duration) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/span.Seconds())
}
