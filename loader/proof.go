package loader

import (
	"slices"
	"time"
)

const (
	// probesPerProof is how many probes are sent in the time that a proof is valid, so that a lost one does not interrupt
	// the orders.
	probesPerProof = 4
	// probeBelowShare is the share of the lease's TTL below whose remaining validity probes begin, so that the first ones
	// are acknowledged before it ends. Renewals that succeed keep the validity above it.
	probeBelowShare = 0.4
	// probeAfterShare is the same where orders need a recent renewal: the share of orderValidity that has passed since it.
	probeAfterShare = 0.6
	// maxProbes is how many of the latest probes are remembered.
	maxProbes = 2 * probesPerProof
)

// proofAge returns how long a proof is valid from when its probe was sent.
func (l Limits) proofAge() time.Duration {
	return time.Duration(orderValidityShare * float64(l.TermGap))
}

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
	return p.sentAt(numbers, daemons)
}

// provenBy returns when the newest probe was sent that most of some daemons have acknowledged; zero if there is none. Only the
// acknowledgements of some of them count.
func (p *followingProof) provenBy(daemons []string, counts func(daemon string) bool) time.Time {
	var numbers []uint64
	for _, daemon := range daemons {
		if number := p.acknowledged[daemon]; number > 0 && counts(daemon) {
			numbers = append(numbers, number)
		}
	}
	return p.sentAt(numbers, len(daemons)/2+1)
}

// sentAt returns when the newest probe was sent that a number of daemons have acknowledged, given the newest one of each.
func (p *followingProof) sentAt(numbers []uint64, daemons int) time.Time {
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
