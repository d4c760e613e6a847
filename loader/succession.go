package loader

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/election"
)

// The time between the orders of two leaders, at each replica. A leader sends an order only within orderValidity of a
// sign that no other daemon leads: a renewal of its lease that succeeded, or a probe that most daemons acknowledged. Probes
// count for unleasedTime after the last such renewal. Its order arrives within orderTimeout. All three count from when the
// leader sent the renewal or the probe, never from when another daemon heard of it. So the successor knows, with the lease's
// TTL and no message from the leader:
//
//	last renewal was sent        <= lease had ended, by the successor's write of the record - TTL
//	last order arrives           <= last renewal was sent + orderValidity + orderTimeout, by the lease
//	last order arrives           <= newest acknowledged probe was sent + orderValidity + orderTimeout, by a proof
//	last order arrives           <= last renewal was sent + unleasedTime + orderTimeout, at all
//	first order of the successor >= last order arrives + TermGap
//
// Most daemons of the electorate acknowledged a probe. If half of it follow the successor, one did both and tells when it
// received the probe; if not, the successor waits for the end of unleasedTime.
const (
	// orderValidityShare is orderValidity as a share of the term gap.
	orderValidityShare = 0.2
	// unleasedShare is unleasedTime as a share of the term gap.
	unleasedShare = 10.0
	// renewalsPerOrderValidity is how often a lease is renewed in orderValidity, so that a lost renewal does not interrupt
	// the orders.
	renewalsPerOrderValidity = 3
	// maxClockDrift is by how much the clocks of two machines may run apart, as a share of the time.
	maxClockDrift = 0.01
	// earlierVersionValidity is how long after its last renewal a leader whose record states no bound gives orders, if it is
	// cut off from the store and from the other daemons together: until it detects that their streams are silent.
	earlierVersionValidity = silenceTimeout + election.MaxRenewalDelay
)

// OrderValidity returns how long after a renewal or a probe was sent an order may be sent because of it. Zero: the replicas
// check fencing tokens, and orders are bounded by the lease alone.
func (l Limits) OrderValidity() time.Duration {
	if !l.spacesLeaders() {
		return 0
	}
	return time.Duration(orderValidityShare * float64(l.TermGap))
}

// RenewInterval returns the time between renewals of the leader's lease; zero: the default of the election.
func (l Limits) RenewInterval() time.Duration { return l.OrderValidity() / renewalsPerOrderValidity }

// spacesLeaders reports whether the term gap must hold between any two leaders. Where replicas check fencing tokens, it
// must hold only between leaders that are not cut off, so that a successor can rely on what it has received.
func (l Limits) spacesLeaders() bool { return !l.FencesChecked && l.TermGap > 0 }

// unleasedTime returns for how long after its last successful renewal was sent a leader may give orders by probes.
func (l Limits) unleasedTime() time.Duration {
	return time.Duration(unleasedShare * float64(l.TermGap))
}

// waitAfter returns how long after a renewal or a probe of an earlier leader was sent its successor may give orders, if the
// earlier leader may send orders for a time after it.
func (l Limits) waitAfter(validity time.Duration) time.Duration {
	return withDrift(validity + orderTimeout + l.TermGap)
}

// waitAfterLease is waitAfter for an unknown renewal of a lease that has ended.
func (l Limits) waitAfterLease(validity, ttl time.Duration) time.Duration {
	return l.waitAfter(validity) - time.Duration((1-maxClockDrift)*float64(ttl))
}

// withDrift returns how long to wait until a time has passed by the clock of any other machine.
func withDrift(duration time.Duration) time.Duration {
	return time.Duration((1 + maxClockDrift) * float64(duration))
}

// succession is the beginning of a term, in which an earlier leader may still give orders. The zero value is one that is
// settled at once.
type succession struct {
	fence   int64
	settled bool // no earlier leader gives orders any more, and the term gap has passed
	// followedFrom and unfollowedFrom are when this leader may give orders at the earliest, if half of the electorate follow it
	// and if not.
	followedFrom, unfollowedFrom time.Time
	// earlierProbes is when each daemon that has followed this term last received a probe of an earlier leader, at the latest
	// (zero: it received none lately), and probeWait how long after it this leader gives no orders.
	earlierProbes map[string]time.Time
	probeWait     time.Duration
	// ownOrdersBy is when the last order of this daemon's earlier process had arrived at the latest; zero if there was none.
	ownOrdersBy time.Time
	// electorate names the daemons of which earlier leaders needed most; empty if that is not known, or if none is recorded.
	electorate     []string
	electorateRead bool
}

// observe records that a daemon follows this term now, and when it last received a probe of an earlier leader.
func (s *succession) observe(daemon string, probedAt time.Time) {
	if s.earlierProbes == nil {
		s.earlierProbes = map[string]time.Time{}
	}
	s.earlierProbes[daemon] = later(s.earlierProbes[daemon], probedAt)
}

// applySettled applies what earlier leaders recorded.
func (s *succession) applySettled(settled election.Settled) {
	s.electorateRead = true
	switch {
	case settled.Own:
		s.settled = true
	case !settled.Known:
	case len(settled.Electorate) == 0: // no earlier leader gave orders without its lease
		s.unfollowedFrom = s.followedFrom
	default:
		s.electorate = settled.Electorate
	}
}

// mayOrder reports whether no earlier leader gives orders any more.
func (s *succession) mayOrder(now time.Time) bool {
	if !s.settled {
		s.settled = !now.Before(s.firstOrder())
	}
	return s.settled
}

// firstOrder returns when this leader may give orders at the earliest, as far as is known.
func (s *succession) firstOrder() time.Time {
	probedAt, followed := s.probedAt()
	if !followed {
		return s.unfollowedFrom
	}
	from := s.followedFrom
	if !probedAt.IsZero() {
		from = later(from, probedAt.Add(s.probeWait))
	}
	if from.After(s.unfollowedFrom) {
		return s.unfollowedFrom
	}
	return from
}

// probedAt returns whether half of the electorate have followed this term, and the earliest time after which none of some
// half of it received a probe of an earlier leader. Any majority includes one of them, and a daemon does not go back to an
// earlier leader.
func (s *succession) probedAt() (at time.Time, followed bool) {
	var times []time.Time
	for _, daemon := range s.electorate {
		if probedAt, observed := s.earlierProbes[daemon]; observed {
			times = append(times, probedAt)
		}
	}
	half := (len(s.electorate) + 1) / 2
	if half == 0 || len(times) < half {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[half-1], true
}

// remaining returns for how long this leader gives no orders, as far as is known.
func (s *succession) remaining(now time.Time) time.Duration {
	if s.settled {
		return 0
	}
	return max(0, s.firstOrder().Sub(now))
}

// remainingForNext returns for how long the next leader must give no orders, if half of the electorate follow it and if not.
func (s *succession) remainingForNext(now time.Time) (followed, unfollowed time.Duration) {
	if s.settled {
		return 0, 0
	}
	return max(0, s.followedFrom.Sub(now)), max(0, s.unfollowedFrom.Sub(now))
}

// newSuccession returns the succession of a term that began now. The caller holds the mutex.
func (l *Leader) newSuccession(fence int64, beginning election.Beginning, now time.Time) succession {
	if beginning.Way == election.Restored && l.succession.fence == beginning.EarlierFence {
		resumed := l.succession
		resumed.fence = fence
		return resumed
	}
	s := succession{fence: fence, settled: l.isFirstTerm(now)}
	if !s.settled {
		s.followedFrom, s.unfollowedFrom = l.orderTimesAfter(beginning, now)
	}
	if beginning.Way == election.Restarted {
		s.ownOrdersBy = beginning.EarlierLeadersBy.Add(orderTimeout)
	}
	if l.Limits.spacesLeaders() {
		s.probeWait = l.Limits.waitAfter(l.Limits.OrderValidity())
	}
	if unknown := l.Election.UnknownLeaderUntil(); !unknown.IsZero() {
		earliest := unknown.Add(l.Limits.TermGap)
		s.followedFrom, s.unfollowedFrom = later(s.followedFrom, earliest), later(s.unfollowedFrom, earliest)
		s.settled = s.settled && !now.Before(earliest)
	}
	return s
}

// isFirstTerm reports whether no leader can have preceded. A leader that this daemon has not observed may have, once the
// system has run for as long as a lease. The caller holds the mutex.
func (l *Leader) isFirstTerm(now time.Time) bool {
	return l.FirstTerm() && (!l.Limits.spacesLeaders() || now.Sub(l.started) < l.Election.TTL)
}

// orderTimesAfter returns when a leader may give orders after the earlier one, if half of the electorate follow it and if
// not. The caller holds the mutex.
func (l *Leader) orderTimesAfter(beginning election.Beginning, now time.Time) (followed, unfollowed time.Time) {
	if !l.Limits.spacesLeaders() {
		from := l.orderTimeByHistory(beginning, now)
		return from, from
	}
	validity, unleased, ttl := l.Limits.OrderValidity(), l.Limits.unleasedTime(), l.Election.TTL
	if inherited := beginning.Inherited; inherited != nil {
		unfollowed = later(inherited.NotBefore, inherited.UnfollowedNotBefore)
		if beginning.UnboundedValidity {
			// That leader did not wait for the end of an earlier one's unleasedTime.
			unfollowed = later(unfollowed, beginning.EarlierLeadersBy.Add(l.Limits.waitAfterLease(unleased, ttl)))
		}
		return inherited.NotBefore, unfollowed
	}
	if beginning.UnboundedValidity {
		validity, unleased = max(validity, earlierVersionValidity), max(unleased, earlierVersionValidity)
	}
	followed = beginning.EarlierLeadersBy.Add(l.Limits.waitAfterLease(validity, ttl))
	if beginning.ResumesOwn() {
		// A leader that handed over to the earlier process may have sent orders until then.
		followed = later(followed, beginning.EarlierLeadersBy.Add(l.Limits.waitAfter(0)))
	}
	return followed, later(followed, beginning.EarlierLeadersBy.Add(l.Limits.waitAfterLease(unleased, ttl)))
}

// orderTimeByHistory returns when a leader may give orders to replicas that check fencing tokens: a term gap after the last
// order that this daemon knows of. The caller holds the mutex.
func (l *Leader) orderTimeByHistory(beginning election.Beginning, now time.Time) time.Time {
	switch {
	case beginning.Way == election.Restarted:
		return now
	case beginning.Inherited != nil:
		return beginning.Inherited.NotBefore
	case !l.lastOrderAt.IsZero():
		return l.lastOrderAt.Add(l.Limits.TermGap)
	case !l.FirstStart && !l.justStarted(now):
		return now.Add(l.Limits.TermGap)
	}
	return now
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
