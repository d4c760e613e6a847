package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
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

// unpublished is the revision of a report that the key-value service does not have yet. It is higher
// than the revision of any published report.
const unpublished = math.MaxInt64

// ledger holds the reports of all daemons. It does no I/O and takes the time as an argument.
type ledger struct {
	reports map[string]*ledgerEntry // by record key
	// suspects maps each request of a report, suspect or served, to the keys of the records that name it.
	suspects map[Fingerprint]map[string]bool
}

// ledgerEntry is a report with the metadata of its record.
type ledgerEntry struct {
	Report
	revision   int64     // modification revision, or unpublished
	observedAt time.Time // when this daemon first observed the record
}

func newLedger() *ledger {
	return &ledger{reports: map[string]*ledgerEntry{}, suspects: map[Fingerprint]map[string]bool{}}
}

// put adds a report or replaces the one under the same key, which keeps its observation time.
func (l *ledger) put(key string, report Report, revision int64, now time.Time) {
	observedAt := now
	if previous := l.reports[key]; previous != nil {
		observedAt = previous.observedAt
		l.remove(key)
	}
	l.reports[key] = &ledgerEntry{Report: report, revision: revision, observedAt: observedAt}
	for _, request := range report.fingerprints() {
		if l.suspects[request] == nil {
			l.suspects[request] = map[string]bool{}
		}
		l.suspects[request][key] = true
	}
}

func (l *ledger) remove(key string) {
	entry := l.reports[key]
	if entry == nil {
		return
	}
	delete(l.reports, key)
	for _, request := range entry.fingerprints() {
		delete(l.suspects[request], key)
		if len(l.suspects[request]) == 0 {
			delete(l.suspects, request)
		}
	}
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
	// Until is the end of the quarantine; zero if the request is not quarantined.
	Until time.Time
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
		history.Until = times[len(times)-CrashThreshold].Add(quarantineTTL)
	}
	return history
}

// quarantines reports whether any suspect request of the report is quarantined.
func (l *ledger) quarantines(report *ledgerEntry) bool {
	for _, crash := range report.Crashes {
		for _, fingerprint := range crash.Requests {
			if l.crashHistory(Fingerprint(fingerprint)).Blocked() {
				return true
			}
		}
	}
	return false
}

// expired returns the sorted keys of the records to delete: those past their TTL, and the oldest
// beyond maxReports, of which those that quarantine a request are deleted last.
func (l *ledger) expired(now time.Time) []string {
	type candidate struct {
		key         string
		quarantines bool
		observedAt  time.Time
		revision    int64
	}
	var keys []string
	var remaining []candidate
	for key, report := range l.reports {
		age, quarantines := now.Sub(report.observedAt), l.quarantines(report)
		if age > quarantineTTL || age > suspectTTL && !quarantines {
			keys = append(keys, key)
			continue
		}
		remaining = append(remaining, candidate{key, quarantines, report.observedAt, report.revision})
	}
	surplus := len(remaining) - maxReports
	if surplus > 0 {
		slices.SortFunc(remaining, func(a, b candidate) int {
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
