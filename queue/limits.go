package queue

import (
	"math"
	"time"
)

// secondsPerMinute turns a limit a minute into one a second.
const secondsPerMinute = 60

// bucket is a token bucket whose limit may change at any time. It starts full and
// holds what one second, or for tokens one minute, allows.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to now.
func (b *bucket) refill(now time.Time, perSecond, size float64) {
	if b.at.IsZero() {
		b.level = size
	} else {
		b.level += now.Sub(b.at).Seconds() * perSecond
	}
	b.level = min(b.level, size)
	b.at = now
}

// until is the time until the bucket holds an amount.
func (b *bucket) timeUntil(amount, perSecond float64) time.Duration {
	return time.Duration(math.Max(0, amount-b.level) / perSecond * float64(time.Second))
}

// admit charges an item to the branch's rates, or tells which of them it exceeds
// and when it would not. A request above a whole minute's tokens is charged to a
// full bucket, and the branch then waits until the debt is paid.
func (s *branchState) admit(now time.Time, item Item) (retryAfter time.Duration, exceeded string) {
	limits := item.Limits
	size := math.Max(1, limits.RequestsPerSecond)
	perSecond := float64(limits.TokensPerMinute) / secondsPerMinute
	required := math.Min(float64(item.Tokens), float64(limits.TokensPerMinute))
	if limits.RequestsPerSecond > 0 {
		s.requests.refill(now, limits.RequestsPerSecond, size)
		if s.requests.level < 1 {
			return s.requests.timeUntil(1, limits.RequestsPerSecond), "requests a second"
		}
	}
	if limits.TokensPerMinute > 0 {
		s.tokens.refill(now, perSecond, float64(limits.TokensPerMinute))
		if s.tokens.level < required {
			return s.tokens.timeUntil(required, perSecond), "tokens a minute"
		}
		s.tokens.level -= float64(item.Tokens)
	}
	if limits.RequestsPerSecond > 0 {
		s.requests.level--
	}
	return 0, ""
}
