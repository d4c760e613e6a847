// Package testwindow counts, for tests, what happened within a length of time.
package testwindow

import (
	"slices"
	"time"
)

// Most returns the most of some moments that lie within a window, wherever it begins.
func MaxCount(moments []time.Time, window time.Duration) (most int) {
	ascending := slices.SortedFunc(slices.Values(moments), time.Time.Compare)
	first := 0
	for index, at := range ascending {
		for at.Sub(ascending[first]) > window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}
