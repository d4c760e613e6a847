package core

import "time"

const (
	// shareSettleTime is how long a process must have heard the number of daemons before its share
	// yields anything: while daemons attach to a new leader one after the other, the first hear small
	// numbers.
	shareSettleTime = 3 * time.Second
	// maxHeartbeatGap is the longest time between two reports of the leader that counts as
	// attached, at which the share yields. It exceeds the leader's heartbeat interval.
	maxHeartbeatGap = 3 * time.Second
	// countMemory is how long a larger number of daemons is remembered, at least. Daemons that the
	// leader does not count any more may still have their shares.
	countMemory = 30 * time.Second
)

// reserveShare is the part of a reserve shared by all daemons that this one may use. It follows from how
// many daemons the leader reports. It is not safe for concurrent use.
type reserveShare struct {
	daemons  int       // as last reported; zero if unknown
	since    time.Time // of the first report
	heardAt  time.Time // of the last report
	largest  int       // in the current period of countMemory
	previous int       // largest of the period before
	periodAt time.Time // start of the current period
}

// report records a report of the leader and returns the time for which the share has yielded since
// the report before.
func (s *reserveShare) report(daemons int, now time.Time) (yielded time.Duration) {
	if s.since.IsZero() {
		s.since, s.periodAt = now, now
	} else if gap := now.Sub(s.heardAt); gap <= maxHeartbeatGap {
		yielded = max(0, min(gap, now.Sub(s.since)-shareSettleTime))
	}
	s.daemons, s.heardAt = daemons, now
	if now.Sub(s.periodAt) > countMemory {
		s.previous, s.largest, s.periodAt = s.largest, 0, now
	}
	s.largest = max(s.largest, daemons)
	return yielded
}

// share returns the daemon's part of the reserve; zero if the number of daemons is unknown.
func (s *reserveShare) share() float64 {
	count := max(s.largest, s.previous)
	if count == 0 {
		return 0
	}
	return 1 / float64(count)
}

// lapsed reports whether the leader has been silent for so long that it may have given this daemon's
// share to others.
func (s *reserveShare) lapsed(now time.Time, after time.Duration) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) > after
}
