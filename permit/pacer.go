// Package permit shares the rate limits of replicas among all daemons. It has no clock and no I/O.
//
// The leader's Pacer reserves a time slot for each message to a rate-limited replica, in the order
// of the requests. A daemon without a leader uses LocalShares, a fixed part of each limit.
package permit

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

const (
	// savedReservations is the number of unused slots that a schedule saves for a burst above the rate.
	// The last one is kept for the highest priority, so that other requests cannot use up the rate.
	savedReservations = 2
	// MaxReservationDelay bounds how far ahead a reservation may be. A new leader, which does not know
	// its predecessor's reservations, waits for as long before its first one.
	MaxReservationDelay = time.Second
	// Validity is how long after its reserved time a permit may be used, for instance while a connection
	// opens. Daemons compute the expiry from when they sent the request, not from when the answer
	// arrived, so that a paused process cannot use a stale permit.
	Validity = 500 * time.Millisecond
	// maxRetryIn bounds the RetryIn of answers.
	maxRetryIn = 10 * time.Second
	// priorityWindow is how long a schedule remembers the highest priority requested.
	priorityWindow = 10 * time.Second
	// idleScheduleTTL is how long a schedule without requests is kept.
	idleScheduleTTL = time.Minute
	// LowestPriority is the priority of messages that yield to all requests of callers.
	LowestPriority = 1000
)

// Request asks for a permit for one message to a replica.
type Request struct {
	Replica   fleet.Incarnation
	PerSecond float64 // the replica's limit; above zero
	Priority  int     // 0 is the highest
	// MaxWait bounds the delay until the reserved time.
	MaxWait time.Duration
}

// Answer is the outcome of a Request.
type Answer struct {
	Granted bool
	Delay   time.Duration // until the reserved time, if granted
	// RetryIn is the time until a reservation should be free, after the retries of earlier refused
	// requests. It is set only if the request was not granted.
	RetryIn time.Duration
}

// Pacer schedules the messages to all rate-limited replicas during one term of the leader. It is not
// safe for concurrent use.
type Pacer struct {
	notBefore time.Time // no reservation is earlier
	schedules map[fleet.Incarnation]*schedule
}

// schedule holds the reservations of one replica.
type schedule struct {
	perSecond     float64
	next          time.Time // time of the next reservation, before unused ones are dropped
	retryAt       retryTimes
	topPriority   int // highest priority requested within priorityWindow
	topPriorityAt time.Time
	lastRequestAt time.Time
}

// retryTimes are the times for the next refused request to retry, by whether it has the highest
// priority.
type retryTimes struct{ urgent, other time.Time }

// NewPacer returns the pacer of a term that begins at now. first means that there was no earlier
// leader; otherwise the pacer waits until its predecessor's reservations have passed.
func NewPacer(first bool, now time.Time) *Pacer {
	pacer := &Pacer{notBefore: now, schedules: map[fleet.Incarnation]*schedule{}}
	if !first {
		pacer.notBefore = now.Add(MaxReservationDelay)
	}
	return pacer
}

// Request answers a request. share is the share of daemons that are connected to this leader, above
// zero; the others use their local shares or another leader.
func (p *Pacer) Request(request Request, share float64, now time.Time) Answer {
	s := p.schedule(request, share, now)
	isUrgent := s.recordPriority(request.Priority, now)
	reservation := s.reservation(isUrgent, now)
	wait := max(0, reservation.Sub(now))
	if wait > maxWaitFor(request, isUrgent) {
		return Answer{RetryIn: s.nextRetry(wait, isUrgent, now)}
	}
	s.book(now)
	return Answer{Granted: true, Delay: wait}
}

// maxWaitFor returns how far ahead a request may reserve. Requests below the highest priority get
// only free slots, so that the next ones stay open for it.
func maxWaitFor(request Request, isUrgent bool) time.Duration {
	if !isUrgent {
		return 0
	}
	return min(request.MaxWait, MaxReservationDelay)
}

// Charge reserves a slot for a message that is sent regardless of the limit.
func (p *Pacer) Charge(r Request, share float64, now time.Time) { p.schedule(r, share, now).book(now) }

// Return cancels the reservation of an unused permit.
func (p *Pacer) Return(replica fleet.Incarnation) {
	if s := p.schedules[replica]; s != nil {
		s.next = s.next.Add(-s.interval())
	}
}

// PendingReservations returns the number of reservations that are still in the future, over all
// replicas.
func (p *Pacer) PendingReservations(now time.Time) (count int) {
	for _, s := range p.schedules {
		if ahead := s.next.Sub(now); ahead > 0 {
			count += int((ahead - 1) / s.interval()) // excluding a reservation for now
		}
	}
	return count
}

// schedule returns the schedule of a replica, adjusted to its current rate.
func (p *Pacer) schedule(request Request, share float64, now time.Time) *schedule {
	rate := request.PerSecond * min(1, share)
	s := p.schedules[request.Replica]
	if s == nil {
		p.removeIdle(now)
		s = &schedule{perSecond: rate, next: now, topPriority: request.Priority}
		if notBefore := p.notBefore.Add(s.interval()); p.notBefore.After(now) {
			s.next = notBefore
		}
		p.schedules[request.Replica] = s
	}
	if s.perSecond != rate {
		s.setRate(rate, now)
	}
	s.lastRequestAt = now
	return s
}

// removeIdle deletes schedules without recent requests.
func (p *Pacer) removeIdle(now time.Time) {
	for replica, s := range p.schedules {
		if now.Sub(s.lastRequestAt) > idleScheduleTTL && now.After(s.next) {
			delete(p.schedules, replica)
		}
	}
}

// interval is the time between two reservations.
func (s *schedule) interval() time.Duration { return time.Duration(float64(time.Second) / s.perSecond) }

// setRate keeps the number of pending reservations and clears the retry times.
func (s *schedule) setRate(rate float64, now time.Time) {
	ahead := s.next.Sub(now)
	if ahead > 0 {
		s.next = now.Add(time.Duration(float64(ahead) * s.perSecond / rate))
	}
	s.perSecond, s.retryAt = rate, retryTimes{}
}

// recordPriority records the priority of a request and reports whether it is the highest within
// priorityWindow.
func (s *schedule) recordPriority(priority int, now time.Time) (isUrgent bool) {
	if priority <= s.topPriority || now.Sub(s.topPriorityAt) > priorityWindow {
		s.topPriority, s.topPriorityAt = priority, now
	}
	return priority <= s.topPriority
}

// reservation returns the slot that a request would get.
func (s *schedule) reservation(isUrgent bool, now time.Time) time.Time {
	reservation := s.earliestSlot(now)
	if !isUrgent {
		reservation = reservation.Add((savedReservations - 1) * s.interval())
	}
	return reservation
}

// earliestSlot returns the next slot. It drops unused slots beyond savedReservations.
func (s *schedule) earliestSlot(now time.Time) time.Time {
	if oldest := now.Add(-(savedReservations - 1) * s.interval()); s.next.Before(oldest) {
		return oldest
	}
	return s.next
}

// book reserves the next slot.
func (s *schedule) book(now time.Time) { s.next = s.earliestSlot(now).Add(s.interval()) }

// nextRetry returns when a refused request should retry. Requests that are refused together get
// consecutive times at the replica's rate.
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
