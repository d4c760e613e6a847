package quarantine

import (
	"bytes"
	"time"
)

// culprit describes the crashes that a part explains.
type culprit struct {
	replicas map[string]bool
	latest   time.Time // when the last of the crashes was observed
}

// candidate is a part of prompts, or a whole request, that may explain crashes.
type candidate struct {
	part       PartHash
	isRequest  bool
	id         []byte // of the part or the request
	replicas   map[string]bool
	position   int
	popularity int
}

// baseWeight is the weight of the most popular part. Each order of magnitude by which a part is rarer adds one.
const baseWeight = 4

// culprits returns the parts that best explain the crashes, at least minCrashes each. One cause is enough for each
// crash, so that the likeliest candidate takes its crashes away from the others, which are often just in the same
// prompts. Quarantined requests explain their crashes too. The candidates must include all that were at minCrashes or
// more.
func (e *evidence) culprits(minCrashes int, candidates []candidate) map[PartHash]culprit {
	explained, found := map[string]bool{}, map[PartHash]culprit{}
	for {
		best := likeliest(candidates, explained, minCrashes)
		if best == nil {
			return found
		}
		cause := culprit{replicas: map[string]bool{}}
		for replica := range best.replicas {
			if explained[replica] {
				continue
			}
			explained[replica], cause.replicas[replica] = true, true
			if at := e.crashes[replica].observedAt; at.After(cause.latest) {
				cause.latest = at
			}
		}
		if !best.isRequest {
			found[best.part] = cause
		}
	}
}

// candidates returns what was at minCrashes or more.
func (e *evidence) candidates(minCrashes int, isQuarantined func(Fingerprint) bool) (candidates []candidate) {
	crashCounts := map[Fingerprint]int{} // of the requests at the crashes of all candidates
	counted := map[string]bool{}
	for part, replicas := range e.uncleared {
		if len(replicas) < minCrashes {
			continue
		}
		found := candidate{part: part, id: part[:], replicas: replicas}
		for replica := range replicas {
			crash := e.crashes[replica]
			trace := crash.parts[part]
			found.position, found.popularity = max(found.position, trace.position), max(found.popularity, int(trace.popularity))
			if counted[replica] {
				continue
			}
			counted[replica] = true
			for request := range crash.requests {
				crashCounts[request]++
			}
		}
		candidates = append(candidates, found)
	}
	for request, count := range crashCounts {
		if count >= CrashThreshold && isQuarantined(request) {
			candidates = append(candidates, candidate{isRequest: true, id: request[:], replicas: e.replicasWith(request, counted)})
		}
	}
	return candidates
}

// replicasWith returns those of some replicas that crashed while they had a request.
func (e *evidence) replicasWith(request Fingerprint, replicas map[string]bool) map[string]bool {
	found := map[string]bool{}
	for replica := range replicas {
		if e.crashes[replica].requests[request] {
			found[replica] = true
		}
	}
	return found
}

// likeliest returns the candidate that best explains at least minCrashes of the crashes that are not explained yet; nil
// if there is none.
func likeliest(candidates []candidate, explained map[string]bool, minCrashes int) (best *candidate) {
	mostPopular, bestScore := 0, 0
	for _, other := range candidates {
		mostPopular = max(mostPopular, other.popularity)
	}
	for index := range candidates {
		other := &candidates[index]
		count := 0
		for replica := range other.replicas {
			if !explained[replica] {
				count++
			}
		}
		if count < minCrashes {
			continue
		}
		score := count * (baseWeight + mostPopular - other.popularity)
		if best == nil || score > bestScore || score == bestScore && other.isMoreSpecific(best) {
			best, bestScore = other, score
		}
	}
	return best
}

// isMoreSpecific reports whether a candidate is to be preferred to another that explains as much. Later parts of a
// prompt are shared by fewer requests. It orders all candidates, so that all daemons decide alike.
func (c *candidate) isMoreSpecific(other *candidate) bool {
	switch {
	case c.isRequest != other.isRequest:
		return c.isRequest
	case c.position != other.position:
		return c.position > other.position
	}
	return bytes.Compare(c.id, other.id) < 0
}

// remainsSuspect reports whether a part is still to be quarantined although other parts explain its crashes better: it
// was at enough of them in prompts of its own. Two parts that crash replicas are often at the same crashes, and each
// would else be freed by the other's.
func (e *evidence) remainsSuspect(part PartHash, quarantined map[PartHash]culprit) bool {
	apart := 0
	for replica := range e.uncleared[part] {
		if !e.crashes[replica].inPromptWith(part, quarantined) {
			apart++
		}
	}
	return apart >= CrashThreshold
}

// inPromptWith reports whether a part was at the crash in a prompt with a quarantined one.
func (c *crashEvidence) inPromptWith(part PartHash, quarantined map[PartHash]culprit) bool {
	for _, prompt := range c.prompts {
		hasPart, hasQuarantined := false, false
		for _, other := range prompt {
			_, isQuarantined := quarantined[other.hash]
			hasPart, hasQuarantined = hasPart || other.hash == part, hasQuarantined || isQuarantined
		}
		if hasPart && hasQuarantined {
			return true
		}
	}
	return false
}
