package limiter

import "time"

const (
	// maxLinesPerSecond bounds the lines about one tenant's requests with the same outcome. The line on the end
	// of a request is written for each of them.
	maxLinesPerSecond = 5
	// maxLineKeys bounds the tenants and outcomes that are remembered.
	maxLineKeys = 1024
)

type lineKey struct{ tenant, outcome string }

// lineCount counts the lines of one second.
type lineCount struct {
	began   time.Time
	lines   int
	leftOut int // since the last line written
}

// lineBound bounds the lines about requests at their tenant's limit. It is not safe for concurrent use.
type lineBound struct {
	counts map[lineKey]*lineCount
}

// admit reports whether a line is written, and how many before it were not.
func (b *lineBound) admit(tenant, outcome string, now time.Time) (written bool, leftOut int) {
	key := lineKey{tenant, outcome}
	count := b.counts[key]
	if count == nil {
		if b.counts == nil || len(b.counts) >= maxLineKeys {
			b.counts = map[lineKey]*lineCount{}
		}
		count = &lineCount{began: now}
		b.counts[key] = count
	}
	if now.Sub(count.began) >= time.Second {
		count.began, count.lines = now, 0
	}
	if count.lines >= maxLinesPerSecond {
		count.leftOut++
		return false, 0
	}
	count.lines++
	leftOut, count.leftOut = count.leftOut, 0
	return true, leftOut
}
