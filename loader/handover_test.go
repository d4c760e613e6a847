package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A holder that stops names every replica that any holder gave an order to within the
// distance that holders keep, and the next holds orders to these alone back.
func TestAHandoverNamesTheReplicasThatGotOrdersLately(t *testing.T) {
	const gap = 3 * time.Second
	now := time.Unix(1_000_000, 0)
	orders := recentOrders{inherited: map[string]time.Time{
		"inherited": now.Add(-2 * time.Second), "long ago": now.Add(-gap), "both": now.Add(-2 * time.Second),
	}}
	orders.note("both", now.Add(-time.Second))
	orders.note("own", now.Add(-2500*time.Millisecond))
	orders.note("old", now.Add(-4*time.Second))
	orders.note("on its way", now.Add(-orderTimeout/2))
	require.Equal(t, map[string]int64{"inherited": 2000, "both": 1000, "own": 2500, "on its way": 0}, orders.ages(now, gap))

	require.Equal(t, now.Add(time.Second), orders.heldUntil("inherited", gap))
	require.Zero(t, orders.heldUntil("own", gap), "this daemon's own orders need no distance from its own")
}

// A holder that was itself waiting for its distance hands over what is left of the wait.
func TestAHolderThatMayNotOrderYetHandsItsWaitOver(t *testing.T) {
	holder := &Holder{Limits: Limits{TermGap: 3 * time.Second}}
	holder.Prepare()
	holder.reset(5, time.Now().Add(2*time.Second))
	holder.beginTerm(0, time.Now()) // its term is given up
	handover := holder.Handover()
	require.InDelta(t, 2000, handover.WaitMs, 200)
	require.Empty(t, handover.LastOrderMs)
}
