package loader

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minStrengthRatio is how many times stronger another daemon's machine must be to receive the term. No
	// orders are given during a handover, so a small gain is not worth one.
	minStrengthRatio = 2.0
	// minTermAgeForHandover is the least age of a term at its handover, and the least time that the stronger
	// daemon must have been attached. Daemons attach to a new leader one after the other.
	minTermAgeForHandover = time.Second
	// handoverBackoffFactor multiplies the least term age after each handover in which no other daemon took
	// the term.
	handoverBackoffFactor = 4
	// handoverTimeout bounds the write of a handover.
	handoverTimeout = 500 * time.Millisecond
)

// handoverPlan decides when this daemon may hand over its term to one on a stronger machine.
type handoverPlan struct {
	termStart    time.Time
	minTermAge   time.Duration // least age of the term for a handover
	lastHandover time.Time
}

// termBegan records the start of a term. If it soon follows a handover, no other daemon took the term, and
// the next handover waits longer.
func (p *handoverPlan) termBegan(now time.Time) {
	p.termStart = now
	if !p.lastHandover.IsZero() && now.Sub(p.lastHandover) < handoverBackoffFactor*minTermAgeForHandover {
		p.minTermAge *= handoverBackoffFactor
		return
	}
	p.minTermAge = minTermAgeForHandover
}

// mayHandOver reports whether the term is old enough for a handover.
func (p *handoverPlan) mayHandOver(now time.Time) bool { return now.Sub(p.termStart) >= p.minTermAge }

// recordDaemon records the properties that a daemon reports only in the first message of its stream.
func (l *Leader) recordDaemon(first *rpc.LoadsDemand) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state := l.daemons[first.GetDaemonId()]; state != nil {
		state.baseCampaignDelay, state.attachedAt = time.Duration(first.GetTermDelayMs())*time.Millisecond, time.Now()
		state.address, state.zone = first.GetAddress(), first.GetZone()
		state.originProcess = first.GetOriginProcess()
		state.acknowledgesProbes, state.processStartedAt = first.GetAcknowledgesProbes(), time.Time{}
		if age := first.GetProcessAgeMs(); age > 0 {
			state.processStartedAt = l.now().Add(-time.Duration(age) * time.Millisecond)
		}
	}
}

// hasStrongerDaemon reports whether a daemon on a much stronger machine has been attached for a while. A
// leader on a weak machine delays the loads of the whole fleet. The caller holds the mutex.
func (l *Leader) hasStrongerDaemon(now time.Time) bool {
	for id, state := range l.daemons {
		isStronger := state.baseCampaignDelay > 0 && float64(l.BaseCampaignDelay) >= minStrengthRatio*float64(state.baseCampaignDelay)
		if isStronger && id != l.Daemon && state.detachedAt.IsZero() && now.Sub(state.attachedAt) >= minTermAgeForHandover {
			return true
		}
	}
	return false
}

// handOver offers the term to other daemons in the background. The caller holds the mutex.
func (l *Leader) handOver(ctx context.Context, now time.Time) {
	l.handovers.lastHandover = now
	l.Log.WithField(logging.Fence, l.fence).Info("handing the term over to a daemon on a stronger machine")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		l.Election.CompleteHandover(ctx, l.Handover)
		l.Wake()
	}()
}
