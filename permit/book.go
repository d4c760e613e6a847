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
	saved = 2
	// MaxReservationDelay is how far ahead of its turn a permit is given out at most. The next owner, which does
	// not know what its predecessor gave out, begins that much later.
	MaxReservationDelay = time.Second
	// Life is how long after its turn a permit may be used: a connection may take 0.4 s to open. What a
	// daemon that stood still finds later is worth nothing. It counts from the question.
	Validity = 500 * time.Millisecond
	// mostReturn bounds the advice to callers.
	mostReturn = 10 * time.Second
	// urgencyTime is how long the most urgent request that asked is remembered.
	urgencyTime = 10 * time.Second
	// lineKept is how long a line is kept that nobody asks for.
	lineKept = time.Minute
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
	opens time.Time // before that no turn is given out
	lines map[fleet.Incarnation]*line
}

// line is the order of messages to one replica.
type line struct {
	perSecond float64
	next      time.Time // turn that is given out next, unless it is so long past that it was not kept
	returnAt  returnTimes
	urgent    int // priority of the most urgent request that asked lately
	urgentAt  time.Time
	askedAt   time.Time
}

// returnTimes are when the next request that is refused should come back: an urgent one, and another.
type returnTimes struct{ urgent, other time.Time }

// NewPacer returns the book of a term that begins at a moment. first tells that nobody gave out permits
// before; else the turns that are out have to pass first.
func NewPacer(first bool, now time.Time) *Pacer {
	made := &Pacer{opens: now, lines: map[fleet.Incarnation]*line{}}
	if !first {
		made.opens = now.Add(MaxReservationDelay)
	}
	return made
}

// Ask answers a question. reached is the share of the daemons that ask this owner, above zero: the
// others use up their own part of the limit, or ask another owner.
func (b *Pacer) Request(ask Request, reached float64, now time.Time) Answer {
	known := b.line(ask, reached, now)
	isUrgent := known.noteUrgency(ask.Priority, now)
	turn := known.turn(isUrgent, now)
	wait := max(0, turn.Sub(now))
	if wait > patienceOf(ask, isUrgent) {
		return Answer{RetryIn: known.refuse(wait, isUrgent, now)}
	}
	known.take(now)
	return Answer{Granted: true, Delay: wait}
}

// patienceOf returns how far ahead a turn is given out. Less urgent requests wait until one is free, or
// they would take what urgent ones need before those come.
func patienceOf(ask Request, isUrgent bool) time.Duration {
	if !isUrgent {
		return 0
	}
	return min(ask.MaxWait, MaxReservationDelay)
}

// Charge takes in that a message goes to a replica whether it has a turn or not.
func (b *Pacer) Charge(ask Request, reached float64, now time.Time) {
	b.line(ask, reached, now).take(now)
}

// Return takes back a permit that was not used.
func (b *Pacer) Return(replica fleet.Incarnation) {
	if known := b.lines[replica]; known != nil {
		known.next = known.next.Add(-known.pause())
	}
}

// Waiting returns how many turns are given out and have not come yet, of all replicas together.
func (b *Pacer) PendingReservations(now time.Time) (turns int) {
	for _, one := range b.lines {
		if ahead := one.next.Sub(now); ahead > 0 {
			turns += int((ahead - 1) / one.pause()) // the turn at this moment has come
		}
	}
	return turns
}

// line returns the line of a replica at its present rate.
func (b *Pacer) line(ask Request, reached float64, now time.Time) *line {
	rate := ask.PerSecond * min(1, reached)
	known := b.lines[ask.Replica]
	if known == nil {
		b.forget(now)
		known = &line{perSecond: rate, next: now, urgent: ask.Priority}
		if opens := b.opens.Add(known.pause()); b.opens.After(now) {
			known.next = opens
		}
		b.lines[ask.Replica] = known
	}
	if known.perSecond != rate {
		known.change(rate, now)
	}
	known.askedAt = now
	return known
}

// forget drops the lines that nobody asked for lately.
func (b *Pacer) forget(now time.Time) {
	for replica, one := range b.lines {
		if now.Sub(one.askedAt) > lineKept && now.After(one.next) {
			delete(b.lines, replica)
		}
	}
}

// pause is the time between two turns.
func (l *line) pause() time.Duration { return time.Duration(float64(time.Second) / l.perSecond) }

// change sets the rate. The turns that are given out stay as many; who is refused is told anew when to
// come back.
func (l *line) change(rate float64, now time.Time) {
	ahead := l.next.Sub(now)
	if ahead > 0 {
		l.next = now.Add(time.Duration(float64(ahead) * l.perSecond / rate))
	}
	l.perSecond, l.returnAt = rate, returnTimes{}
}

// noteUrgency takes in how urgent a request is, and tells whether none that asked lately was more so.
func (l *line) noteUrgency(priority int, now time.Time) (isUrgent bool) {
	if priority <= l.urgent || now.Sub(l.urgentAt) > urgencyTime {
		l.urgent, l.urgentAt = priority, now
	}
	return priority <= l.urgent
}

// turn returns the turn that a request would get.
func (l *line) turn(isUrgent bool, now time.Time) time.Time {
	turn := l.first(now)
	if !isUrgent {
		turn = turn.Add((saved - 1) * l.pause())
	}
	return turn
}

// first returns the next turn; of those that passed while nobody asked only so many are kept.
func (l *line) first(now time.Time) time.Time {
	if oldest := now.Add(-(saved - 1) * l.pause()); l.next.Before(oldest) {
		return oldest
	}
	return l.next
}

// take gives the next turn out.
func (l *line) take(now time.Time) { l.next = l.first(now).Add(l.pause()) }

// refuse returns when a request should come back for which the next turn is too late. Those that are
// refused together get times one after the other, at the limit's rate.
func (l *line) refuse(wait time.Duration, isUrgent bool, now time.Time) time.Duration {
	next := &l.returnAt.other
	if isUrgent {
		next = &l.returnAt.urgent
	}
	at := now.Add(wait)
	if next.After(at) {
		at = *next
	}
	*next = at.Add(l.pause())
	if most := now.Add(mostReturn); next.After(most) {
		*next = most
	}
	return min(mostReturn, at.Sub(now))
}
