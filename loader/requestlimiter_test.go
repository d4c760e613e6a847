package loader

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/rpc"
)

// localReservations makes reservations at a local pacer.
type localReservations struct {
	pacer *permit.Pacer
	now   time.Time
	terms int
}

func (b *localReservations) BeginTerm() { b.terms++ }

func (b *localReservations) TryReserve(request permit.Request) (bool, time.Duration) {
	decision := b.pacer.Request(request, 1, b.now)
	return decision.Granted, decision.RetryIn
}

// Orders and probes count towards a replica's request limit.
func TestMessagesToALimitedReplicaNeedReservations(t *testing.T) {
	const pause = 5 * time.Second
	leader, replicas := leaderWithDemand(t)
	now := time.Now()
	reservations := &localReservations{pacer: permit.NewPacer(true, now), now: now}
	leader.RequestLimiter = reservations
	leader.Fleet.Put(fleet.Entry{ID: "r1", Service: "press", Address: "r1:1"}, now)
	leader.Fleet.ApplyLimitHint(limitHint("r1", 1/pause.Seconds()), now)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 1, Waiting: 1}}})

	leader.runRound(t.Context(), now)
	require.Equal(t, 1, reservations.terms)
	require.Equal(t, "r1", receive(t, replicas.reports), "the first reservation is granted")
	require.Eventually(t, func() bool {
		leader.mutex.Lock()
		defer leader.mutex.Unlock()
		return leader.states["r1"].Verified
	}, time.Second, time.Millisecond)
	leader.runRound(t.Context(), now)
	require.Empty(t, leader.inFlight, "no reservation is available yet")
	reservations.now = now.Add(pause)
	leader.runRound(t.Context(), reservations.now)
	require.Equal(t, "m1", receive(t, replicas.orders).Target.Model)
}

func TestShareOfAttachedDaemons(t *testing.T) {
	now := time.Now()
	leader := &Leader{}
	require.Zero(t, leader.AttachedShare())
	updateShare := func(attached int, after time.Duration) float64 {
		leader.attachment.streams = nil
		for number := range attached {
			leader.attachment.addStream(strconv.Itoa(number))
		}
		leader.attachment.addStream("0") // the daemon restarted, and its earlier stream is still open
		leader.attachment.updateShare(now.Add(after))
		return leader.AttachedShare()
	}
	require.Equal(t, 1.0, updateShare(9, 0))
	require.Equal(t, 1.0/3, updateShare(3, time.Second), "the other daemons may be disconnected")
	require.Equal(t, 1.0, updateShare(9, 2*time.Second))
	require.InDelta(t, 8.0/9, updateShare(8, 3*time.Second), 1e-9)
	require.Equal(t, 1.0, updateShare(8, 3*time.Second+detachedCountTTL), "the detached daemon no longer counts")
	leader.attachment.expectAtLeast(16, now.Add(time.Hour))
	require.Equal(t, 0.5, updateShare(8, time.Hour+time.Second), "the earlier leader had more daemons")
	leader.attachment.removeStream("0")
	require.Len(t, leader.attachment.streams, 8)
	leader.attachment.removeStream("0")
	require.Len(t, leader.attachment.streams, 7)
}
