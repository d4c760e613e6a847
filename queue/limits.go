package queue

import (
	"math"
	"time"
)

// secondsPerMinute converts limits per minute to limits per second.
const secondsPerMinute = 60

// bucket is a token bucket whose limit may change at any time. It starts full; its size is
// the limit for one second, or one minute if it limits model tokens.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds the amount that accrued until now.
func (b *bucket) refill(now time.Time, perSecond, size float64) {
	if b.at.IsZero() {
		b.level = size
	} else {
		b.level += now.Sub(b.at).Seconds() * perSecond
	}
	b.level = min(b.level, size)
	b.at = now
}

// timeUntil returns the time until the bucket holds an amount.
func (b *bucket) timeUntil(amount, perSecond float64) time.Duration {
	return time.Duration(math.Max(0, amount-b.level) / perSecond * float64(time.Second))
}

// admit charges an item to the branch's rate limits, or returns the limit that it exceeds
// and when to retry. A request for more than a minute's tokens needs a full bucket and
// leaves it negative, so that the branch's next requests wait for the balance.
func (s *branchState) admit(now time.Time, item Item) (retryAfter time.Duration, exceeded string) {
	limits := item.Limits
	size := math.Max(1, limits.RequestsPerSecond)
	perSecond := float64(limits.TokensPerMinute) / secondsPerMinute
	required := math.Min(float64(item.Tokens), float64(limits.TokensPerMinute))
	if limits.RequestsPerSecond > 0 {
		s.requests.refill(now, limits.RequestsPerSecond, size)
		if s.requests.level < 1 {
			return s.requests.timeUntil(1, limits.RequestsPerSecond), "requests per second"
		}
	}
	if limits.TokensPerMinute > 0 {
		s.tokens.refill(now, perSecond, float64(limits.TokensPerMinute))
		if s.tokens.level < required {
			return s.tokens.timeUntil(required, perSecond), "tokens per minute"
		}
		s.tokens.level -= float64(item.Tokens)
	}
	if limits.RequestsPerSecond > 0 {
		s.requests.level--
	}
	return 0, ""
}
