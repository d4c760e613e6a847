package quarantine

import (
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
)

const (
	// holdThreshold is the number of crashes at which requests with a part wait for holdTime, as they do once it is
	// quarantined. Answers that are about to begin elsewhere clear a part that was at the crashes by chance, and reports
	// of further crashes quarantine it.
	holdThreshold = CrashThreshold - 1
	holdTime      = 400 * time.Millisecond
	// announceDelay, times the number of daemons and up to maxAnnounceDelay, spreads the clearances of one part, so that
	// most daemons hear of another's before they write their own.
	announceDelay    = 5 * time.Millisecond
	maxAnnounceDelay = time.Second
	// updateDelay is how long a change of the ledger may wait for others before requests on hold hear of it.
	updateDelay = 10 * time.Millisecond
)

// Verdict says whether a request may be dispatched. The zero value means that it may.
type Verdict struct {
	// Refused is why the request must not be dispatched; nil if it may be, now or once it was held.
	Refused *failure.Error
	// TrialDue means that the refused request may be dispatched after all if BeginTrial allows it right before it is written.
	TrialDue bool
	// HoldUntil is when to check the request again, at the latest; zero if it need not wait. Changed is closed earlier
	// if the quarantine has changed.
	HoldUntil time.Time
	Changed   <-chan struct{}
}

// suspectPart is a part of prompts that explains several crashes.
type suspectPart struct {
	since         time.Time // when this daemon came to know
	quarantinedAt time.Time // zero if requests with the part are held at most
	replicas      int       // whose crashes it explains
}

func (p *suspectPart) isQuarantined() bool { return p != nil && !p.quarantinedAt.IsZero() }

// Check decides whether a request may be dispatched. It must be asked before each dispatch.
func (g *Guard) Check(suspect Suspect) Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateIfOutdated()
	var holdUntil, trialAt time.Time
	for _, part := range suspect.Parts {
		if state := g.suspectParts[part]; state != nil {
			holdUntil = latest(holdUntil, latest(state.since, state.quarantinedAt).Add(holdTime))
		}
	}
	blocked := g.quarantinedIn(suspect)
	for _, of := range blocked {
		status := g.trialStatus(of)
		trialAt, holdUntil = latest(trialAt, status.due), latest(holdUntil, status.heldUntil)
		if status.ended != nil {
			g.recheckCrash(of.subject, status.ended)
		}
	}
	now := g.Now()
	switch {
	case now.Before(holdUntil):
		return Verdict{HoldUntil: holdUntil, Changed: g.partsChanged}
	case len(blocked) == 0:
		return Verdict{}
	}
	verdict := Verdict{TrialDue: mayShareTrial(blocked) && !now.Before(trialAt)}
	if blocked[0].part == nil {
		g.Metrics.refused.Inc()
		verdict.Refused = g.requestFailure(suspect.Request, trialAt)
	} else {
		g.Metrics.partsRefused.Inc()
		verdict.Refused = g.partFailure(blocked, trialAt)
	}
	return verdict
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// partFailure returns the error for a request with quarantined parts. The caller holds the mutex.
func (g *Guard) partFailure(blocked []quarantined, trialAt time.Time) *failure.Error {
	var parts []PartHash
	for _, of := range blocked {
		parts = append(parts, PartHash(of.part))
	}
	return failure.New(failure.Quarantined, "retry this request only after the given time, or send the prompt without the part; requests without it are not affected",
		"replicas crashed as they began to answer prompts with part %s: %s", joinParts(parts), strings.Join(g.ledger.evidence.unclearedReplicas(parts[0]), ", ")).
		WithRetryAfter(max(time.Second, trialAt.Sub(g.Now())))
}

// joinParts returns the hashes of parts as text.
func joinParts(parts []PartHash) string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, part.String())
	}
	return strings.Join(texts, ",")
}

// Begun records that a replica began to answer a prompt, so that its parts did not cause the crashes known by now. To
// save writes to the key-value service, a part is cleared only if one more crash could quarantine it.
func (g *Guard) Begun(parts []PartHash) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.popularity.add(parts, g.Now())
	changed := false
	for _, part := range parts {
		replicas := g.ledger.evidence.unclearedReplicas(part)
		if len(replicas) < holdThreshold {
			continue
		}
		for _, replica := range replicas {
			g.ledger.evidence.clear(part, replica, false)
		}
		g.unannounced[part] = append(g.unannounced[part], replicas...)
		g.Log.WithFields(logrus.Fields{logging.PartHash: part.String(), logging.Crashes: len(replicas)}).Info(logging.MessagePartCleared)
		changed = true
	}
	if changed {
		g.updateSuspectParts()
		time.AfterFunc(g.drawAnnounceDelay(), g.announceClearances)
	}
}

func (g *Guard) drawAnnounceDelay() time.Duration {
	daemons := 1
	if g.DaemonCount != nil {
		daemons = max(1, g.DaemonCount())
	}
	bound := min(maxAnnounceDelay, time.Duration(daemons)*announceDelay)
	if g.Draw != nil {
		return g.Draw(bound)
	}
	return rand.N(bound)
}

// announceClearances adds the clearances that no report contains yet to the pending report.
func (g *Guard) announceClearances() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	announced := false
	for part, replicas := range g.unannounced {
		for _, replica := range replicas {
			crash := g.ledger.evidence.crashes[replica]
			if crash == nil || crash.cleared[part] || !g.hasRoom() {
				continue
			}
			g.pending.addClearance(part, replica)
			announced = true
		}
	}
	clear(g.unannounced)
	if announced {
		g.queuePending()
	}
}

// withPopularity adds to parts how often answers with them began here lately. The caller holds the mutex.
func (g *Guard) withPopularity(parts []PartHash) []reportedPart {
	reported := make([]reportedPart, 0, len(parts))
	for _, part := range parts {
		reported = append(reported, reportedPart{part, g.popularity.class(part, g.Now())})
	}
	return reported
}

// scheduleUpdate makes suspectParts be determined again soon, or at the next check. A daemon that starts gets many reports
// in a row. The caller holds the mutex.
func (g *Guard) scheduleUpdate() {
	if g.partsOutdated {
		return
	}
	g.partsOutdated = true
	time.AfterFunc(updateDelay, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.updateIfOutdated()
	})
}

// updateIfOutdated determines suspectParts again if the ledger has changed. The caller holds the mutex.
func (g *Guard) updateIfOutdated() {
	if g.partsOutdated {
		g.updateSuspectParts()
	}
}

// updateSuspectParts determines which parts are held and quarantined after a change of the ledger. The caller holds the
// mutex.
func (g *Guard) updateSuspectParts() {
	g.partsOutdated = false
	candidates := g.ledger.candidates(holdThreshold)
	held, quarantined := g.ledger.evidence.culprits(holdThreshold, candidates), g.ledger.evidence.culprits(CrashThreshold, candidates)
	changed := false
	for part := range held {
		changed = g.updateSuspectPart(part, held[part], false) || changed
	}
	for part := range quarantined {
		changed = g.updateSuspectPart(part, quarantined[part], true) || changed
	}
	maps.DeleteFunc(g.suspectParts, func(part PartHash, state *suspectPart) bool {
		if _, isQuarantined := quarantined[part]; isQuarantined || state.isQuarantined() && g.ledger.evidence.remainsSuspect(part, quarantined) {
			return false
		}
		if _, isHeld := held[part]; isHeld && !state.isQuarantined() {
			return false
		}
		changed = true
		g.logPart(part, state, "may go on")
		return true
	})
	if changed {
		g.signalPartsChanged()
	}
}

// signalPartsChanged wakes requests on hold. The caller holds the mutex.
func (g *Guard) signalPartsChanged() {
	close(g.partsChanged)
	g.partsChanged = make(chan struct{})
}

// updateSuspectPart updates a part that explains crashes, and reports whether that changes what requests with it may do.
// The caller holds the mutex.
func (g *Guard) updateSuspectPart(part PartHash, cause culprit, quarantine bool) (changed bool) {
	state := g.suspectParts[part]
	if state == nil {
		state, changed = &suspectPart{since: g.Now()}, true
		g.suspectParts[part] = state
	}
	if quarantine && !state.isQuarantined() {
		state.quarantinedAt, changed = g.Now(), true
	}
	if more := len(cause.replicas) > state.replicas; more || changed {
		state.replicas = len(cause.replicas)
		g.logPart(part, state, map[bool]string{true: "withheld", false: "held"}[state.isQuarantined()])
	}
	return changed
}

func (g *Guard) logPart(part PartHash, state *suspectPart, outcome string) {
	entry := g.Log.WithFields(logrus.Fields{
		logging.PartHash: part.String(), logging.Crashes: state.replicas, logging.Outcome: outcome, logging.AgeMs: g.Now().Sub(state.since).Milliseconds(),
	})
	if state.isQuarantined() {
		if of, ok := g.quarantinedPart(part); ok {
			entry = entry.WithField(logging.TrialInMs, g.trialStatus(of).due.Sub(g.Now()).Milliseconds())
		}
		if trial := g.ledger.trials[part.subject()]; trial != nil {
			entry = entry.WithField(logging.Trials, trial.Trial.Number)
		}
		entry.Warn(logging.MessagePartQuarantined)
	} else {
		entry.Debug(logging.MessagePartQuarantined)
	}
}

// PartCounts returns the number of parts that are suspected of a crash, and of quarantined ones.
func (g *Guard) PartCounts() (suspected, quarantined int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateIfOutdated()
	for _, state := range g.suspectParts {
		if state.isQuarantined() {
			quarantined++
		}
	}
	return len(g.ledger.evidence.uncleared), quarantined
}
