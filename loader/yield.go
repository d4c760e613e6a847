package loader

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// strongerBy is how many times stronger a daemon's machine must be for the term to be
	// handed over to it. The machines of one large fleet differ by four times; a handover
	// costs some tenths of a second without orders, and like machines gain nothing by one.
	strongerBy = 2.0
	// yieldAfter is how old a term is when it is first handed over, and how long a stronger
	// daemon must have been attached: daemons move to a new holder one after the other.
	yieldAfter = time.Second
	// yieldAgain is how much longer a term lasts each time that no stronger daemon took it.
	yieldAgain = 4
	// yieldTime bounds the write of a handover.
	yieldTime = 500 * time.Millisecond
)

// yieldPlan is when this daemon next hands its term over, should a stronger one be attached.
type yieldPlan struct {
	began time.Time     // the term
	after time.Duration // age of a term at which it is handed over
	last  time.Time     // of the last handover
}

// termBegan takes in that a term of this daemon began: if it follows a handover of its own,
// nobody else wanted it.
func (y *yieldPlan) termBegan(now time.Time) {
	y.began = now
	if !y.last.IsZero() && now.Sub(y.last) < yieldAgain*yieldAfter {
		y.after *= yieldAgain
		return
	}
	y.after = yieldAfter
}

// due tells whether the term is old enough to be handed over.
func (y *yieldPlan) due(now time.Time) bool { return now.Sub(y.began) >= y.after }

// noteDaemon takes in what the first message of a stream says of its daemon.
func (h *Leader) noteDaemon(first *rpc.LoadsDemand) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if known := h.daemons[first.GetDaemonId()]; known != nil {
		known.delay, known.attached = time.Duration(first.GetTermDelayMs())*time.Millisecond, time.Now()
		known.address, known.zone = first.GetAddress(), first.GetZone()
	}
}

// strongerAttached tells whether a daemon on a much stronger machine has been attached for a
// while; the mutex is held.
//
// A term falls to whoever hears first that it is open. A weak machine that holds it decides
// late for all: on a drawn day of Nitra large (fresh-3090) one with 0.192 of a core held it
// for 30 s, and 1,432 streams were refused for want of their model; 648 in a play of the same
// day in which a strong machine held it.
func (h *Leader) strongerAttached(now time.Time) bool {
	for id, known := range h.daemons {
		isStronger := known.delay > 0 && float64(h.TermDelay) >= strongerBy*float64(known.delay)
		if isStronger && id != h.Daemon && known.detached.IsZero() && now.Sub(known.attached) >= yieldAfter {
			return true
		}
	}
	return false
}

// yield hands the term over; the mutex is held.
func (h *Leader) yield(ctx context.Context, now time.Time) {
	h.yields.last = now
	h.Log.WithField(logging.Fence, h.fence).Info("the term is handed over: a daemon on a stronger machine is attached")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, yieldTime)
		defer cancel()
		h.Election.CompleteHandover(ctx, h.Handover)
		h.Wake()
	}()
}
