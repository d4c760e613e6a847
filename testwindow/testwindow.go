// Package testwindow counts, for tests, what happened within a length of time.
package testwindow

import (
	"slices"
	"time"
)

// Most returns the most of some moments that lie within a window, wherever it begins.
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
