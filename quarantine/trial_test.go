package quarantine

import (
	"encoding/base64"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// startTrialGuards starts guards that have quarantined the part "bad" after some crashes, and whose first trial is due.
// Probes find replicas as the prober says.
func startTrialGuards(t *testing.T, daemons, crashes int) (*fakeProber, []*Guard) {
	prober := &fakeProber{results: map[string]Liveness{}}
	_, guards := startGuards(t, daemons, prober)
	for number := range crashes {
		replica := fmt.Sprintf("r%d", number)
		prober.setResult(replica, NotRunning, 0)
		crashUnder(t, guards[0], replica, promptOf(number, "bad"))
	}
	time.Sleep(trialDelays[0] + afterHold)
	return prober, guards
}

// requireTrialIn checks when the next trial of the part "bad" is due at all guards.
func requireTrialIn(t *testing.T, guards []*Guard, want time.Duration) {
	t.Helper()
	for _, guard := range guards {
		verdict := guard.Check(promptOf(1000, "bad"))
		require.NotNil(t, verdict.Refused)
		require.False(t, verdict.TrialDue)
		require.InDelta(t, want.Seconds(), verdict.Refused.RetryAfter.Seconds(), 1)
	}
}

// Guards against a trial that counts although its request was rejected, or never written, so that the next one comes a
// minute later.
func TestAWithdrawnTrialIsFollowedByAnotherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startTrialGuards(t, 2, CrashThreshold)
		for number := range 5 {
			trial := testTrial(t, guards[number%2], promptOf(10, "bad"), "r-full")
			require.NotNil(t, trial)
			require.True(t, guards[number%2].WithdrawTrial(trial))
			requireTrialIn(t, guards, trialDelays[0])
			time.Sleep(trialDelays[0] + reportTime)
			for _, guard := range guards {
				require.True(t, guard.Check(promptOf(11, "bad")).TrialDue)
			}
		}
	})
}

// Guards against a request whose trial was rejected and that is refused although other replicas could take it, and
// against two trials at once.
func TestARequestGoesOnWithItsWithdrawnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startTrialGuards(t, 1, CrashThreshold)
		suspect, to := promptOf(10, "bad"), Destination{Replica: fleet.Incarnation{ID: "r-next"}, Address: "address"}
		trial := testTrial(t, guards[0], suspect, "r-full")
		require.Nil(t, guards[0].BeginTrial(t.Context(), promptOf(11, "bad"), to, nil), "another request")
		require.True(t, guards[0].WithdrawTrial(trial))
		next := guards[0].BeginTrial(t.Context(), suspect, to, trial)
		require.NotNil(t, next)
		require.Nil(t, guards[0].BeginTrial(t.Context(), suspect, to, trial), "the trial has gone on already")
		require.False(t, guards[0].WithdrawTrial(trial.again()), "only the latest trial can be withdrawn")
	})
}

// again returns the trial as it was before it was withdrawn.
func (t *BegunTrial) again() *BegunTrial {
	copied := *t
	copied.withdrawn = false
	copied.records = append([]trialRecord{}, t.records...)
	copied.records[0].trial.Replicas = []trialReplica{{ID: "r-full"}}
	return &copied
}

// Guards against a part that stays quarantined because the daemon of its trial was killed, although the replica runs on, and
// against more trials of a part whose trial ended its replica unheard.
func TestATrialWithoutAReportedOutcomeIsResolvedByAnotherDaemon(t *testing.T) {
	for liveness, next := range map[Liveness]time.Duration{Running: 0, NotRunning: trialDelays[1] - outcomeDelay - 2*afterHold, Unknown: unresolvedRetryDelay} {
		synctest.Test(t, func(t *testing.T) {
			prober, guards := startTrialGuards(t, 2, CrashThreshold)
			prober.setResult("r-trial", liveness, 0)
			require.NotNil(t, testTrial(t, guards[0], promptOf(10, "bad"), "r-trial"))
			time.Sleep(afterHold)
			requireTrialIn(t, guards[1:], outcomeDelay-afterHold)
			time.Sleep(outcomeDelay)
			trial := testTrial(t, guards[1], promptOf(11, "bad"), "r-trial-2")
			require.Equal(t, liveness == Running, trial != nil, liveness)
			if trial == nil {
				time.Sleep(afterHold)
				requireTrialIn(t, guards[1:], next)
			}
		})
	}
}

// Guards against trials in quick succession whose outcomes no daemon reports.
func TestTrialsWithoutReportedOutcomesBecomeRarer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober, guards := startTrialGuards(t, 1, CrashThreshold)
		trials := 0
		for until := time.Now().Add(5 * time.Minute); time.Now().Before(until); time.Sleep(time.Second) {
			replica := fmt.Sprintf("r-trial-%d", trials)
			prober.setResult(replica, Running, 0)
			if testTrial(t, guards[0], promptOf(10, "bad"), replica) != nil {
				trials++
			}
		}
		require.LessOrEqual(t, trials, 10)
	})
}

// Guards against a part that is quarantined for a second time, after it was freed, and waits for as long as if its earlier
// trial had failed.
func TestASecondQuarantineBeginsWithAnEarlyTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober, guards := startTrialGuards(t, 2, CrashThreshold)
		require.NotNil(t, testTrial(t, guards[0], promptOf(10, "bad"), "r-trial"))
		guards[0].Begun(HashParts("press", []string{"bad"}))
		time.Sleep(time.Second)
		require.Zero(t, guards[1].Check(promptOf(11, "bad")))
		for number := range CrashThreshold {
			replica := fmt.Sprintf("r-later-%d", number)
			prober.setResult(replica, NotRunning, 0)
			crashUnder(t, guards[1], replica, promptOf(20+number, "bad"))
		}
		time.Sleep(afterHold + reportTime)
		requireTrialIn(t, guards, trialDelays[0])
		time.Sleep(trialDelays[0])
		require.NotNil(t, testTrial(t, guards[1], promptOf(30, "bad"), "r-again"))
	})
}

// Guards against trials that end more replicas than a part may, and against putting off the first trial of a part that was
// answered until an outage of many replicas.
func TestTrialsArePutOffOnceAPartHasEndedAsManyReplicasAsItMay(t *testing.T) {
	for name, test := range map[string]struct {
		crashes  int
		answered bool
		want     time.Duration
	}{
		"few crashes":                  {CrashThreshold, false, trialDelays[0]},
		"as many as allowed":           {maxAllowedCrashes, false, trialDelays[1]},
		"as many, answered until then": {maxAllowedCrashes, true, trialDelays[0]},
	} {
		synctest.Test(t, func(t *testing.T) {
			prober := &fakeProber{results: map[string]Liveness{}}
			_, guards := startGuards(t, 2, prober)
			if test.answered {
				guards[0].Begun(HashParts("press", []string{"bad"}))
			}
			for number := range test.crashes {
				replica := fmt.Sprintf("r%d", number)
				prober.setResult(replica, NotRunning, 0)
				crashUnder(t, guards[0], replica, promptOf(number, "bad"))
			}
			time.Sleep(afterHold + reportTime)
			requireTrialIn(t, guards, test.want)
			if test.crashes == maxAllowedCrashes && !test.answered {
				return
			}
			time.Sleep(trialDelays[0])
			require.NotNil(t, testTrial(t, guards[0], promptOf(10, "bad"), "r-trial"), name)
			prober.setResult("r-trial", NotRunning, 0)
			crashUnder(t, guards[0], "r-trial", promptOf(10, "bad"))
			time.Sleep(afterHold + reportTime)
			requireTrialIn(t, guards, map[bool]time.Duration{true: trialDelays[2], false: trialDelays[1]}[test.answered])
		})
	}
}

// crashAllUnder lets replicas crash at once while each has some requests.
func crashAllUnder(t *testing.T, guards []*Guard, prober *fakeProber, suspects ...Suspect) {
	for number := range CrashThreshold {
		replica := fmt.Sprintf("r%d", number)
		prober.setResult(replica, NotRunning, 0)
		crashUnder(t, guards[number%len(guards)], replica, suspects...)
	}
}

// Guards against requests that are alike and that all daemons refuse for an hour, although the replicas that crashed with
// them are back.
func TestAQuarantinedRequestIsFreedByItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{}}
		_, guards := startGuards(t, 3, prober)
		crashAllUnder(t, guards, prober, testSuspect(1))
		time.Sleep(trialDelays[0] + reportTime)
		begun := 0
		for _, guard := range guards {
			require.True(t, guard.Check(testSuspect(1)).TrialDue)
		}
		for _, guard := range guards {
			if testTrial(t, guard, testSuspect(1), "r-trial") != nil {
				begun++
			}
		}
		require.Equal(t, 1, begun)
		for _, guard := range guards {
			require.False(t, guard.Check(testSuspect(1)).HoldUntil.IsZero(), "held for the outcome of the trial")
		}
		guards[0].Served(testFingerprint(1))
		time.Sleep(reportTime)
		for _, guard := range guards {
			require.Zero(t, guard.Check(testSuspect(1)))
		}
	})
}

// Guards against a quarantined request whose trials end replica after replica.
func TestARequestThatFailsItsTrialsStaysQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{}}
		_, guards := startGuards(t, 2, prober)
		crashAllUnder(t, guards, prober, testSuspect(1))
		trials := 0
		for until := time.Now().Add(10 * time.Minute); time.Now().Before(until); time.Sleep(time.Second) {
			replica := fmt.Sprintf("t%d", trials)
			if testTrial(t, guards[trials%2], testSuspect(1), replica) == nil {
				require.NotZero(t, guards[0].Check(testSuspect(1)))
				continue
			}
			trials++
			prober.setResult(replica, NotRunning, 0)
			crashUnder(t, guards[0], replica, testSuspect(1))
		}
		require.Equal(t, maxAllowedCrashes-CrashThreshold, trials)
	})
}

// Guards against prompts that are alike and quarantined both as a whole and for a part, so that no trial frees either.
func TestARequestAndAPartOfItsPromptShareATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{}}
		_, guards := startGuards(t, 1, prober)
		alike := promptOf(1, "shared")
		for number := range 3 * CrashThreshold {
			replica := fmt.Sprintf("r%d", number)
			prober.setResult(replica, NotRunning, 0)
			suspect := promptOf(10+number, "shared")
			if number < CrashThreshold {
				suspect = alike
			}
			crashUnder(t, guards[0], replica, suspect)
		}
		time.Sleep(afterHold)
		subjects := guards[0].quarantinedIn(alike)
		require.Len(t, subjects, 2, "the request and the part")
		time.Sleep(trialDelays[1])
		require.NotNil(t, testTrial(t, guards[0], alike, "r-trial"))
		guards[0].Begun(alike.Parts)
		guards[0].Served(alike.Request)
		require.Zero(t, guards[0].Check(alike))
	})
}

// Guards against the trial of a request that expires before its quarantine does.
func TestTrialsOfRequestsAreKeptAsLongAsTheirQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{}}
		_, guards := startGuards(t, 1, prober)
		crashAllUnder(t, guards, prober, testSuspect(1))
		time.Sleep(trialDelays[0] + reportTime)
		require.NotNil(t, testTrial(t, guards[0], testSuspect(1), "r-trial"))
		prober.setResult("r-trial", NotRunning, 0)
		crashUnder(t, guards[0], "r-trial", testSuspect(1))
		time.Sleep(suspectTTL + 2*sweepInterval)
		require.NotEmpty(t, guards[0].ledger.trials)
		time.Sleep(quarantineTTL)
		require.Empty(t, guards[0].ledger.trials)
	})
}

// Guards against a request that is refused for a minute after a second outage, because its answered trial counts as one that
// ended its replica: links that were cut and refused connections charge the same processes again.
func TestAnAnsweredTrialDoesNotCountForTheNextQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{}}
		_, guards := startGuards(t, 2, prober)
		for range 3 {
			crashAllUnder(t, guards, prober, testSuspect(1))
			time.Sleep(afterHold + reportTime)
			for _, guard := range guards {
				refused := guard.Check(testSuspect(1)).Refused
				require.NotNil(t, refused)
				require.LessOrEqual(t, refused.RetryAfter, trialDelays[0])
			}
			time.Sleep(trialDelays[0])
			trial := testTrial(t, guards[0], testSuspect(1), "r1")
			require.NotNil(t, trial)
			guards[0].Served(testFingerprint(1))
			guards[0].EndTrial(trial)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against a subject that is refused for a minute because the link to the replica of its trial was cut, which looked
// like the end of that replica, and against more trials if the replica has ended.
func TestTheReplicaOfATrialIsProbedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, suspect := range map[string]Suspect{"part": promptOf(10, "bad"), "request": testSuspect(1)} {
			for _, runs := range []bool{true, false} {
				prober := &fakeProber{results: map[string]Liveness{}}
				_, guards := startGuards(t, 2, prober)
				crashAllUnder(t, guards, prober, suspect)
				time.Sleep(trialDelays[0] + afterHold + reportTime)
				to := Destination{Replica: fleet.Incarnation{ID: "r-trial", Born: 1}, Address: "address"}
				require.NotNil(t, guards[0].BeginTrial(t.Context(), suspect, to, nil), name)
				prober.setResult("r-trial", NotRunning, 0)
				guards[0].ConnectionBroken(t.Context(), to.Replica, to.Address, suspect)
				if runs {
					prober.setResult("r-trial", Running, 0)
				}
				probed := prober.calls()
				due := false
				for until := time.Now().Add(trialDelays[1] - 5*time.Second); time.Now().Before(until) && !due; time.Sleep(500 * time.Millisecond) {
					due = guards[1].Check(suspect).TrialDue
				}
				require.Equal(t, runs, due, name)
				require.LessOrEqual(t, prober.calls()-probed, 6, "probes become rarer")
				if runs {
					require.NotNil(t, guards[1].BeginTrial(t.Context(), suspect, to, nil), name)
				}
				time.Sleep(2 * quarantineTTL)
				for _, guard := range guards {
					require.Empty(t, guard.resolveAfter, name)
					require.Empty(t, guard.foundRunning, name)
				}
			}
		}
	})
}

// Guards against a daemon that fails on the record of a trial that an earlier version began, or that counts none of these.
func TestTrialsOfEarlierVersionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startTrialGuards(t, 1, CrashThreshold)
		part := hashPart("press", "bad")
		value, err := Report{Trial: &Trial{Part: part[:], Number: 1}}.Encode()
		require.NoError(t, err)
		require.Equal(t, `{"trial":{"part":"`+base64.StdEncoding.EncodeToString(part[:])+`","number":1}}`, string(value), "as earlier versions write it")
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: guards[0].trialKey(part.subject()), Value: value, ModRevision: 100}})
		requireTrialIn(t, guards, trialDelays[1])
		time.Sleep(2 * outcomeDelay)
		requireTrialIn(t, guards, trialDelays[1]-2*outcomeDelay)
	})
}
