package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// evidence links parts of prompts to crashes, from the reports of all daemons. A part that crashes replicas was at each
// crash that it caused, and no answer to a prompt with it began since. It does no I/O and takes the time as an argument.
type evidence struct {
	crashes map[string]*crashEvidence // by replica, as the incarnation
	// uncleared maps each part to the replicas that crashed with it and of whose crashes it is not cleared.
	uncleared map[PartHash]map[string]bool
}

// crashEvidence is what all reports say of one crash.
type crashEvidence struct {
	reports    map[string]bool // keys of the records that name the crash
	requests   map[Fingerprint]bool
	parts      map[PartHash]partTrace
	prompts    map[Fingerprint][]reportedPart // by request, if it has parts
	cleared    map[PartHash]bool              // whether a report clears the part; false: only this daemon knows
	observedAt time.Time
}

// partTrace describes a part at a crash.
type partTrace struct {
	position   int // in the prompt, from zero; the last one if prompts differ
	popularity uint8
}

func newEvidence() *evidence {
	return &evidence{crashes: map[string]*crashEvidence{}, uncleared: map[PartHash]map[string]bool{}}
}

// crash returns the evidence of a crash that a record names, and adds it if it is new.
func (e *evidence) crash(replica, key string, now time.Time) *crashEvidence {
	crash := e.crashes[replica]
	if crash == nil {
		crash = &crashEvidence{reports: map[string]bool{}, requests: map[Fingerprint]bool{}, parts: map[PartHash]partTrace{}, prompts: map[Fingerprint][]reportedPart{}, cleared: map[PartHash]bool{}, observedAt: now}
		e.crashes[replica] = crash
	}
	crash.reports[key] = true
	return crash
}

// add adds the crashes and clearances of a report.
func (e *evidence) add(key string, report Report, now time.Time) {
	for _, reported := range report.Crashes {
		crash := e.crash(reported.Replica, key, now)
		for index, request := range reported.Requests {
			crash.requests[Fingerprint(request)] = true
			parts := reported.partsOf(index)
			if len(parts) > 0 {
				crash.prompts[Fingerprint(request)] = parts
			}
			for position, part := range parts {
				e.addPart(reported.Replica, crash, part, position)
			}
		}
	}
	for _, clearance := range report.Cleared {
		for _, replica := range clearance.Replicas {
			e.crash(replica, key, now)
			e.clear(PartHash(clearance.Part), replica, true)
		}
	}
}

func (e *evidence) addPart(replica string, crash *crashEvidence, part reportedPart, position int) {
	trace := crash.parts[part.hash]
	crash.parts[part.hash] = partTrace{max(trace.position, position), max(trace.popularity, part.popularity)}
	if _, cleared := crash.cleared[part.hash]; cleared {
		return
	}
	if e.uncleared[part.hash] == nil {
		e.uncleared[part.hash] = map[string]bool{}
	}
	e.uncleared[part.hash][replica] = true
}

// clear records that a part did not cause a crash. reported tells whether a report says so.
func (e *evidence) clear(part PartHash, replica string, reported bool) {
	if crash := e.crashes[replica]; crash != nil {
		crash.cleared[part] = crash.cleared[part] || reported
	}
	e.forget(part, replica)
}

func (e *evidence) forget(part PartHash, replica string) {
	delete(e.uncleared[part], replica)
	if len(e.uncleared[part]) == 0 {
		delete(e.uncleared, part)
	}
}

// remove removes the evidence that only a removed record names. What one record says of a crash is kept while another
// names the crash too.
func (e *evidence) remove(key string, replicas []string) {
	for _, replica := range replicas {
		crash := e.crashes[replica]
		if crash == nil {
			continue
		}
		delete(crash.reports, key)
		if len(crash.reports) > 0 {
			continue
		}
		delete(e.crashes, replica)
		for part := range crash.parts {
			e.forget(part, replica)
		}
	}
}

// culprit describes the crashes that a part explains.
type culprit struct {
	replicas map[string]bool
	latest   time.Time // when the last of the crashes was observed
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

// culprits returns the parts that best explain the crashes, each at least minCrashes. One cause is enough for each crash, so that the likeliest
// candidate takes its crashes away from the others, which are often just in the same prompts. Quarantined requests
// explain their crashes too. The candidates must include all that were at minCrashes or more.
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

// unclearedReplicas returns the replicas that crashed with a part and of whose crashes it is not cleared, sorted.
func (e *evidence) unclearedReplicas(part PartHash) []string {
	return slices.Sorted(maps.Keys(e.uncleared[part]))
}
