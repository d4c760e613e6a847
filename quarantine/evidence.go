package quarantine

import (
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

// unclearedReplicas returns the replicas that crashed with a part and of whose crashes it is not cleared, sorted.
func (e *evidence) unclearedReplicas(part PartHash) []string {
	return sortedNames(e.uncleared[part])
}

// popularityOf returns how often a part was answered before the crashes that it is not cleared of, as popularity.class.
func (e *evidence) popularityOf(part PartHash) (popularity uint8) {
	for replica := range e.uncleared[part] {
		popularity = max(popularity, e.crashes[replica].parts[part].popularity)
	}
	return popularity
}

func sortedNames(names map[string]bool) []string { return slices.Sorted(maps.Keys(names)) }
