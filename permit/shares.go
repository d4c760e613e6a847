package permit

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// localShareFraction is the part of its even share of a limit that a daemon uses without a leader.
// Daemons do not coordinate then, so that full shares could exceed the limit in short windows.
const localShareFraction = 0.5

// LocalShares is a daemon's part of each limit while it has no leader. It is not safe for concurrent
// use.
type LocalShares struct {
	random func() float64                  // in [0, 1)
	next   map[fleet.Incarnation]time.Time // time of the next slot
}

// NewLocalShares returns unused shares. random spreads the first slots of daemons that lose their
// leader together.
func NewLocalShares(random func() float64) *LocalShares {
	return &LocalShares{random: random, next: map[fleet.Incarnation]time.Time{}}
}

// Request answers a request locally; daemons is how many daemons share the limit.
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

// Reset clears all reservations. The daemon calls it when a leader answers.
func (s *LocalShares) Reset() { clear(s.next) }
