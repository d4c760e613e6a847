package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Seen on a drawn day of Nitra large (fresh-3090): a machine with a quarter of the strongest
// ones' processor held the term to the end of the day.
func TestATermIsHandedOverToAMuchStrongerMachineOnly(t *testing.T) {
	const own = 400 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	longAgo := now.Add(-yieldAfter)
	for name, example := range map[string]struct {
		other    daemonDemand
		stronger bool
	}{
		"much stronger":   {daemonDemand{delay: own / 4, attached: longAgo}, true},
		"hardly stronger": {daemonDemand{delay: own * 3 / 4, attached: longAgo}, false},
		"alike":           {daemonDemand{delay: own, attached: longAgo}, false},
		"not known":       {daemonDemand{attached: longAgo}, false},
		"just attached":   {daemonDemand{delay: own / 4, attached: now}, false},
		"detached":        {daemonDemand{delay: own / 4, attached: longAgo, detached: now}, false},
	} {
		holder := &Leader{Daemon: "own", TermDelay: own, daemons: map[string]*daemonDemand{"other": &example.other}}
		require.Equal(t, example.stronger, holder.strongerAttached(now), name)
	}
}

// A strong daemon that is attached but does not reach the key-value service takes no term.
func TestATermThatNobodyElseTookIsHandedOverEverMoreRarely(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	plan := yieldPlan{}
	plan.termBegan(now)
	require.False(t, plan.due(now))
	now = now.Add(yieldAfter)
	require.True(t, plan.due(now))
	plan.last = now
	now = now.Add(500 * time.Millisecond)
	plan.termBegan(now)
	require.False(t, plan.due(now.Add(yieldAfter)))
	require.True(t, plan.due(now.Add(yieldAgain*yieldAfter)))
	now = now.Add(time.Hour)
	plan.termBegan(now) // another held it in between
	require.True(t, plan.due(now.Add(yieldAfter)))
}
