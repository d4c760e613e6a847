package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

const (
	// CrashThreshold is the number of replica crashes at which a request is quarantined. A lower
	// value would quarantine harmless requests that ran beside crashing ones more often.
	CrashThreshold = 3
	// quarantineTTL is how long reports are kept that quarantine a request.
	quarantineTTL = time.Hour
	// suspectTTL is how long other reports are kept. It covers all retries of one request, which
	// come within its caller's deadlines.
	suspectTTL = 10 * time.Minute
	// maxReports bounds the reports kept, with room for one from every daemon of a large cluster.
	maxReports = 1024
)

// unpublished is the revision of a report that the key-value service does not have any more. It is higher
// than the revision of any published report.
const unpublished = math.MaxInt64

// firstPending is the revision of the first report of this daemon that the key-value service does not have yet. Each
// later one has the next revision. They are higher than those of all published reports.
const firstPending = unpublished - 1<<32

// ledger holds the reports of all daemons. It does no I/O and takes the time as an argument.
type ledger struct {
	reports map[string]*ledgerEntry // by record key
	// suspects maps each request of a report, suspect or served, to the keys of the records that name it.
	suspects map[Fingerprint]map[string]bool
	evidence *evidence                // against parts of prompts
	trials   map[subject]*ledgerEntry // the latest trial of each subject
}

// ledgerEntry is a report with the metadata of its record.
type ledgerEntry struct {
	Report
	revision   int64     // modification revision, unpublished, or that of a pending report
	observedAt time.Time // when this daemon first observed the record
}

func newLedger() *ledger {
	return &ledger{reports: map[string]*ledgerEntry{}, suspects: map[Fingerprint]map[string]bool{}, evidence: newEvidence(), trials: map[subject]*ledgerEntry{}}
}

// put adds a report or replaces the one under the same key, which keeps its observation time unless it is of another
// trial, or of one that was withdrawn.
func (l *ledger) put(key string, report Report, revision int64, now time.Time) {
	entry := &ledgerEntry{Report: report, revision: revision, observedAt: now}
	l.evidence.add(key, report, now)
	if previous := l.reports[key]; previous != nil {
		if report.Trial == nil || previous.Trial != nil && previous.Trial.Number == report.Trial.Number && previous.Trial.Withdrawn == report.Trial.Withdrawn {
			entry.observedAt = previous.observedAt
		}
		l.removeFingerprints(key, previous)
		named := report.replicas()
		l.evidence.remove(key, slices.DeleteFunc(previous.replicas(), func(replica string) bool { return slices.Contains(named, replica) }))
	}
	l.reports[key] = entry
	if report.Trial != nil {
		l.trials[report.Trial.subject()] = entry
	}
	for _, request := range report.fingerprints() {
		if l.suspects[request] == nil {
			l.suspects[request] = map[string]bool{}
		}
		l.suspects[request][key] = true
	}
}

// isOutdated reports whether a later version of a record is known, and published.
func (l *ledger) isOutdated(pair kv.Pair) bool {
	known := l.reports[pair.Key]
	return known != nil && known.revision < firstPending && pair.ModRevision < known.revision
}

func (l *ledger) remove(key string) {
	entry := l.reports[key]
	if entry == nil {
		return
	}
	delete(l.reports, key)
	l.removeFingerprints(key, entry)
	l.evidence.remove(key, entry.replicas())
	if entry.Trial != nil {
		delete(l.trials, entry.Trial.subject())
	}
}

func (l *ledger) removeFingerprints(key string, entry *ledgerEntry) {
	for _, request := range entry.fingerprints() {
		delete(l.suspects[request], key)
		if len(l.suspects[request]) == 0 {
			delete(l.suspects, request)
		}
	}
}

// candidates returns what may explain crashes and was at minCrashes of them or more.
func (l *ledger) candidates(minCrashes int) []candidate {
	return l.evidence.candidates(minCrashes, func(request Fingerprint) bool { return l.crashHistory(request).Blocked() })
}

// quarantinedParts returns the parts of prompts that are quarantined, with the crashes that each explains.
func (l *ledger) quarantinedParts() map[PartHash]culprit {
	return l.evidence.culprits(CrashThreshold, l.candidates(holdThreshold))
}

// fingerprints returns all requests in the report, suspect and served ones.
func (r Report) fingerprints() []Fingerprint {
	requests := make([]Fingerprint, 0, r.fingerprintCount())
	for _, fingerprint := range r.Served {
		requests = append(requests, Fingerprint(fingerprint))
	}
	for _, crash := range r.Crashes {
		for _, fingerprint := range crash.Requests {
			requests = append(requests, Fingerprint(fingerprint))
		}
	}
	return requests
}

func containsFingerprint(list [][]byte, request Fingerprint) bool {
	return slices.ContainsFunc(list, func(fingerprint []byte) bool { return Fingerprint(fingerprint) == request })
}

// CrashHistory describes the crashes counted against a request.
type CrashHistory struct {
	// Replicas are the incarnations that crashed while they had the request, sorted.
	Replicas []string
	// Since is when the quarantine began; zero if the request is not quarantined.
	Since time.Time
}

// Blocked reports whether the request is quarantined.
func (c CrashHistory) Blocked() bool { return len(c.Replicas) >= CrashThreshold }

// crashHistory returns the crashes counted against a request since it was last served completely.
func (l *ledger) crashHistory(request Fingerprint) CrashHistory {
	clearedRevision := int64(math.MinInt64)
	for key := range l.suspects[request] {
		if report := l.reports[key]; containsFingerprint(report.Served, request) {
			clearedRevision = max(clearedRevision, report.revision)
		}
	}
	observed := map[string]time.Time{} // by replica: the first observation of its crash
	for key := range l.suspects[request] {
		report := l.reports[key]
		if report.revision < clearedRevision {
			continue
		}
		for _, crash := range report.Crashes {
			if at, known := observed[crash.Replica]; containsFingerprint(crash.Requests, request) && (!known || report.observedAt.Before(at)) {
				observed[crash.Replica] = report.observedAt
			}
		}
	}
	history := CrashHistory{Replicas: slices.Sorted(maps.Keys(observed))}
	if history.Blocked() {
		times := slices.SortedFunc(maps.Values(observed), time.Time.Compare)
		history.Since = times[CrashThreshold-1]
	}
	return history
}

// quarantines reports whether a report quarantines a request, or a part that one of the culprits is, and since when.
func (l *ledger) quarantines(report *ledgerEntry, culprits map[PartHash]culprit) (quarantines bool, since time.Time) {
	since = report.observedAt
	named := report.replicas()
	for part, cause := range culprits {
		isTrial := report.Trial != nil && report.Trial.subject() == part.subject()
		if isTrial || slices.ContainsFunc(named, func(replica string) bool { return cause.replicas[replica] }) {
			quarantines = true
			if cause.latest.After(since) {
				since = cause.latest
			}
		}
	}
	if report.Trial != nil && len(report.Trial.Part) == 0 {
		return l.crashHistory(Fingerprint(report.Trial.Request)).Blocked(), since
	}
	for _, crash := range report.Crashes {
		for _, fingerprint := range crash.Requests {
			if l.crashHistory(Fingerprint(fingerprint)).Blocked() {
				return true, since
			}
		}
	}
	return quarantines, since
}

// retainedReport is a report that has not expired.
type retainedReport struct {
	key         string
	quarantines bool
	observedAt  time.Time
}

// expired returns the sorted keys of the records to delete: those past their TTL, and the oldest
// beyond maxReports, of which those that quarantine a request or a part of prompts are deleted last.
func (l *ledger) expired(now time.Time) []string {
	var keys []string
	var remaining []retainedReport
	culprits := l.quarantinedParts()
	for key, report := range l.reports {
		quarantines, since := l.quarantines(report, culprits)
		if age := now.Sub(since); age > quarantineTTL || age > suspectTTL && !quarantines {
			keys = append(keys, key)
			continue
		}
		remaining = append(remaining, retainedReport{key, quarantines, report.observedAt})
	}
	surplus := len(remaining) - maxReports
	if surplus > 0 {
		slices.SortFunc(remaining, func(a, b retainedReport) int {
			switch {
			case a.quarantines != b.quarantines && b.quarantines:
				return -1
			case a.quarantines != b.quarantines:
				return 1
			}
			return a.observedAt.Compare(b.observedAt)
		})
		for _, excess := range remaining[:surplus] {
			keys = append(keys, excess.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// quarantined counts the quarantined requests.
func (l *ledger) quarantined() (count int) {
	for request := range l.suspects {
		if l.crashHistory(request).Blocked() {
			count++
		}
	}
	return count
}
