package permit

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// ownPart is which part of its even share of a limit a daemon uses by itself. Daemons that have lost
// their owner do not know when the others send: with the whole share, 69 daemons with requests without
// end pass what a limit of one a second allows within 4 s (1.5 times as much, and five) by
// reckoning in one window of a thousand; with half of it in one of a million.
const ownPart = 0.5

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
func (s *LocalShares) Request(ask Request, daemons int, now time.Time) Answer {
	pause := time.Duration(float64(time.Second) * float64(max(1, daemons)) / (ownPart * ask.PerSecond))
	next, known := s.next[ask.Replica]
	if !known {
		next = now.Add(time.Duration(s.random() * float64(pause)))
		s.next[ask.Replica] = next
	}
	wait := max(0, next.Sub(now))
	if wait > min(ask.MaxWait, MaxReservationDelay) {
		return Answer{RetryIn: min(mostReturn, wait)}
	}
	s.next[ask.Replica] = now.Add(wait + pause)
	return Answer{Granted: true, Delay: wait}
}

// Reset forgets what was used: an owner answers again.
func (s *LocalShares) Reset() { clear(s.next) }
