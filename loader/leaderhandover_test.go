package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A weak machine must not keep the term while a much stronger one is attached.
func TestTermIsHandedOverOnlyToAMuchStrongerMachine(t *testing.T) {
	const own = 400 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	longAgo := now.Add(-minTermAgeForHandover)
	for name, example := range map[string]struct {
		other    daemonState
		stronger bool
	}{
		"much stronger":     {daemonState{baseCampaignDelay: own / 4, attachedAt: longAgo}, true},
		"slightly stronger": {daemonState{baseCampaignDelay: own * 3 / 4, attachedAt: longAgo}, false},
		"equally strong":    {daemonState{baseCampaignDelay: own, attachedAt: longAgo}, false},
		"unknown strength":  {daemonState{attachedAt: longAgo}, false},
		"just attached":     {daemonState{baseCampaignDelay: own / 4, attachedAt: now}, false},
		"detached":          {daemonState{baseCampaignDelay: own / 4, attachedAt: longAgo, detachedAt: now}, false},
	} {
		leader := &Leader{Daemon: "own", BaseCampaignDelay: own, daemons: map[string]*daemonState{"other": &example.other}}
		require.Equal(t, example.stronger, leader.hasStrongerDaemon(now), name)
	}
}

// A strong daemon that is attached may be unable to reach the key-value service and so never take the term.
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
	plan.termBegan(now) // another daemon held the term in between
	require.True(t, plan.mayHandOver(now.Add(minTermAgeForHandover)))
}
