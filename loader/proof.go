package loader

import (
	"slices"
	"time"
)

// While the lease cannot be renewed, a leader gives orders only with a proof that most daemons followed it a short time
// ago: a probe that they acknowledged. Where replicas check no fencing tokens, its successor waits until no such proof can
// be valid any more. With the times of one term and the next, by clocks that count suspensions:
//
//	last order of the leader arrives <= newest acknowledged probe was sent + proofAge + orderTimeout
//	newest acknowledged probe was sent <= probe was received by a daemon that follows the successor now
//	first order of the successor     >= that daemon received it + successorWait
//	proofAge + orderTimeout          <= successorWait
//
// Most daemons acknowledged the probe and most follow the successor, so one did both. A lease alone ends earlier: the
// election counts it as valid for a share of its TTL that leaves orderTimeout.
const (
	// proofShare is proofAge as a share of the term gap.
	proofShare = 0.2
	// probesPerProof is how many probes are sent in proofAge, so that a lost one does not interrupt the orders.
	probesPerProof = 4
	// probeBelowShare is the share of the lease's TTL below whose remaining validity probes begin, so that the first ones
	// are acknowledged before it ends. Renewals that succeed keep the validity above it.
	probeBelowShare = 0.4
	// maxProbes is how many of the latest probes are remembered.
	maxProbes = 2 * probesPerProof
)

// proofAge returns how long a proof is valid from when its probe was sent.
func (l Limits) proofAge() time.Duration {
	return time.Duration(proofShare * float64(l.TermGap))
}

// successorWait returns how long after a probe a successor gives no orders.
func (l Limits) successorWait() time.Duration { return l.proofAge() + orderTimeout }

// probe is a question to all daemons whether they still follow the term.
type probe struct {
	number uint64
	sentAt time.Time
}

// followingProof tracks how recently most daemons followed this leader's term.
type followingProof struct {
	probes       []probe           // the latest of this term, oldest first
	last         uint64            // number of the latest probe of any term, so that none is used twice
	acknowledged map[string]uint64 // newest probe, by daemon
	changed      chan struct{}     // closed with the next probe
}

// beginTerm discards what was proven for an earlier term.
func (p *followingProof) beginTerm() {
	p.probes, p.acknowledged = nil, map[string]uint64{}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
}

// newest returns the number of the newest probe of this term; zero if there is none.
func (p *followingProof) newest() uint64 {
	if len(p.probes) == 0 {
		return 0
	}
	return p.probes[len(p.probes)-1].number
}

// send begins a probe, unless the newest one is more recent than an interval. It returns when the next one is due.
func (p *followingProof) send(now time.Time, interval time.Duration) time.Time {
	if len(p.probes) > 0 {
		if due := p.probes[len(p.probes)-1].sentAt.Add(interval); due.After(now) {
			return due
		}
	}
	p.last++
	p.probes = append(p.probes, probe{p.last, now})
	if len(p.probes) > maxProbes {
		p.probes = slices.Delete(p.probes, 0, len(p.probes)-maxProbes)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return now.Add(interval)
}

// acknowledge records that a daemon has received a probe.
func (p *followingProof) acknowledge(daemon string, number uint64) {
	p.acknowledged[daemon] = max(p.acknowledged[daemon], number)
}

// provenAt returns when the newest probe was sent that a number of daemons have acknowledged; zero if there is none.
// Daemons of earlier versions, which acknowledge nothing, are given by how many of them are attached.
func (p *followingProof) provenAt(daemons, unable int) time.Time {
	var numbers []uint64
	for _, number := range p.acknowledged {
		numbers = append(numbers, number)
	}
	for range unable {
		numbers = append(numbers, p.newest())
	}
	if daemons <= 0 || len(numbers) < daemons {
		return time.Time{}
	}
	slices.Sort(numbers)
	number := numbers[len(numbers)-daemons]
	for _, sent := range p.probes {
		if sent.number == number {
			return sent.sentAt
		}
	}
	return time.Time{}
}

// succession is the beginning of a term, in which an earlier leader may still give orders.
type succession struct {
	waits bool // the earlier leader may
	// beganAt is when this term began, and earlierProbeAt when a daemon that follows it last received a probe of an
	// earlier term, at the latest.
	beganAt, earlierProbeAt time.Time
}

// observe records that a daemon that now follows this term received a probe of an earlier one.
func (s *succession) observe(at time.Time) {
	if at.After(s.earlierProbeAt) {
		s.earlierProbeAt = at
	}
}

// mayOrder reports whether no earlier leader gives orders any more. followed means that most daemons follow this term, and
// so no earlier one. Otherwise the others may have ended with the earlier leader: then this one waits as if a probe had been
// received when its term began, which is no proof if most daemons follow the earlier leader and cannot be reached.
func (s *succession) mayOrder(now time.Time, followed bool, wait time.Duration) bool {
	if !s.waits {
		return true
	}
	from := s.earlierProbeAt
	if !followed && s.beganAt.After(from) {
		from = s.beganAt
	}
	if now.Before(from.Add(wait)) {
		return false
	}
	s.waits = !followed
	return true
}
