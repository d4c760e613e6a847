package loader

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minStrengthRatio is how many times stronger a daemon's machine must be for the term to be
	// handed over to it. The machines of one large fleet differ by four times; a handover
	// costs some tenths of a second without orders, and like machines gain nothing by one.
	minStrengthRatio = 2.0
	// minTermAgeForHandover is how old a term is when it is first handed over, and how long a stronger
	// daemon must have been attached: daemons move to a new holder one after the other.
	minTermAgeForHandover = time.Second
	// handoverBackoffFactor is how much longer a term lasts each time that no stronger daemon took it.
	handoverBackoffFactor = 4
	// handoverTimeout bounds the write of a handover.
	handoverTimeout = 500 * time.Millisecond
)

// handoverPlan is when this daemon next hands its term over, should a stronger one be attached.
type handoverPlan struct {
	termStart    time.Time     // the term
	minTermAge   time.Duration // age of a term at which it is handed over
	lastHandover time.Time     // of the last handover
}

// termBegan takes in that a term of this daemon began: if it follows a handover of its own,
// nobody else wanted it.
func (p *handoverPlan) termBegan(now time.Time) {
	p.termStart = now
	if !p.lastHandover.IsZero() && now.Sub(p.lastHandover) < handoverBackoffFactor*minTermAgeForHandover {
		p.minTermAge *= handoverBackoffFactor
		return
	}
	p.minTermAge = minTermAgeForHandover
}

// due tells whether the term is old enough to be handed over.
func (p *handoverPlan) mayHandOver(now time.Time) bool { return now.Sub(p.termStart) >= p.minTermAge }

// recordDaemon takes in what the first message of a stream says of its daemon.
func (l *Leader) recordDaemon(first *rpc.LoadsDemand) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.daemons[first.GetDaemonId()]; known != nil {
		known.termDelay, known.attachedAt = time.Duration(first.GetTermDelayMs())*time.Millisecond, time.Now()
		known.address, known.zone = first.GetAddress(), first.GetZone()
	}
}

// hasStrongerDaemon tells whether a daemon on a much stronger machine has been attached for a
// while; the mutex is held.
//
// A term falls to whoever hears first that it is open. A weak machine that holds it decides
// late for all: on a drawn day of Nitra large (fresh-3090) one with 0.192 of a core held it
// for 30 s, and 1,432 streams were refused for want of their model; 648 in a play of the same
// day in which a strong machine held it.
func (l *Leader) hasStrongerDaemon(now time.Time) bool {
	for id, known := range l.daemons {
		isStronger := known.termDelay > 0 && float64(l.TermDelay) >= minStrengthRatio*float64(known.termDelay)
		if isStronger && id != l.Daemon && known.detachedAt.IsZero() && now.Sub(known.attachedAt) >= minTermAgeForHandover {
			return true
		}
	}
	return false
}

// yield hands the term over; the mutex is held.
func (l *Leader) handOver(ctx context.Context, now time.Time) {
	l.handovers.lastHandover = now
	l.Log.WithField(logging.Fence, l.fence).Info("the term is handed over: a daemon on a stronger machine is attached")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		l.Election.Yield(ctx, l.Handover)
		l.Wake()
	}()
}
