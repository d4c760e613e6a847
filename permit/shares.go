package permit

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// localShareFraction is which part of its even share of a limit a daemon uses by itself. Daemons that have lost
// their owner do not know when the others send: with the whole share, 69 daemons with requests without
// end pass what a limit of one a second allows within 4 s (1.5 times as much, and five) by
// reckoning in one window of a thousand; with half of it in one of a million.
const localShareFraction = 0.5

// Shares is a daemon's own part of each limit, for the time in which no owner answers. It is not safe
// for concurrent use.
type LocalShares struct {
	random func() float64 // in [0, 1)
	next   map[fleet.Incarnation]time.Time
}

// NewLocalShares returns shares of which none was used. random spreads the first turns of daemons that lost
// their owner at the same moment.
func NewLocalShares(random func() float64) *LocalShares {
	return &LocalShares{random: random, next: map[fleet.Incarnation]time.Time{}}
}

// Ask answers a question where so many daemons share the limit.
func (s *LocalShares) Request(request Request, daemons int, now time.Time) Answer {
	interval := time.Duration(float64(time.Second) * float64(max(1, daemons)) / (localShareFraction * request.PerSecond))
	next, known := s.next[request.Replica]
	if !known {
		next = now.Add(time.Duration(s.random() * float64(interval)))
		s.next[request.Replica] = next
	}
	wait := max(0, next.Sub(now))
	if wait > min(request.MaxWait, MaxReservationDelay) {
		return Answer{RetryIn: min(maxRetryIn, wait)}
	}
	s.next[request.Replica] = now.Add(wait + interval)
	return Answer{Granted: true, Delay: wait}
}

// Reset forgets what was used: an owner answers again.
func (s *LocalShares) Reset() { clear(s.next) }
