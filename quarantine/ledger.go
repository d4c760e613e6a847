package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// CrashThreshold is how many replicas may end while they have a request before it is
	// withheld. By the users' rules a request that crashed three may reach replicas three
	// times more at most, by daemons that could know. Two would save one replica a request and
	// withheld no other in any run; where replicas end one after the other for another cause,
	// what ran beside meets two ends more easily (docs/design/quarantine.md).
	CrashThreshold = 3
	// withheldTime is how long the ends under a request that is withheld are remembered. It
	// then costs at most three replicas an hour.
	withheldTime = time.Hour
	// suspectTime is how long other ends are remembered. The attempts of one request come
	// within its caller's deadlines, some tens of seconds; what ends replicas more rarely
	// than this is not told from what merely ran beside.
	suspectTime = 10 * time.Minute
	// mostReports bounds the reports that are kept: 300 daemons that lose replicas together
	// make 300, and what is withheld goes last.
	mostReports = 1024
)

// unpublished is the order of a report that the key-value service does not have yet: it is
// newer than all it has.
const unpublished = math.MaxInt64

// ledger is the pure state of a quarantine: the reports of all daemons. It reads no clock.
type ledger struct {
	reports map[string]*kept // by record key
	// named lists the records that name a request.
	named map[Fingerprint]map[string]bool
}

// kept is a report with where it stands.
type kept struct {
	Report
	order int64     // revision of its record
	since time.Time // when it was first seen here
}

func newLedger() *ledger {
	return &ledger{reports: map[string]*kept{}, named: map[Fingerprint]map[string]bool{}}
}

// put takes in a report, or what it has become.
func (l *ledger) put(key string, report Report, order int64, now time.Time) {
	since := now
	if known := l.reports[key]; known != nil {
		since = known.since
		l.remove(key)
	}
	l.reports[key] = &kept{Report: report, order: order, since: since}
	for _, request := range report.fingerprints() {
		if l.named[request] == nil {
			l.named[request] = map[string]bool{}
		}
		l.named[request][key] = true
	}
}

// remove forgets a report.
func (l *ledger) remove(key string) {
	known := l.reports[key]
	if known == nil {
		return
	}
	delete(l.reports, key)
	for _, request := range known.fingerprints() {
		delete(l.named[request], key)
		if len(l.named[request]) == 0 {
			delete(l.named, request)
		}
	}
}

// fingerprints lists the requests that a report names.
func (r Report) fingerprints() []Fingerprint {
	listed := make([]Fingerprint, 0, r.size())
	for _, one := range r.Served {
		listed = append(listed, Fingerprint(one))
	}
	for _, end := range r.Crashes {
		for _, one := range end.Requests {
			listed = append(listed, Fingerprint(one))
		}
	}
	return listed
}

// names tells whether a list of fingerprints holds one.
func names(list [][]byte, request Fingerprint) bool {
	return slices.ContainsFunc(list, func(one []byte) bool { return Fingerprint(one) == request })
}

// Case is what is known against a request.
type CrashHistory struct {
	Replicas []string // that ended while they had it, in order of their ids
	// Until is when so many of these are forgotten that the request is no longer withheld;
	// the zero time if it is not.
	Until time.Time
}

// Withheld tells whether the request must not go to a replica.
func (c CrashHistory) Withheld() bool { return len(c.Replicas) >= CrashThreshold }

// against returns what is known against a request.
func (l *ledger) against(request Fingerprint) CrashHistory {
	cleared := int64(math.MinInt64)
	for key := range l.named[request] {
		if report := l.reports[key]; names(report.Served, request) {
			cleared = max(cleared, report.order)
		}
	}
	seen := map[string]time.Time{} // when each end was first heard of
	for key := range l.named[request] {
		report := l.reports[key]
		if report.order < cleared {
			continue
		}
		for _, end := range report.Crashes {
			if at, known := seen[end.Replica]; names(end.Requests, request) && (!known || report.since.Before(at)) {
				seen[end.Replica] = report.since
			}
		}
	}
	found := CrashHistory{Replicas: slices.Sorted(maps.Keys(seen))}
	if found.Withheld() {
		times := slices.SortedFunc(maps.Values(seen), time.Time.Compare)
		found.Until = times[len(times)-CrashThreshold].Add(withheldTime)
	}
	return found
}

// matters tells whether a report names a request that is withheld.
func (l *ledger) matters(report *kept) bool {
	for _, end := range report.Crashes {
		for _, one := range end.Requests {
			if l.against(Fingerprint(one)).Withheld() {
				return true
			}
		}
	}
	return false
}

// outdated lists the records that need not be kept any longer: those whose time is over, and
// beyond the most that are kept the oldest, first those that withhold nothing.
func (l *ledger) outdated(now time.Time) []string {
	type candidate struct {
		key     string
		matters bool
		since   time.Time
		order   int64
	}
	var over []string
	var rest []candidate
	for key, report := range l.reports {
		age, matters := now.Sub(report.since), l.matters(report)
		if age > withheldTime || age > suspectTime && !matters {
			over = append(over, key)
			continue
		}
		rest = append(rest, candidate{key, matters, report.since, report.order})
	}
	surplus := len(rest) - mostReports
	if surplus > 0 {
		slices.SortFunc(rest, func(a, b candidate) int {
			switch {
			case a.matters != b.matters && b.matters:
				return -1
			case a.matters != b.matters:
				return 1
			}
			return a.since.Compare(b.since)
		})
		for _, one := range rest[:surplus] {
			over = append(over, one.key)
		}
	}
	slices.Sort(over)
	return over
}

// withheld counts the requests that are withheld.
func (l *ledger) withheld() (count int) {
	for request := range l.named {
		if l.against(request).Withheld() {
			count++
		}
	}
	return count
}
