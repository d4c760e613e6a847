package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What was seen: replicas that had named a limit of one message a second got 12 and 13 within 4 s.
//
// How it came about: their rate did not change when they named it; orders and questions came besides.
//
// The cause: what an answer says of its replica's limit was not read.
//
// What proved it: the tests with real processes (package platform), and these of what is kept of it.

// naming is an answer that names a limit, to a request that was written at a moment.
func naming(perSecond float64, sentAt time.Time) Hint {
	return Hint{Replica: "r1", Limit: LimitGiven, PerSecond: perSecond, SentAt: sentAt}
}

func TestEachAnswerSaysTheLimitAnew(t *testing.T) {
	d := noticeDirectory()
	change, news := d.ApplyLimitHint(naming(2, start), start)
	require.True(t, news)
	require.Equal(t, LimitChange{ReplicaLimit{Incarnation{ID: "r1"}, 2, start}, 0}, change)
	_, news = d.ApplyLimitHint(naming(2, start), start.Add(time.Second))
	require.False(t, news)
	pick, _ := d.Choose(Ask{Service: "press", Target: Target{Model: "m2"}}, start)
	require.Equal(t, start.Add(time.Second), pick.LimitObservedAt, "though it is as old as the last answer")
	pick.Cancel()
	change, news = d.ApplyLimitHint(naming(5, start), start.Add(time.Second))
	require.True(t, news)
	require.Equal(t, []float64{2, 5}, []float64{change.Previous, change.PerSecond})
	require.Equal(t, 5.0, d.LimitOf("r1"))
	require.Zero(t, d.LimitOf("r2"))
	require.Equal(t, 1, d.RateLimitedCount())
	d.ApplyLimitHint(naming(0, start), start.Add(time.Second))
	require.Equal(t, leastLimit, d.LimitOf("r1"), "or nobody would learn that it is over")
}

func TestOnlyAnAnswerToARequestThatWasWrittenAfterTheWordEndsALimit(t *testing.T) {
	d := noticeDirectory()
	heard := start.Add(time.Second)
	d.ApplyLimitHint(naming(2, start), heard)
	none := func(sentAt time.Time) Hint { return Hint{Replica: "r1", Limit: LimitNone, SentAt: sentAt} }
	_, news := d.ApplyLimitHint(none(start), heard.Add(time.Second))
	require.False(t, news, "it was under way before")
	_, news = d.ApplyLimitHint(Hint{Replica: "r1", SentAt: heard.Add(time.Second)}, heard.Add(2*time.Second))
	require.False(t, news, "an answer to an order tells nothing")
	change, news := d.ApplyLimitHint(none(heard.Add(time.Second)), heard.Add(2*time.Second))
	require.True(t, news)
	require.Equal(t, []float64{2, 0}, []float64{change.Previous, change.PerSecond})
	require.Zero(t, d.RateLimitedCount())
	_, news = d.ApplyLimitHint(none(heard.Add(time.Second)), heard.Add(2*time.Second))
	require.False(t, news)
}

func TestOfTwoWordsOfALimitTheLaterCounts(t *testing.T) {
	d := noticeDirectory()
	d.ApplyLimitHint(naming(2, start), start.Add(time.Second))
	told := func(perSecond float64, at time.Time) ReplicaLimit {
		return ReplicaLimit{Incarnation{ID: "r1"}, perSecond, at}
	}
	_, news := d.ApplyRelayedLimit(told(0, start), start.Add(3*time.Second))
	require.False(t, news, "it was said before")
	require.Len(t, d.LimitRecords(true), 1)
	change, news := d.ApplyRelayedLimit(told(4, start.Add(2*time.Second)), start.Add(3*time.Second))
	require.True(t, news)
	require.Equal(t, []float64{2, 4}, []float64{change.Previous, change.PerSecond})
	require.Empty(t, d.LimitRecords(true), "the last word was said to another daemon")
	require.Equal(t, []ReplicaLimit{told(4, start.Add(2*time.Second))}, d.LimitRecords(false))
	word, said := d.LimitRecord("r1")
	require.True(t, said)
	require.Equal(t, 4.0, word.PerSecond)
	_, said = d.LimitRecord("r2")
	require.False(t, said)
}

// A limit outlives the entry, which may lapse in an outage of the registry, but not the process.
func TestALimitIsThatOfAnIncarnation(t *testing.T) {
	entry := press("r1", "a", Holdings{"m1": nil})
	entry.Born = 1000
	d := directoryOf(entry)
	d.ApplyLimitHint(naming(2, start), start)
	d.Remove("r1", time.Now())
	d.Put(entry, start)
	require.Equal(t, 2.0, d.LimitOf("r1"))
	require.Equal(t, 2.0, d.members["r1"].perSecond)
	entry.Born = 2000
	d.Put(entry, start)
	require.Zero(t, d.LimitOf("r1"))
	require.Zero(t, d.members["r1"].perSecond)
	_, news := d.ApplyRelayedLimit(ReplicaLimit{Incarnation{"r1", 1000}, 3, start.Add(time.Second)}, start)
	require.False(t, news, "another daemon's word of the process before comes late")
	require.Zero(t, d.members["r1"].perSecond)
}

func TestADaemonThatAsksForReplicasIsToldTheirLimits(t *testing.T) {
	d := noticeDirectory()
	d.ApplyLimitHint(naming(2, start), start)
	state, _ := d.State("r1", start)
	other := NewDirectory("a", func() float64 { return 0 })
	other.Limit(nil)
	other.ApplyState(state, start)
	require.Equal(t, 2.0, other.members["r1"].perSecond)
	state, _ = d.State("r2", start)
	require.Nil(t, state.Limit)
	other.ApplyState(state, start)
	require.Zero(t, other.LimitOf("r2"))
}

func TestAReplicaWithALimitIsChosenWhereOthersDoNotServeOrToHearWhetherItIsOver(t *testing.T) {
	d := noticeDirectory()
	d.ApplyLimitHint(naming(2, start), start)
	id, _ := chosen(d, "m1", start)
	require.Equal(t, "r2", id, "the other is farther, and without a limit")
	pick, _ := d.Choose(Ask{Service: "press", Target: Target{Model: "m2"}}, start)
	require.Equal(t, "r1", pick.ID, "no other has the model")
	require.Equal(t, 2.0, pick.PerSecond)
	pick.Cancel()

	held := map[string]time.Time{"r1": start.Add(time.Second)}
	_, miss := d.Choose(Ask{Service: "press", Target: Target{Model: "m2"}, NotBefore: held}, start)
	require.Equal(t, RateLimited, miss)
	pick, _ = d.Choose(Ask{Service: "press", Target: Target{Model: "m2"}, NotBefore: held}, start.Add(time.Second))
	require.Equal(t, "r1", pick.ID)
	pick.Cancel()

	later := start.Add(time.Second + limitAsked)
	id, _ = chosen(d, "m1", later)
	require.Equal(t, "r1", id, "nothing came of it for a while")
	id, _ = chosen(d, "m1", later)
	require.Equal(t, "r2", id, "one request is enough")
	d.ApplyLimitHint(Hint{Replica: "r1", Limit: LimitNone, SentAt: later}, later)
	id, _ = chosen(d, "m1", later)
	require.Equal(t, "r1", id)
	_, miss = d.Choose(Ask{Service: "press", Target: Target{Model: "m2"}, NotBefore: held}, start)
	require.Equal(t, Found, miss, "turns are for replicas with a limit")
}

// permitOf counts its uses.
type permitOf struct{ uses, most int }

func (p *permitOf) Use() bool {
	p.uses++
	return p.uses <= p.most
}

func TestARequestIsWrittenToAReplicaWithALimitOnlyWithAPermit(t *testing.T) {
	d := noticeDirectory()
	held := &permitOf{most: 1}
	require.NoError(t, d.Admit("r1", held, start))
	require.Zero(t, held.uses, "none is needed")
	d.ApplyLimitHint(naming(2, start), start)
	require.ErrorIs(t, d.Admit("r1", nil, start), ErrRateLimited, "it was chosen before the limit was heard")
	require.NoError(t, d.Admit("r1", held, start))
	require.ErrorIs(t, d.Admit("r1", held, start), ErrRateLimited)
	require.NoError(t, d.Admit("r2", nil, start))
}
