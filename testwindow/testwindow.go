// Package testwindow counts events within sliding time windows, for tests of rate limits.
package testwindow

import (
	"slices"
	"time"
)

// MaxCount returns the largest number of times that lie within any window of the given length.
func MaxCount(times []time.Time, window time.Duration) (highest int) {
	sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	start := 0
	for index, at := range sorted {
		for at.Sub(sorted[start]) > window {
			start++
		}
		highest = max(highest, index-start+1)
	}
	return highest
}
