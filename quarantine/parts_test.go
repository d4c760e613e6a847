package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// promptOf returns the request with a number, with parts of its prompt.
func promptOf(number int, ids ...string) Suspect {
	return Suspect{Request: testFingerprint(number), Parts: HashParts("press", ids)}
}

// crashUnder lets a replica crash under requests of one daemon.
func crashUnder(t *testing.T, guard *Guard, replica string, suspects ...Suspect) {
	for _, suspect := range suspects {
		guard.ConnectionBroken(t.Context(), fleet.Incarnation{ID: replica}, "address", suspect)
	}
}

// testTrial begins a trial of a request at a replica.
func testTrial(t *testing.T, guard *Guard, suspect Suspect, replica string) *BegunTrial {
	return guard.BeginTrial(t.Context(), suspect, Destination{Replica: fleet.Incarnation{ID: replica}, Address: "address"}, nil)
}

// startPartGuards runs guards whose probes find every replica ended.
func startPartGuards(t *testing.T, daemons int) (*fakeStore, []*Guard) {
	store, guards := startGuards(t, daemons, crashedProber{})
	for _, guard := range guards {
		guard.Draw = func(time.Duration) time.Duration { return time.Millisecond }
	}
	return store, guards
}

const (
	reportTime = 2 * gatherDelay // until all daemons have a report
	afterHold  = holdTime + 2*updateDelay
)

// Guards against crashes that are charged to requests alone, although only a part of their prompts is the same.
func TestAPartOfDifferentRequestsIsQuarantinedAtAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 3)
		for number, guard := range guards {
			crashUnder(t, guard, fmt.Sprintf("r%d", number), promptOf(number, "shared", "bad"))
			time.Sleep(reportTime)
		}
		time.Sleep(afterHold)
		for _, guard := range guards {
			require.NotNil(t, guard.Check(promptOf(7, "shared", "bad")).Refused)
			require.NotNil(t, guard.Check(promptOf(8, "other", "bad", "more")).Refused, "whatever else the prompt holds")
			require.Zero(t, guard.Check(promptOf(9, "shared", "good")), "the part before it is not refused")
			require.Zero(t, guard.Check(testSuspect(10)))
		}
	})
}

// Guards against refusing a popular part because it is at each crash, if answers with it begin in between.
func TestAPartThatIsAnsweredIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 2)
		for number := range 9 {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "shared"))
			time.Sleep(reportTime)
			guards[1].Begun(HashParts("press", []string{"shared"}))
			time.Sleep(reportTime)
		}
		time.Sleep(afterHold)
		for _, guard := range guards {
			require.Zero(t, guard.Check(promptOf(100, "shared")))
		}
	})
}

// Guards against an answer that had begun before a part crashed replicas and clears it of later crashes.
func TestAnEarlierAnswerDoesNotClearLaterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for range 1000 {
			guards[0].Begun(HashParts("press", []string{"shared", "bad"}))
		}
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "bad"))
		}
		time.Sleep(afterHold)
		require.NotNil(t, guards[0].Check(promptOf(100, "bad")).Refused)
	})
}

// Guards against charging a crash to requests that the replica had begun to answer.
func TestRequestsWithoutPartsChargeNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for number := range 2 * CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), testSuspect(number), promptOf(100+number, "bad"))
		}
		time.Sleep(afterHold)
		require.NotNil(t, guards[0].Check(promptOf(200, "bad")).Refused)
		suspected, quarantined := guards[0].PartCounts()
		require.Equal(t, []int{1, 1}, []int{suspected, quarantined})
	})
}

// Requests with a part wait for evidence before they are refused, and go on at once if it is cleared.
func TestRequestsAreHeldUntilTheirPartIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		crashUnder(t, guards[0], "r0", promptOf(0, "shared"))
		require.Zero(t, guards[0].Check(promptOf(100, "shared")), "one crash shows nothing")
		crashUnder(t, guards[0], "r1", promptOf(1, "shared"))
		held := guards[0].Check(promptOf(100, "shared"))
		require.Nil(t, held.Refused)
		require.Equal(t, holdTime, time.Until(held.HoldUntil))
		heldAt := time.Now()
		time.AfterFunc(holdTime/2, func() { guards[0].Begun(HashParts("press", []string{"shared"})) })
		<-held.Changed
		require.Equal(t, holdTime/2, time.Since(heldAt), "cleared before other daemons are told")
		require.Zero(t, guards[0].Check(promptOf(100, "shared")))
	})
}

// Guards against a quarantine that ends for all requests at once, or never.
func TestOneDaemonTriesAQuarantinedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 3)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "shared", "bad"))
		}
		time.Sleep(trialDelays[0] + reportTime)
		started := 0
		for number, guard := range guards {
			require.True(t, guard.Check(promptOf(10+number, "shared", "bad")).TrialDue)
		}
		for number, guard := range guards {
			if testTrial(t, guard, promptOf(10+number, "shared", "bad"), "r-trial") != nil {
				started++
			}
			verdict := guard.Check(promptOf(20+number, "shared", "bad"))
			require.False(t, verdict.TrialDue)
			require.Nil(t, verdict.Refused, "held for the outcome of the trial")
			require.InDelta(t, holdTime.Seconds(), time.Until(verdict.HoldUntil).Seconds(), 0.1)
		}
		require.Equal(t, 1, started)

		crashUnder(t, guards[0], "r-trial", promptOf(10, "shared", "bad"))
		time.Sleep(afterHold)
		for _, guard := range guards {
			verdict := guard.Check(promptOf(20, "shared", "bad"))
			require.False(t, verdict.TrialDue)
			require.InDelta(t, trialDelays[1].Seconds(), verdict.Refused.RetryAfter.Seconds(), 1)
		}
		time.Sleep(trialDelays[1] + reportTime)
		require.NotNil(t, testTrial(t, guards[2], promptOf(30, "shared", "bad"), "r-trial-2"))
		guards[2].Begun(HashParts("press", []string{"shared", "bad"}))
		time.Sleep(reportTime)
		for _, guard := range guards {
			require.Zero(t, guard.Check(promptOf(40, "shared", "bad")), "the trial cleared the part")
		}
	})
}

// Guards against a trial by each daemon that has not heard yet of another's.
func TestDaemonsThatTryAPartAtOnceBeginOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &partModel{t: t, daemons: 3, propagation: 200 * time.Millisecond}
		m.startGuards()
		for number := range CrashThreshold {
			crashUnder(t, m.guards[0], fmt.Sprintf("r%d", number), promptOf(number, "bad"))
		}
		time.Sleep(trialDelays[0] + 2*m.propagation)
		began := 0
		for number, guard := range m.guards {
			require.True(t, guard.Check(promptOf(10+number, "bad")).TrialDue)
			if testTrial(t, guard, promptOf(10+number, "bad"), "r-trial") != nil {
				began++
			}
		}
		require.Equal(t, 1, began)
	})
}

func TestPartsOfDifferentServicesDiffer(t *testing.T) {
	require.NotEqual(t, HashParts("press", []string{"a"}), HashParts("prose", []string{"a"}))
	require.NotEqual(t, hashPart("press", "a"), hashPart("pres", "sa"))
}

// A part that still crashes replicas in its trials stays quarantined at one crash in quarantineTTL.
func TestAPartThatFailsItsTrialsStaysQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 2)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "bad"))
		}
		trials := 0
		for range 4 * 360 { // four hours
			time.Sleep(10 * time.Second)
			verdict := guards[1].Check(promptOf(100, "bad"))
			require.NotNil(t, verdict.Refused)
			if verdict.TrialDue && testTrial(t, guards[1], promptOf(100+trials, "bad"), fmt.Sprintf("t%d", trials)) != nil {
				crashUnder(t, guards[1], fmt.Sprintf("t%d", trials), promptOf(100+trials, "bad"))
				trials++
			}
		}
		require.LessOrEqual(t, trials, 2+4+1)
	})
}

// Without the key-value service there is no trial, since several daemons could begin one.
func TestNoTrialBeginsWithoutTheKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startPartGuards(t, 1)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "bad"))
		}
		time.Sleep(trialDelays[0] + reportTime)
		store.failNext(kv.ErrUnavailable)
		require.Nil(t, testTrial(t, guards[0], promptOf(10, "bad"), "r-trial"))
		require.NotNil(t, testTrial(t, guards[0], promptOf(10, "bad"), "r-trial"))
	})
}

// Guards against a quarantined whole request that frees itself, or takes parts that sound requests share with it.
func TestAQuarantinedRequestExplainsItsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(1, "shared", "document"), promptOf(10+number, "shared"))
		}
		time.Sleep(afterHold)
		require.NotNil(t, guards[0].Check(promptOf(1, "shared", "document")).Refused)
		require.Zero(t, guards[0].Check(promptOf(2, "shared", "document")))
		require.Zero(t, guards[0].Check(promptOf(3, "shared")))
	})
}

// Guards against a crash for another cause that moves the blame from a rare part to a popular one.
func TestARarePartExplainsCrashesBetterThanAPopularOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for range 200 {
			guards[0].Begun(HashParts("press", []string{"shared"}))
		}
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "shared", "bad"))
		}
		crashUnder(t, guards[0], "other", promptOf(50, "shared", "document"))
		time.Sleep(afterHold)
		require.NotNil(t, guards[0].Check(promptOf(100, "shared", "bad")).Refused)
		require.Zero(t, guards[0].Check(promptOf(101, "shared", "document")))
	})
}

// Guards against two parts that crash replicas and are at the same crashes, each of which frees the other in turn.
func TestTwoPartsThatCrashReplicasDoNotFreeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("r%d", number), promptOf(number, "shared", "bad"), promptOf(50+number, "shared", "worse"))
		}
		time.Sleep(afterHold)
		first, second := "bad", "worse"
		if guards[0].Check(promptOf(100, "shared", first)).Refused == nil {
			first, second = second, first
		}
		require.NotNil(t, guards[0].Check(promptOf(101, "shared", first)).Refused)
		for number := range CrashThreshold {
			crashUnder(t, guards[0], fmt.Sprintf("s%d", number), promptOf(200+number, "shared", second))
			time.Sleep(afterHold)
			require.NotNil(t, guards[0].Check(promptOf(102, "shared", first)).Refused, "freed by the other's crash")
		}
		require.NotNil(t, guards[0].Check(promptOf(103, "shared", second)).Refused)
		require.Zero(t, guards[0].Check(promptOf(104, "shared")))
	})
}

func TestQuarantinedPartsSurviveStoreRestoreAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startPartGuards(t, 2)
		for number := range CrashThreshold {
			crashUnder(t, guards[1], fmt.Sprintf("r%d", number), promptOf(number, "shared", "bad"), promptOf(50+number, "shared", "document"))
			time.Sleep(reportTime)
			guards[1].Begun(HashParts("press", []string{"shared"}))
			guards[0].Begun(HashParts("press", []string{"shared", "document"}))
		}
		time.Sleep(reportTime + afterHold)
		store.restoreEmpty()
		time.Sleep(2 * maxRetryDelay)
		records, _ := store.snapshot()
		_, restarted := startPartGuards(t, 1)
		for key, value := range records {
			restarted[0].Observe(kv.Event{Pair: kv.Pair{Key: key, Value: value, ModRevision: 1}})
		}
		time.Sleep(afterHold)
		for _, guard := range append(guards, restarted...) {
			require.NotNil(t, guard.Check(promptOf(100, "shared", "bad")).Refused)
			require.Zero(t, guard.Check(promptOf(101, "shared", "document")))
		}
	})
}

// Hundreds of parts, in all requests, must neither grow a report without bound nor keep requests out of it.
func TestPartsOfAPromptAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startPartGuards(t, 1)
		for range 60 {
			store.failNext(kv.ErrUnavailable)
		}
		var ids []string
		for number := range 500 {
			ids = append(ids, fmt.Sprint(number), fmt.Sprint(number))
		}
		require.Len(t, HashParts("press", ids), maxParts/2, "each part once")
		for number := range 2 * maxReportParts / maxParts {
			crashUnder(t, guards[0], "r0", promptOf(number, ids[:2*maxParts]...))
		}
		time.Sleep(2 * time.Minute)
		records, _ := store.snapshot()
		for _, value := range records {
			require.Less(t, len(value), 256<<10)
		}
		require.NotEmpty(t, records)
	})
}

// Guards against a daemon that decides anew for each of the many reports that it gets as it starts.
func TestReportsInARowAreDecidedOnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startPartGuards(t, 1)
		for number := range maxReports {
			var report Report
			report.addCrash(fmt.Sprint("r", number), testFingerprint(number), []reportedPart{{hashPart("press", "bad"), 0}})
			value, err := report.Encode()
			require.NoError(t, err)
			guards[0].Observe(kv.Event{Pair: kv.Pair{Key: fmt.Sprint("ends/", number), Value: value, ModRevision: int64(number + 1)}})
		}
		require.Empty(t, guards[0].suspectParts)
		verdict := guards[0].Check(promptOf(5000, "bad"))
		require.NotZero(t, verdict.HoldUntil, "decided at the first check")
		require.Len(t, guards[0].suspectParts, 1)
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/0"}, Deleted: true})
		time.Sleep(updateDelay + time.Millisecond)
		require.False(t, guards[0].partsOutdated, "requests on hold hear of changes")
	})
}

// Reports of earlier versions hold no parts.
func TestReportsWithoutPartsAreRead(t *testing.T) {
	report, err := ParseReport([]byte(`{"ends":[{"replica":"r","requests":["AAAAAAAAAAAAAAAAAAAAAA=="]}]}`))
	require.NoError(t, err)
	l := newLedger()
	l.put("a", report, 1, testStart)
	require.Empty(t, l.evidence.uncleared)
	for _, bad := range []string{`{"cleared":[{"part":"AAAA","replicas":["r"]}]}`, `{"trial":{"part":"AAAA","number":1}}`, `{"ends":[{"replica":"r","requests":[],"parts":["AAAA"]}]}`} {
		_, err := ParseReport([]byte(bad))
		require.Error(t, err, bad)
	}
}

// After any sequence of changes the evidence agrees with what the reports say.
func TestEvidenceMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, reports := newLedger(), map[string]Report{}
		drawPart := func(t *rapid.T) PartHash {
			return hashPart("press", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "part")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
				report := Report{}
				for number := range rapid.IntRange(0, 4).Draw(t, "ends") {
					report.addCrash(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "replica")), testFingerprint(number), []reportedPart{{drawPart(t), 0}, {drawPart(t), 1}})
				}
				for range rapid.IntRange(0, 2).Draw(t, "cleared") {
					report.addClearance(drawPart(t), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "cleared replica")))
				}
				reports[key] = report
				l.put(key, report, 1, testStart)
			},
			"remove": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
				delete(reports, key)
				l.remove(key)
			},
			"": func(t *rapid.T) { requireConsistent(t, l.evidence, reports) },
		})
	})
}

// requireConsistent checks that the evidence names the crashes of the reports, all parts at them, and no other uncleared ones.
func requireConsistent(t *rapid.T, e *evidence, reports map[string]Report) {
	named := map[string]bool{}
	for _, report := range reports {
		for _, replica := range report.replicas() {
			named[replica] = true
		}
		for _, crash := range report.Crashes {
			for index := range crash.Requests {
				for _, part := range crash.partsOf(index) {
					_, cleared := e.crashes[crash.Replica].cleared[part.hash]
					require.Equal(t, !cleared, e.uncleared[part.hash][crash.Replica], "a part at a crash is uncleared or cleared")
				}
			}
		}
		for _, clearance := range report.Cleared {
			for _, replica := range clearance.Replicas {
				require.False(t, e.uncleared[PartHash(clearance.Part)][replica], "a cleared part is not charged")
			}
		}
	}
	require.Len(t, e.crashes, len(named))
	for part, replicas := range e.uncleared {
		require.NotEmpty(t, replicas)
		for replica := range replicas {
			require.Contains(t, e.crashes[replica].parts, part)
		}
	}
}

// BenchmarkFullEvidence measures the decision on culprits in a full ledger, and the check before each dispatch.
func BenchmarkFullEvidence(b *testing.B) {
	l := newLedger()
	for number := range maxReports {
		var report Report
		for request := range 5 {
			parts := []reportedPart{{hashPart("press", "shared"), 9}, {hashPart("press", fmt.Sprint(number%40)), 3}}
			report.addCrash(fmt.Sprint("r", number), testFingerprint(5*number+request), parts)
		}
		l.put(fmt.Sprint(number), report, int64(number), testStart)
	}
	b.Run("quarantined parts", func(b *testing.B) {
		for b.Loop() {
			l.quarantinedParts()
		}
	})
}
