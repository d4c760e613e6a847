package quarantine

import (
	"slices"
	"time"
)

// trialDelays are the times to the next trial of a subject, by the number of its trials that ended their replicas: from its
// quarantine, or from its latest trial. The last one repeats; it is shorter than quarantineTTL, so that a subject that
// still crashes replicas stays quarantined.
var trialDelays = []time.Duration{time.Second, time.Minute, 10 * time.Minute, quarantineTTL - 5*time.Minute}

const (
	// outcomeDelay is how long the outcome of a trial is awaited before another one may begin. It doubles with each trial in
	// a row without an outcome, up to the delay after a trial that ended its replica.
	outcomeDelay = 2 * time.Second
	// maxAllowedCrashes is how many replicas a subject may end. From then on, trials are put off by one delay.
	maxAllowedCrashes = 5
)

// subject names what is quarantined: a part of prompts or a whole request. It is the hash as text, of a different length
// for each.
type subject string

func (h PartHash) subject() subject { return subject(h.String()) }

func (f Fingerprint) subject() subject { return subject(f.String()) }

// subject returns what the trial is of.
func (t *Trial) subject() subject {
	if len(t.Part) == 0 {
		return Fingerprint(t.Request).subject()
	}
	return PartHash(t.Part).subject()
}

// quarantined is a subject with the reason for its quarantine.
type quarantined struct {
	subject subject
	part    []byte // hash of the part; nil for a whole request
	at      time.Time
	crashes map[string]bool // the replicas that crashed with it, and of whose crashes nothing has cleared it since
	// answered means that the subject may have been answered until the crashes.
	answered bool
}

// trialStatus tells when the next trial of a subject is due.
type trialStatus struct {
	due time.Time
	// heldUntil is until when requests wait for the outcome of a trial that has just begun.
	heldUntil time.Time
	// unresolved is the latest trial if its outcome is unknown; nil otherwise.
	unresolved *Trial
	// ended is the latest trial if its replica is reported to have crashed; nil otherwise.
	ended *Trial
}

// trialStatus returns when the next trial of a subject is due. The caller holds the mutex.
func (g *Guard) trialStatus(of quarantined) trialStatus {
	if at, inProgress := g.trialsInProgress[of.subject]; inProgress {
		return trialStatus{due: at.Add(outcomeDelay), heldUntil: at.Add(holdTime)}
	}
	entry := g.ledger.trials[of.subject]
	if entry == nil || !entry.Trial.concerns(of.crashes) {
		return trialStatus{due: of.at.Add(of.delayAfter(0))}
	}
	since := latest(of.at, entry.observedAt)
	if entry.Trial.Withdrawn {
		return trialStatus{due: since.Add(trialDelays[0])}
	}
	ended, unreported := entry.Trial.outcomes(of.crashes)
	if unreported == 0 && g.foundRunning[of.subject] == entry.Trial.Number {
		unreported = 1
	}
	if unreported == 0 {
		return trialStatus{due: since.Add(of.delayAfter(ended)), ended: entry.Trial}
	}
	status := trialStatus{due: since.Add(min(outcomeDelay<<(unreported-1), trialDelays[1])), heldUntil: entry.observedAt.Add(holdTime), unresolved: entry.Trial}
	status.due = latest(status.due, g.resolveAfter[of.subject])
	return status
}

// delayAfter returns the time to the next trial, by the trials that ended their replicas. The first trial is not put off
// for a subject that was answered shortly before the crashes: an outage of many replicas is the likelier cause.
func (q quarantined) delayAfter(ended int) time.Duration {
	if len(q.crashes) >= maxAllowedCrashes && (ended > 0 || !q.answered) {
		ended++
	}
	return trialDelays[min(max(ended, 0), len(trialDelays)-1)]
}

// quarantinedPart returns a part with the reason for its quarantine; ok is false if it is not quarantined. The caller holds
// the mutex.
func (g *Guard) quarantinedPart(part PartHash) (found quarantined, ok bool) {
	state := g.suspectParts[part]
	if !state.isQuarantined() {
		return quarantined{}, false
	}
	return quarantined{part.subject(), part[:], state.quarantinedAt, g.ledger.evidence.uncleared[part], g.ledger.evidence.popularityOf(part) > 0}, true
}

// quarantinedRequest is quarantinedPart for a whole request. How often a request was answered is not known.
func (g *Guard) quarantinedRequest(request Fingerprint) (found quarantined, ok bool) {
	history := g.ledger.crashHistory(request)
	if !history.Blocked() {
		return quarantined{}, false
	}
	crashes := map[string]bool{}
	for _, replica := range history.Replicas {
		crashes[replica] = true
	}
	return quarantined{subject: request.subject(), at: history.Since, crashes: crashes, answered: true}, true
}

// quarantinedIn returns what of a request is quarantined: the request itself, and parts of its prompt. The caller holds
// the mutex.
func (g *Guard) quarantinedIn(suspect Suspect) (found []quarantined) {
	if whole, ok := g.quarantinedRequest(suspect.Request); ok {
		found = append(found, whole)
	}
	for _, part := range suspect.Parts {
		if subject, ok := g.quarantinedPart(part); ok {
			found = append(found, subject)
		}
	}
	return found
}

// mayShareTrial reports whether one trial may be of all these subjects. Two parts may not, since the crash of one would
// be charged to the other too.
func mayShareTrial(subjects []quarantined) bool {
	parts := 0
	for _, subject := range subjects {
		if subject.part != nil {
			parts++
		}
	}
	return parts <= 1
}

// concerns reports whether a trial was of a quarantine for some of these crashes, and not of one that has ended. A trial
// of an earlier version does not tell.
func (t *Trial) concerns(crashes map[string]bool) bool {
	return len(t.Crashes) == 0 || slices.ContainsFunc(t.Crashes, func(replica string) bool { return crashes[replica] })
}

// outcomes returns how many trials ended their replicas, and how many of the latest in a row have no reported outcome. Of
// trials of an earlier version only the number is known, and all count as if they had ended their replicas.
func (t *Trial) outcomes(crashes map[string]bool) (ended, unreported int) {
	if len(t.Replicas) == 0 {
		return t.Number, 0
	}
	for _, replica := range t.Replicas {
		if crashes[replica.Incarnation().String()] {
			ended, unreported = ended+1, 0
		} else {
			unreported++
		}
	}
	return ended, unreported
}
