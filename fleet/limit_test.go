package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// statedLimit returns the hint of a response that states a limit, to a request sent at the given time.
func statedLimit(perSecond float64, sentAt time.Time) Hint {
	return Hint{Replica: "r1", Limit: LimitGiven, PerSecond: perSecond, SentAt: sentAt}
}

func TestEachLimitHintReplacesTheLast(t *testing.T) {
	d := twoReplicaDirectory()
	change, changed := d.ApplyLimitHint(statedLimit(2, testTime), testTime)
	require.True(t, changed)
	require.Equal(t, LimitChange{ReplicaLimit{Incarnation{ID: "r1"}, 2, testTime}, 0}, change)
	_, changed = d.ApplyLimitHint(statedLimit(2, testTime), testTime.Add(time.Second))
	require.False(t, changed)
	pick, _ := d.Choose(Query{Service: "press", Target: Target{Model: "m2"}}, testTime)
	require.Equal(t, testTime.Add(time.Second), pick.LimitObservedAt, "the latest response confirms the limit")
	pick.Cancel()
	change, changed = d.ApplyLimitHint(statedLimit(5, testTime), testTime.Add(time.Second))
	require.True(t, changed)
	require.Equal(t, []float64{2, 5}, []float64{change.Previous, change.PerSecond})
	require.Equal(t, 5.0, d.LimitOf("r1"))
	require.Zero(t, d.LimitOf("r2"))
	require.Equal(t, 1, d.RateLimitedCount())
	d.ApplyLimitHint(statedLimit(0, testTime), testTime.Add(time.Second))
	require.Equal(t, minRateLimit, d.LimitOf("r1"), "raised, so that some responses show when the limit ends")
}

func TestLimitEndsOnlyByResponseToLaterRequest(t *testing.T) {
	d := twoReplicaDirectory()
	observedAt := testTime.Add(time.Second)
	d.ApplyLimitHint(statedLimit(2, testTime), observedAt)
	none := func(sentAt time.Time) Hint { return Hint{Replica: "r1", Limit: LimitNone, SentAt: sentAt} }
	_, changed := d.ApplyLimitHint(none(testTime), observedAt.Add(time.Second))
	require.False(t, changed, "the request was sent before the limit was stated")
	_, changed = d.ApplyLimitHint(Hint{Replica: "r1", SentAt: observedAt.Add(time.Second)}, observedAt.Add(2*time.Second))
	require.False(t, changed, "a response to a load order carries no limit information")
	change, changed := d.ApplyLimitHint(none(observedAt.Add(time.Second)), observedAt.Add(2*time.Second))
	require.True(t, changed)
	require.Equal(t, []float64{2, 0}, []float64{change.Previous, change.PerSecond})
	require.Zero(t, d.RateLimitedCount())
	_, changed = d.ApplyLimitHint(none(observedAt.Add(time.Second)), observedAt.Add(2*time.Second))
	require.False(t, changed)
}

func TestLatestLimitReportWins(t *testing.T) {
	d := twoReplicaDirectory()
	d.ApplyLimitHint(statedLimit(2, testTime), testTime.Add(time.Second))
	relayed := func(perSecond float64, at time.Time) ReplicaLimit {
		return ReplicaLimit{Incarnation{ID: "r1"}, perSecond, at}
	}
	_, changed := d.ApplyRelayedLimit(relayed(0, testTime), testTime.Add(3*time.Second))
	require.False(t, changed, "it is older than the known limit")
	require.Len(t, d.LimitRecords(true), 1)
	change, changed := d.ApplyRelayedLimit(relayed(4, testTime.Add(2*time.Second)), testTime.Add(3*time.Second))
	require.True(t, changed)
	require.Equal(t, []float64{2, 4}, []float64{change.Previous, change.PerSecond})
	require.Empty(t, d.LimitRecords(true), "the latest limit was stated to another daemon")
	require.Equal(t, []ReplicaLimit{relayed(4, testTime.Add(2*time.Second))}, d.LimitRecords(false))
	record, observed := d.LimitRecord("r1")
	require.True(t, observed)
	require.Equal(t, 4.0, record.PerSecond)
	_, observed = d.LimitRecord("r2")
	require.False(t, observed)
}

// A limit outlives the registry entry, which may expire during a registry outage, but not the process.
func TestLimitBelongsToIncarnation(t *testing.T) {
	entry := pressEntry("r1", "a", Holdings{"m1": nil})
	entry.Born = 1000
	d := newTestDirectory(entry)
	d.ApplyLimitHint(statedLimit(2, testTime), testTime)
	d.Remove("r1", time.Now())
	d.Put(entry, testTime)
	require.Equal(t, 2.0, d.LimitOf("r1"))
	require.Equal(t, 2.0, d.replicas["r1"].perSecond)
	entry.Born = 2000
	d.Put(entry, testTime)
	require.Zero(t, d.LimitOf("r1"))
	require.Zero(t, d.replicas["r1"].perSecond)
	_, changed := d.ApplyRelayedLimit(ReplicaLimit{Incarnation{"r1", 1000}, 3, testTime.Add(time.Second)}, testTime)
	require.False(t, changed, "a late report about the earlier incarnation is ignored")
	require.Zero(t, d.replicas["r1"].perSecond)
}

func TestStateCarriesLimits(t *testing.T) {
	d := twoReplicaDirectory()
	d.ApplyLimitHint(statedLimit(2, testTime), testTime)
	state, _ := d.State("r1", testTime)
	other := NewDirectory("a", func() float64 { return 0 })
	other.Limit(nil)
	other.ApplyState(state, testTime)
	require.Equal(t, 2.0, other.replicas["r1"].perSecond)
	state, _ = d.State("r2", testTime)
	require.Nil(t, state.Limit)
	other.ApplyState(state, testTime)
	require.Zero(t, other.LimitOf("r2"))
}

func TestChooseUsesLimitedReplicaWithoutAlternativeOrAsProbe(t *testing.T) {
	d := twoReplicaDirectory()
	d.ApplyLimitHint(statedLimit(2, testTime), testTime)
	id, _ := chooseID(d, "m1", testTime)
	require.Equal(t, "r2", id, "r2 is in another zone but has no limit")
	pick, _ := d.Choose(Query{Service: "press", Target: Target{Model: "m2"}}, testTime)
	require.Equal(t, "r1", pick.ID, "only r1 has the model")
	require.Equal(t, 2.0, pick.PerSecond)
	pick.Cancel()

	notBefore := map[string]time.Time{"r1": testTime.Add(time.Second)}
	_, miss := d.Choose(Query{Service: "press", Target: Target{Model: "m2"}, NotBefore: notBefore}, testTime)
	require.Equal(t, RateLimited, miss)
	pick, _ = d.Choose(Query{Service: "press", Target: Target{Model: "m2"}, NotBefore: notBefore}, testTime.Add(time.Second))
	require.Equal(t, "r1", pick.ID)
	pick.Cancel()

	later := testTime.Add(time.Second + limitedRetryInterval)
	id, _ = chooseID(d, "m1", later)
	require.Equal(t, "r1", id, "r1 is tried again after limitedRetryInterval")
	id, _ = chooseID(d, "m1", later)
	require.Equal(t, "r2", id, "only one request is sent as a probe")
	d.ApplyLimitHint(Hint{Replica: "r1", Limit: LimitNone, SentAt: later}, later)
	id, _ = chooseID(d, "m1", later)
	require.Equal(t, "r1", id)
	_, miss = d.Choose(Query{Service: "press", Target: Target{Model: "m2"}, NotBefore: notBefore}, testTime)
	require.Equal(t, Found, miss, "NotBefore applies only to rate-limited replicas")
}

// fakePermit counts its uses and allows a fixed number.
type fakePermit struct{ uses, allowed int }

func (p *fakePermit) Use() bool {
	p.uses++
	return p.uses <= p.allowed
}

func TestAdmitRequiresPermitForLimitedReplica(t *testing.T) {
	d := twoReplicaDirectory()
	permit := &fakePermit{allowed: 1}
	require.NoError(t, d.Admit("r1", permit, testTime))
	require.Zero(t, permit.uses, "no permit is needed without a limit")
	d.ApplyLimitHint(statedLimit(2, testTime), testTime)
	require.ErrorIs(t, d.Admit("r1", nil, testTime), ErrRateLimited, "the request has no permit")
	require.NoError(t, d.Admit("r1", permit, testTime))
	require.ErrorIs(t, d.Admit("r1", permit, testTime), ErrRateLimited)
	require.NoError(t, d.Admit("r2", nil, testTime))
}
