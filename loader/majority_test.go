package loader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
)

// Guards against two leaders that both give orders, each with half of the daemons, while one of them is cut off from the
// key-value service, and against one that counts daemons that it no longer reaches.
func TestALeaderWithoutTheServiceNeedsMostDaemons(t *testing.T) {
	for _, fencesChecked := range []bool{true, false} {
		for _, test := range []struct {
			attached, highest int
			may               bool
		}{{1, 1, true}, {1, 2, false}, {2, 2, true}, {3, 6, false}, {4, 6, true}, {2, 5, false}, {3, 5, true}} {
			now := time.Now()
			leader := &Leader{attachedStreams: test.highest, maxAttachedStreams: test.highest, Limits: Limits{TermGap: 3 * time.Second, FencesChecked: fencesChecked}, daemons: map[string]*daemonState{}, now: func() time.Time { return now }}
			leader.proof.beginTerm()
			unreachable := leaseState{1, election.TermStoreUnreachable, now.Add(-time.Second)}
			require.False(t, leader.mayGiveOrders(unreachable), "no probe was sent")
			leader.proof.send(now, time.Second)
			var electorate []string
			for number := range test.highest {
				electorate = append(electorate, fmt.Sprint(number))
			}
			for number := range test.attached {
				leader.proof.acknowledge(fmt.Sprint(number), leader.proof.newest())
				leader.daemons[fmt.Sprint(number)] = &daemonState{processStartedAt: now.Add(-time.Hour)}
			}
			if !fencesChecked {
				require.False(t, leader.mayGiveOrders(unreachable), "no electorate is recorded")
				leader.electorate.begin(electorate)
				require.False(t, leader.mayGiveOrders(unreachable), "the electorate may not be recorded")
				leader.electorate.end(electorate, true, true)
			}
			require.Equal(t, test.may, leader.mayGiveOrders(unreachable), "%d of %d, fences checked: %t", test.attached, test.highest, fencesChecked)
			require.True(t, leader.mayGiveOrders(leaseState{1, election.TermValid, now}))
			now = now.Add(leader.Limits.proofAge() + 1)
			require.False(t, leader.mayGiveOrders(unreachable), "the probe is too old, although all are attached")
		}
	}
}

// Guards against a leader that goes on without its lease for longer than a successor waits that few daemons follow.
func TestProbesCountOnlyForAWhileWithoutALease(t *testing.T) {
	now := time.Now()
	leader := &Leader{Limits: Limits{TermGap: 3 * time.Second}, daemons: map[string]*daemonState{"a": {processStartedAt: now.Add(-time.Hour)}}, now: func() time.Time { return now }}
	leader.proof.beginTerm()
	leader.proof.send(now, time.Second)
	leader.proof.acknowledge("a", 1)
	leader.electorate.begin([]string{"a"})
	leader.electorate.end([]string{"a"}, true, true)
	unleased := leader.Limits.unleasedTime()
	require.True(t, leader.mayGiveOrders(leaseState{1, election.TermStoreUnreachable, now.Add(-unleased)}))
	require.False(t, leader.mayGiveOrders(leaseState{1, election.TermStoreUnreachable, now.Add(-unleased - 1)}))
}

// Guards against a leader whose electorate is being replaced and that needs most of the new one only.
func TestAnUnconfirmedElectorateNeedsMostOfBoth(t *testing.T) {
	sent := time.Unix(1000, 0)
	var proof followingProof
	proof.beginTerm()
	proof.send(sent, time.Second)
	all := func(string) bool { return true }
	var voters electorate
	voters.begin([]string{"a", "b", "c"})
	voters.end([]string{"a", "b", "c"}, true, true)
	grown := []string{"a", "b", "c", "d", "e"}
	voters.begin(grown)
	for _, daemon := range []string{"c", "d", "e"} {
		proof.acknowledge(daemon, 1)
	}
	require.Zero(t, voters.provenAt(&proof, all), "most of the new one, one of three of the recorded one")
	voters.end(grown, true, false)
	require.Zero(t, voters.provenAt(&proof, all), "the write may take effect, or not")
	proof.acknowledge("a", 1)
	require.Equal(t, sent, voters.provenAt(&proof, all), "most of both")
	voters.begin(grown)
	voters.end(grown, true, true)
	require.Equal(t, sent, voters.provenAt(&proof, all))
}
