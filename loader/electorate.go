package loader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// attachTime is how long after a term began most daemons have attached.
	attachTime = time.Second
	// electorateRetryInterval is the least time between two writes of the electorate.
	electorateRetryInterval = 2 * time.Second
	// electorateReadInterval is the time between attempts to read what earlier leaders recorded.
	electorateReadInterval = 200 * time.Millisecond
)

// electorate is the set of daemons of which most must acknowledge a probe. It stands in the key-value service, and only the
// leader can change it, so that a successor counts the same daemons: two majorities of the same set have a daemon in common.
type electorate struct {
	// possible are the sets that may be recorded: the latest one that was acknowledged, and those whose write may take effect.
	// Empty: none is recorded for this term, and no probe counts.
	possible    [][]string
	recorded    bool // the first of possible was acknowledged
	isComplete  bool // so was that the term gap has passed for each replica
	nextWriteAt time.Time
	completeAt  time.Time // when the term gap has passed for each replica
	isWriting   bool
	attachedAt  map[string]time.Time // when each daemon was last attached in this term, unless it is long ago
}

// observeAttached records the daemons that are attached.
func (e *electorate) observeAttached(streams map[string]int, now time.Time) {
	if e.attachedAt == nil {
		e.attachedAt = map[string]time.Time{}
	}
	for daemon := range streams {
		e.attachedAt[daemon] = now
	}
	maps.DeleteFunc(e.attachedAt, func(_ string, at time.Time) bool { return now.Sub(at) > detachedCountTTL })
}

// members returns the daemons that are attached, or were until lately.
func (e *electorate) members() []string { return slices.Sorted(maps.Keys(e.attachedAt)) }

// provenAt returns when the newest probe was sent that most daemons of each possible set have acknowledged; zero if there is
// none. Only the acknowledgements of some daemons count.
func (e *electorate) provenAt(proof *followingProof, counts func(daemon string) bool) time.Time {
	if !e.recorded {
		return time.Time{}
	}
	var oldest time.Time
	for index, daemons := range e.possible {
		at := proof.provenBy(daemons, counts)
		if index == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// begin records that a set is about to be written.
func (e *electorate) begin(daemons []string) {
	e.isWriting = true
	if !slices.ContainsFunc(e.possible, func(possible []string) bool { return slices.Equal(possible, daemons) }) {
		e.possible = append(e.possible, daemons)
	}
}

// end records the outcome of a write. Without an acknowledgement, it may take effect until another one is acknowledged.
func (e *electorate) end(daemons []string, complete, acknowledged bool) {
	e.isWriting = false
	if acknowledged {
		e.possible, e.recorded, e.isComplete = [][]string{daemons}, true, complete
	}
}

// isRecorded reports whether a set, and whether the term gap has passed, need not be written.
func (e *electorate) isRecorded(daemons []string, complete bool) bool {
	return e.recorded && len(e.possible) == 1 && slices.Equal(daemons, e.possible[0]) && e.isComplete == complete
}

// updateElectorate writes the electorate once the term is settled and daemons have had time to attach, again when the term gap
// has passed for each replica, and when the set of daemons has changed. The caller holds the mutex.
func (l *Leader) updateElectorate(ctx context.Context) {
	now := l.now()
	if !l.Limits.spacesLeaders() || l.electorate.isWriting || now.Before(l.electorate.nextWriteAt) {
		return
	}
	daemons, complete := l.electorate.members(), !now.Before(l.electorate.completeAt)
	if l.electorate.isRecorded(daemons, complete) {
		return
	}
	l.electorate.nextWriteAt = now.Add(electorateRetryInterval)
	l.electorate.begin(daemons)
	fence := l.fence
	go func() {
		err := l.Election.MarkSettled(ctx, fence, daemons, complete)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.fence == fence {
			l.electorate.end(daemons, complete, err == nil)
		}
		l.logElectorate(fence, daemons, err)
	}()
}

// learnElectorate reads what earlier leaders recorded, until that succeeds or the term ends. The caller holds the mutex.
func (l *Leader) learnElectorate(ctx context.Context) {
	if l.fence == 0 || !l.Limits.spacesLeaders() || l.succession.settled || l.succession.electorateRead {
		return
	}
	fence := l.fence
	go func() {
		for ctx.Err() == nil {
			settled, err := l.Election.ReadSettled(ctx)
			if !l.applySettled(fence, settled, err) {
				return
			}
			sleep.For(ctx, electorateReadInterval)
		}
	}()
}

// applySettled applies what earlier leaders recorded, and reports whether to read it again.
func (l *Leader) applySettled(fence int64, settled election.Settled, err error) (retry bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fence != fence || l.succession.fence != fence {
		return false
	}
	l.logElectorate(fence, settled.Electorate, err)
	if err != nil {
		return true
	}
	l.succession.applySettled(settled)
	l.Wake()
	return false
}

func (l *Leader) logElectorate(fence int64, daemons []string, err error) {
	entry := l.Log.WithFields(logrus.Fields{logging.Fence: fence, logging.Electorate: len(daemons)})
	if err != nil {
		entry.WithField(logging.Cause, err.Error()).Warn(logging.MessageElectorateFailed)
		return
	}
	entry.Info(logging.MessageElectorate)
}

// scheduleFirstOrder schedules a round for when this leader may give orders. The caller holds the mutex.
func (l *Leader) scheduleFirstOrder(now time.Time) {
	l.scheduleRound(now.Add(l.succession.remaining(l.now())))
}
