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

// named returns the fingerprint of a request that tests name by a number.
func named(number int) Fingerprint {
	return Identity{Path: fmt.Sprintf("/%d", number)}.Fingerprint()
}

// reportOf returns a report that replicas ended while they had requests.
func reportOf(ends map[string][]int, served ...int) Report {
	var report Report
	for replica, requests := range ends {
		for _, number := range requests {
			report.addEnd(replica, named(number))
		}
	}
	for _, number := range served {
		request := named(number)
		report.Served = append(report.Served, request[:])
	}
	return report
}

var start = time.Unix(1_000_000, 0)

func TestARequestIsWithheldOnceThreeReplicasHaveEndedUnderIt(t *testing.T) {
	l := newLedger()
	l.put("a", reportOf(map[string][]int{"r1": {1, 2}}), 10, start)
	l.put("b", reportOf(map[string][]int{"r1": {1}}), 11, start)
	l.put("c", reportOf(map[string][]int{"r2": {1, 3}}), 12, start)
	require.Equal(t, []string{"r1", "r2"}, l.against(named(1)).Replicas, "two daemons saw the same end")
	require.False(t, l.against(named(1)).Withheld())
	l.put("d", reportOf(map[string][]int{"r3": {1}}), 13, start.Add(time.Minute))
	found := l.against(named(1))
	require.True(t, found.Withheld())
	require.Equal(t, start.Add(withheldTime), found.Until)
	for _, beside := range []int{2, 3, 4} {
		require.False(t, l.against(named(beside)).Withheld())
	}
	l.remove("c")
	require.False(t, l.against(named(1)).Withheld(), "what is deleted counts no more")
}

func TestAWholeAnswerClearsWhatCameBefore(t *testing.T) {
	l := newLedger()
	l.put("a", reportOf(map[string][]int{"r1": {1}, "r2": {1}}), 10, start)
	l.put("b", reportOf(nil, 1), unpublished, start)
	require.Empty(t, l.against(named(1)).Replicas)
	l.put("b", reportOf(nil, 1), 11, start) // as the service has it
	l.put("c", reportOf(map[string][]int{"r3": {1}}), 12, start)
	require.Equal(t, []string{"r3"}, l.against(named(1)).Replicas)
	// A daemon that lists the records hears of them in any order.
	l.put("z", reportOf(map[string][]int{"r4": {1}}), 9, start)
	require.Equal(t, []string{"r3"}, l.against(named(1)).Replicas)
}

func TestOldReportsGoFirstAndThoseThatWithholdLast(t *testing.T) {
	l := newLedger()
	for number := range CrashThreshold {
		l.put(fmt.Sprintf("withholds-%d", number), reportOf(map[string][]int{fmt.Sprintf("r%d", number): {0}}), int64(number), start)
	}
	for number := range mostReports {
		l.put(fmt.Sprintf("other-%04d", number), reportOf(map[string][]int{"s": {number + 1}}), int64(100+number), start.Add(time.Second))
	}
	require.Empty(t, slices.DeleteFunc(l.outdated(start.Add(time.Minute)), func(key string) bool { return key[0] == 'o' }))
	require.Len(t, l.outdated(start.Add(time.Minute)), CrashThreshold, "as many as there are too many")
	later := l.outdated(start.Add(suspectTime + time.Minute))
	require.Len(t, later, mostReports, "what withholds nothing is forgotten earlier")
	require.Len(t, l.outdated(start.Add(withheldTime+time.Minute)), mostReports+CrashThreshold)
}

// Over any sequence of reports the ledger says what a plain count over all of them says.
func TestTheLedgerAgreesWithAPlainCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		all := map[string]Report{}
		orders := map[string]int64{}
		order := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key"))
				report := Report{}
				for range rapid.IntRange(0, 4).Draw(t, "ends") {
					report.addEnd(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "replica")), named(rapid.IntRange(0, 3).Draw(t, "request")))
				}
				if rapid.IntRange(0, 4).Draw(t, "served") == 0 {
					request := named(rapid.IntRange(0, 3).Draw(t, "served request"))
					report.Served = append(report.Served, request[:])
				}
				order++
				all[key], orders[key] = report, order
				l.put(key, report, order, start)
			},
			"remove": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key"))
				delete(all, key)
				l.remove(key)
			},
			"": func(t *rapid.T) {
				for number := range 4 {
					require.Equal(t, plainCount(all, orders, named(number)), len(l.against(named(number)).Replicas))
				}
			},
		})
	})
}

// plainCount counts the replicas that ended under a request since it was last served whole.
func plainCount(all map[string]Report, orders map[string]int64, request Fingerprint) int {
	cleared := int64(-1)
	for key, report := range all {
		if names(report.Served, request) {
			cleared = max(cleared, orders[key])
		}
	}
	replicas := map[string]bool{}
	for key, report := range all {
		for _, end := range report.Crashes {
			if orders[key] >= cleared && names(end.Requests, request) {
				replicas[end.Replica] = true
			}
		}
	}
	return len(replicas)
}

func TestAReportIsReadAsItWasWrittenAndABadOneIsNotUsed(t *testing.T) {
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

// BenchmarkLedger measures what a full ledger costs: the time of the question that is asked
// before each dispatch, and the memory.
func BenchmarkLedger(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := newLedger()
	for number := range mostReports {
		ends := map[string][]int{"r" + fmt.Sprint(number): {number, number + 1, number + 2, number + 3, 0}}
		l.put(fmt.Sprint(number), reportOf(ends), int64(number), start)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("not named", func(b *testing.B) {
		for b.Loop() {
			l.against(named(-1))
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes-full")
	})
	b.Run("named by all", func(b *testing.B) {
		for b.Loop() {
			l.against(named(0))
		}
	})
	b.Run("outdated", func(b *testing.B) {
		for b.Loop() {
			l.outdated(start)
		}
	})
}
