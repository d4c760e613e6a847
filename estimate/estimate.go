// Package estimate learns how long something usually takes.
package estimate

import (
	"math"
	"time"
)

// The weights of the newest sample are those of TCP's retransmission timer (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// Moving is a moving mean of times with their mean deviation. The zero value has seen none.
type Duration struct {
	seen            bool
	mean, deviation float64 // seconds
}

// Add takes in a time.
func (m *Duration) Add(took time.Duration) {
	seconds := took.Seconds()
	if !m.seen {
		m.seen, m.mean, m.deviation = true, seconds, seconds/2
		return
	}
	m.deviation += deviationWeight * (math.Abs(seconds-m.mean) - m.deviation)
	m.mean += meanWeight * (seconds - m.mean)
}

// Bound returns the mean and so many mean deviations; zero if no time was seen.
func (m *Duration) UpperBound(deviations float64) time.Duration {
	return time.Duration((m.mean + deviations*m.deviation) * float64(time.Second))
}
