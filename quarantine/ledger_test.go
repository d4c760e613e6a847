package quarantine

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/testseed"
)

func TestMain(m *testing.M) { testseed.Run(m, 300, 60) }

// testFingerprint returns the fingerprint of the request with a number.
func testFingerprint(number int) Fingerprint {
	return Identity{Path: fmt.Sprintf("/%d", number)}.Fingerprint()
}

// testSuspect returns the request with a number, without parts of its prompt.
func testSuspect(number int) Suspect { return Suspect{Request: testFingerprint(number)} }

// reportOf returns a report of crashes, given as requests by replica, and of served requests.
func reportOf(crashes map[string][]int, served ...int) Report {
	var report Report
	for replica, requests := range crashes {
		for _, number := range requests {
			report.addCrash(replica, testFingerprint(number), nil)
		}
	}
	for _, number := range served {
		request := testFingerprint(number)
		report.Served = append(report.Served, request[:])
	}
	return report
}

var testStart = time.Unix(1_000_000, 0)

func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	l := newLedger()
	l.put("a", reportOf(map[string][]int{"r1": {1, 2}}), 10, testStart)
	l.put("b", reportOf(map[string][]int{"r1": {1}}), 11, testStart)
	l.put("c", reportOf(map[string][]int{"r2": {1, 3}}), 12, testStart)
	require.Equal(t, []string{"r1", "r2"}, l.crashHistory(testFingerprint(1)).Replicas, "two reports of the same crash count once")
	require.False(t, l.crashHistory(testFingerprint(1)).Blocked())
	l.put("d", reportOf(map[string][]int{"r3": {1}}), 13, testStart.Add(time.Minute))
	history := l.crashHistory(testFingerprint(1))
	require.True(t, history.Blocked())
	require.Equal(t, testStart.Add(time.Minute), history.Since)
	for _, other := range []int{2, 3, 4} {
		require.False(t, l.crashHistory(testFingerprint(other)).Blocked())
	}
	l.remove("c")
	require.False(t, l.crashHistory(testFingerprint(1)).Blocked(), "a removed report still counts")
}

func TestServedRequestClearsEarlierCrashes(t *testing.T) {
	l := newLedger()
	l.put("a", reportOf(map[string][]int{"r1": {1}, "r2": {1}}), 10, testStart)
	l.put("b", reportOf(nil, 1), unpublished, testStart)
	require.Empty(t, l.crashHistory(testFingerprint(1)).Replicas)
	l.put("b", reportOf(nil, 1), 11, testStart) // published
	l.put("c", reportOf(map[string][]int{"r3": {1}}), 12, testStart)
	require.Equal(t, []string{"r3"}, l.crashHistory(testFingerprint(1)).Replicas)
	// A daemon that lists the records receives them in any order.
	l.put("z", reportOf(map[string][]int{"r4": {1}}), 9, testStart)
	require.Equal(t, []string{"r3"}, l.crashHistory(testFingerprint(1)).Replicas)
}

func TestQuarantiningReportsExpireLast(t *testing.T) {
	l := newLedger()
	for number := range CrashThreshold {
		l.put(fmt.Sprintf("quarantines-%d", number), reportOf(map[string][]int{fmt.Sprintf("r%d", number): {0}}), int64(number), testStart)
	}
	for number := range maxReports {
		l.put(fmt.Sprintf("other-%04d", number), reportOf(map[string][]int{"s": {number + 1}}), int64(100+number), testStart.Add(time.Second))
	}
	require.Empty(t, slices.DeleteFunc(l.expired(testStart.Add(time.Minute)), func(key string) bool { return key[0] == 'o' }))
	require.Len(t, l.expired(testStart.Add(time.Minute)), CrashThreshold, "only the surplus expires")
	later := l.expired(testStart.Add(suspectTTL + time.Minute))
	require.Len(t, later, maxReports, "reports that quarantine nothing expire earlier")
	require.Len(t, l.expired(testStart.Add(quarantineTTL+time.Minute)), maxReports+CrashThreshold)
}

// After any sequence of changes the ledger agrees with a reference implementation.
func TestLedgerMatchesReferenceCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		reports := map[string]Report{}
		revisions := map[string]int64{}
		revision := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key"))
				report := Report{}
				for range rapid.IntRange(0, 4).Draw(t, "ends") {
					report.addCrash(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "replica")), testFingerprint(rapid.IntRange(0, 3).Draw(t, "request")), nil)
				}
				if rapid.IntRange(0, 4).Draw(t, "served") == 0 {
					request := testFingerprint(rapid.IntRange(0, 3).Draw(t, "served request"))
					report.Served = append(report.Served, request[:])
				}
				revision++
				reports[key], revisions[key] = report, revision
				l.put(key, report, revision, testStart)
			},
			"remove": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key"))
				delete(reports, key)
				l.remove(key)
			},
			"": func(t *rapid.T) {
				for number := range 4 {
					require.Equal(t, referenceCount(reports, revisions, testFingerprint(number)), len(l.crashHistory(testFingerprint(number)).Replicas))
				}
			},
		})
	})
}

// referenceCount counts the replicas that crashed while they had a request since it was last served
// completely.
func referenceCount(reports map[string]Report, revisions map[string]int64, request Fingerprint) int {
	clearedRevision := int64(-1)
	for key, report := range reports {
		if containsFingerprint(report.Served, request) {
			clearedRevision = max(clearedRevision, revisions[key])
		}
	}
	replicas := map[string]bool{}
	for key, report := range reports {
		for _, crash := range report.Crashes {
			if revisions[key] >= clearedRevision && containsFingerprint(crash.Requests, request) {
				replicas[crash.Replica] = true
			}
		}
	}
	return len(replicas)
}

func TestReportRoundTripAndInvalidInput(t *testing.T) {
	written := reportOf(map[string][]int{"r1": {1, 2}}, 3)
	data, err := written.Encode()
	require.NoError(t, err)
	read, err := ParseReport(data)
	require.NoError(t, err)
	require.Equal(t, written, read)
	for _, bad := range []string{"", "{", `{"served":["AAAA"]}`, `{"ends":[{"replica":"r","requests":["AAAA"]}]}`} {
		_, err := ParseReport([]byte(bad))
		require.Error(t, err, bad)
	}
}

// BenchmarkLedger measures a full ledger: its memory, the lookup before each dispatch, and expiry.
func BenchmarkLedger(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := newLedger()
	for number := range maxReports {
		crashes := map[string][]int{"r" + fmt.Sprint(number): {number, number + 1, number + 2, number + 3, 0}}
		l.put(fmt.Sprint(number), reportOf(crashes), int64(number), testStart)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("no reports", func(b *testing.B) {
		for b.Loop() {
			l.crashHistory(testFingerprint(-1))
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes-full")
	})
	b.Run("in all reports", func(b *testing.B) {
		for b.Loop() {
			l.crashHistory(testFingerprint(0))
		}
	})
	b.Run("expired", func(b *testing.B) {
		for b.Loop() {
			l.expired(testStart)
		}
	})
}
