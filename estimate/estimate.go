// Package estimate estimates durations from samples.
package estimate

import (
	"math"
	"time"
)

// Weights of the newest sample, as in TCP's retransmission timer (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// Duration is an exponentially weighted mean of durations and of their deviation. The zero value has no
// samples.
type Duration struct {
	hasSamples      bool
	mean, deviation float64 // seconds
}

// Add adds a sample.
func (d *Duration) Add(sample time.Duration) {
	seconds := sample.Seconds()
	if !d.hasSamples {
		d.hasSamples, d.mean, d.deviation = true, seconds, seconds/2
		return
	}
	d.deviation += deviationWeight * (math.Abs(seconds-d.mean) - d.deviation)
	d.mean += meanWeight * (seconds - d.mean)
}

// UpperBound returns the mean plus a number of mean deviations; zero if there are no samples.
func (d *Duration) UpperBound(deviations float64) time.Duration {
	return time.Duration((d.mean + deviations*d.deviation) * float64(time.Second))
}
