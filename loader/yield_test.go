package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Seen on a drawn day of Nitra large (fresh-3090): a machine with a quarter of the strongest
// ones' processor held the term to the end of the day.
func TestTermIsHandedOverOnlyToAMuchStrongerMachine(t *testing.T) {
	const own = 400 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	longAgo := now.Add(-minTermAgeForHandover)
	for name, example := range map[string]struct {
		other    daemonState
		stronger bool
	}{
		"much stronger":   {daemonState{termDelay: own / 4, attachedAt: longAgo}, true},
		"hardly stronger": {daemonState{termDelay: own * 3 / 4, attachedAt: longAgo}, false},
		"alike":           {daemonState{termDelay: own, attachedAt: longAgo}, false},
		"not known":       {daemonState{attachedAt: longAgo}, false},
		"just attached":   {daemonState{termDelay: own / 4, attachedAt: now}, false},
		"detached":        {daemonState{termDelay: own / 4, attachedAt: longAgo, detachedAt: now}, false},
	} {
		leader := &Leader{Daemon: "own", TermDelay: own, daemons: map[string]*daemonState{"other": &example.other}}
		require.Equal(t, example.stronger, leader.hasStrongerDaemon(now), name)
	}
}

// A strong daemon that is attached but does not reach the key-value service takes no term.
func TestUnclaimedHandoversBackOff(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	plan := handoverPlan{}
	plan.termBegan(now)
	require.False(t, plan.mayHandOver(now))
	now = now.Add(minTermAgeForHandover)
	require.True(t, plan.mayHandOver(now))
	plan.lastHandover = now
	now = now.Add(500 * time.Millisecond)
	plan.termBegan(now)
	require.False(t, plan.mayHandOver(now.Add(minTermAgeForHandover)))
	require.True(t, plan.mayHandOver(now.Add(handoverBackoffFactor*minTermAgeForHandover)))
	now = now.Add(time.Hour)
	plan.termBegan(now) // another held it in between
	require.True(t, plan.mayHandOver(now.Add(minTermAgeForHandover)))
}
