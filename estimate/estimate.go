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
	hasSamples      bool
	mean, deviation float64 // seconds
}

// Add takes in a time.
func (d *Duration) Add(sample time.Duration) {
	seconds := sample.Seconds()
	if !d.hasSamples {
		d.hasSamples, d.mean, d.deviation = true, seconds, seconds/2
		return
	}
	d.deviation += deviationWeight * (math.Abs(seconds-d.mean) - d.deviation)
	d.mean += meanWeight * (seconds - d.mean)
}

// Bound returns the mean and so many mean deviations; zero if no time was seen.
func (d *Duration) UpperBound(deviations float64) time.Duration {
	return time.Duration((d.mean + deviations*d.deviation) * float64(time.Second))
}
