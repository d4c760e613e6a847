// Package permit shares out the messages that a replica with a limit takes, over all daemons together. It
// reads no clock and sends nothing.
//
// One daemon, the owner, keeps a Book with a line for each such replica, and hands out permits one after
// the other as they are asked for: what is shared goes to whoever has a request. A daemon that no owner
// answers falls back on Shares, its own small part of each limit.
package permit

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

const (
	// saved is how many turns a line keeps for later while nobody takes them. One is for whoever comes
	// next, and one more is kept from all but the most urgent, which so find a turn at once where less
	// urgent requests take all that there are. Within any time a replica gets at most the limit's rate
	// and these two above it.
	savedReservations = 2
	// MaxReservationDelay is how far ahead of its turn a permit is given out at most. The next owner, which does
	// not know what its predecessor gave out, begins that much later.
	MaxReservationDelay = time.Second
	// Life is how long after its turn a permit may be used: a connection may take 0.4 s to open. What a
	// daemon that stood still finds later is worth nothing. It counts from the question.
	Validity = 500 * time.Millisecond
	// maxRetryIn bounds the advice to callers.
	maxRetryIn = 10 * time.Second
	// priorityWindow is how long the most urgent request that asked is remembered.
	priorityWindow = 10 * time.Second
	// idleScheduleTTL is how long a line is kept that nobody asks for.
	idleScheduleTTL = time.Minute
	// LowestPriority is the priority of messages that come after all requests.
	LowestPriority = 1000
)

// Ask is a daemon's question whether a message may go to a replica.
type Request struct {
	Replica   fleet.Incarnation
	PerSecond float64 // that the replica takes; above zero
	Priority  int     // of the request; 0 is the most urgent
	// Patience is how long it may wait for its turn.
	MaxWait time.Duration
}

// Answer is the word on a question.
type Answer struct {
	Granted bool
	Delay   time.Duration // until the turn, if it was granted
	// RetryIn is when a turn should be free, after all that were told so before; only for what was not
	// granted.
	RetryIn time.Duration
}

// Book is the owner's account of all replicas with a limit in one term. It is not safe for concurrent
// use.
type Pacer struct {
	notBefore time.Time // before that no turn is given out
	schedules map[fleet.Incarnation]*schedule
}

// line is the order of messages to one replica.
type schedule struct {
	perSecond     float64
	next          time.Time // turn that is given out next, unless it is so long past that it was not kept
	retryAt       retryTimes
	topPriority   int // priority of the most urgent request that asked lately
	topPriorityAt time.Time
	lastRequestAt time.Time
}

// retryTimes are when the next request that is refused should come back: an urgent one, and another.
type retryTimes struct{ urgent, other time.Time }

// NewPacer returns the book of a term that begins at a moment. first tells that nobody gave out permits
// before; else the turns that are out have to pass first.
func NewPacer(first bool, now time.Time) *Pacer {
	pacer := &Pacer{notBefore: now, schedules: map[fleet.Incarnation]*schedule{}}
	if !first {
		pacer.notBefore = now.Add(MaxReservationDelay)
	}
	return pacer
}

// Ask answers a question. reached is the share of the daemons that ask this owner, above zero: the
// others use up their own part of the limit, or ask another owner.
func (p *Pacer) Request(request Request, share float64, now time.Time) Answer {
	replica := p.schedule(request, share, now)
	isUrgent := replica.recordPriority(request.Priority, now)
	reservation := replica.reservation(isUrgent, now)
	wait := max(0, reservation.Sub(now))
	if wait > maxWaitFor(request, isUrgent) {
		return Answer{RetryIn: replica.nextRetry(wait, isUrgent, now)}
	}
	replica.take(now)
	return Answer{Granted: true, Delay: wait}
}

// maxWaitFor returns how far ahead a turn is given out. Less urgent requests wait until one is free, or
// they would take what urgent ones need before those come.
func maxWaitFor(request Request, isUrgent bool) time.Duration {
	if !isUrgent {
		return 0
	}
	return min(request.MaxWait, MaxReservationDelay)
}

// Charge takes in that a message goes to a replica whether it has a turn or not.
func (p *Pacer) Charge(r Request, share float64, now time.Time) { p.schedule(r, share, now).take(now) }

// Return takes back a permit that was not used.
func (p *Pacer) Return(replica fleet.Incarnation) {
	if found := p.schedules[replica]; found != nil {
		found.next = found.next.Add(-found.interval())
	}
}

// Waiting returns how many turns are given out and have not come yet, of all replicas together.
func (p *Pacer) PendingReservations(now time.Time) (count int) {
	for _, s := range p.schedules {
		if ahead := s.next.Sub(now); ahead > 0 {
			count += int((ahead - 1) / s.interval()) // the turn at this moment has come
		}
	}
	return count
}

// line returns the line of a replica at its present rate.
func (p *Pacer) schedule(request Request, share float64, now time.Time) *schedule {
	rate := request.PerSecond * min(1, share)
	known := p.schedules[request.Replica]
	if known == nil {
		p.removeIdle(now)
		known = &schedule{perSecond: rate, next: now, topPriority: request.Priority}
		if notBefore := p.notBefore.Add(known.interval()); p.notBefore.After(now) {
			known.next = notBefore
		}
		p.schedules[request.Replica] = known
	}
	if known.perSecond != rate {
		known.setRate(rate, now)
	}
	known.lastRequestAt = now
	return known
}

// forget drops the lines that nobody asked for lately.
func (p *Pacer) removeIdle(now time.Time) {
	for replica, s := range p.schedules {
		if now.Sub(s.lastRequestAt) > idleScheduleTTL && now.After(s.next) {
			delete(p.schedules, replica)
		}
	}
}

// pause is the time between two turns.
func (s *schedule) interval() time.Duration { return time.Duration(float64(time.Second) / s.perSecond) }

// change sets the rate. The turns that are given out stay as many; who is refused is told anew when to
// come back.
func (s *schedule) setRate(rate float64, now time.Time) {
	ahead := s.next.Sub(now)
	if ahead > 0 {
		s.next = now.Add(time.Duration(float64(ahead) * s.perSecond / rate))
	}
	s.perSecond, s.retryAt = rate, retryTimes{}
}

// recordPriority takes in how urgent a request is, and tells whether none that asked lately was more so.
func (s *schedule) recordPriority(priority int, now time.Time) (isUrgent bool) {
	if priority <= s.topPriority || now.Sub(s.topPriorityAt) > priorityWindow {
		s.topPriority, s.topPriorityAt = priority, now
	}
	return priority <= s.topPriority
}

// turn returns the turn that a request would get.
func (s *schedule) reservation(isUrgent bool, now time.Time) time.Time {
	reservation := s.earliest(now)
	if !isUrgent {
		reservation = reservation.Add((savedReservations - 1) * s.interval())
	}
	return reservation
}

// first returns the next turn; of those that passed while nobody asked only so many are kept.
func (s *schedule) earliest(now time.Time) time.Time {
	if oldest := now.Add(-(savedReservations - 1) * s.interval()); s.next.Before(oldest) {
		return oldest
	}
	return s.next
}

// take gives the next turn out.
func (s *schedule) take(now time.Time) { s.next = s.earliest(now).Add(s.interval()) }

// refuse returns when a request should come back for which the next turn is too late. Those that are
// refused together get times one after the other, at the limit's rate.
func (s *schedule) nextRetry(wait time.Duration, isUrgent bool, now time.Time) time.Duration {
	next := &s.retryAt.other
	if isUrgent {
		next = &s.retryAt.urgent
	}
	at := now.Add(wait)
	if next.After(at) {
		at = *next
	}
	*next = at.Add(s.interval())
	if latest := now.Add(maxRetryIn); next.After(latest) {
		*next = latest
	}
	return min(maxRetryIn, at.Sub(now))
}
