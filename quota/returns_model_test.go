package quota

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model of callers that compete: a refused one returns once, on a new connection to any daemon, after the
// time told or a third of what it has left, whichever is less.

// kind is a kind of request, as callers of competing tenants send them.
type kind struct {
	name                string
	cost                float64 // in tokens
	objective, deadline time.Duration
	weight              float64 // its part of the requests
}

var (
	briefing = kind{"briefing", 9300, 4 * time.Second, 13 * time.Second, 0.22}
	summary  = kind{"summary", 9300, time.Second, 5 * time.Second, 0.19}
	draft    = kind{"draft", 1100, 800 * time.Millisecond, 15 * time.Second, 0.29}
	plain    = kind{"plain", 200, 300 * time.Millisecond, 3 * time.Second, 0.30}
	// flood is of the class of drafts.
	flood = kind{"flood", 1100, 800 * time.Millisecond, 15 * time.Second, 0}
	kinds = []kind{briefing, summary, draft, plain}
)

// meanCost is the mean cost of the mixed requests, in tokens.
func meanCost() (mean float64) {
	for _, kind := range kinds {
		mean += kind.weight * kind.cost
	}
	return mean
}

func (m *model) randomKind() kind {
	left := m.random.Float64()
	for _, kind := range kinds {
		if left -= kind.weight; left < 0 {
			return kind
		}
	}
	return plain
}

// modelUnknownRetryIn is what callers are told if nobody knows whether there is room.
const modelUnknownRetryIn = 500 * time.Millisecond

// attempt is one try of a request.
type attempt struct {
	kind        kind
	tenant      string
	priority    int
	fingerprint Fingerprint
	arrived     time.Time // of the first try
	retry       bool
	reserved    bool // the caller was told of a reservation
	fails       bool
	claimless   bool // of a daemon that sends no claims
	gone        bool // the caller never returns
}

func (a *attempt) claim(now time.Time) *Claim {
	if a == nil || a.claimless {
		return nil
	}
	return &Claim{
		Fingerprint: a.fingerprint, Class: a.class(), Priority: a.priority,
		ObjectiveLeft: a.kind.objective, Patience: a.patience(now),
	}
}

func (a *attempt) class() string {
	if a.kind.name == flood.name {
		return draft.name
	}
	return a.kind.name
}

func (a *attempt) patience(now time.Time) time.Duration {
	return a.arrived.Add(a.kind.deadline).Sub(now) / 3
}

// counts are the requests of one tenant and kind.
type counts struct {
	asked, served, servedAtOnce int
	back, backServed            int // returned at all
	due, kept                   int // returned at the time told, with a reservation
}

func (c counts) plus(other counts) counts {
	return counts{
		c.asked + other.asked, c.served + other.served, c.servedAtOnce + other.servedAtOnce,
		c.back + other.back, c.backServed + other.backServed, c.due + other.due, c.kept + other.kept,
	}
}

func (c counts) servedShare() float64 { return float64(c.served) / float64(max(1, c.asked)) }

type countKey struct {
	tenant, kind string
	priority     int
}

// returns makes refused callers return, and counts.
type returns struct {
	model  *model
	counts map[countKey]*counts
	number uint64
	// latest is the longest time after the time told that a caller's connection takes.
	latest time.Duration
	// claimless means that daemons send no claims.
	claimless bool
	// neverReturn are the names of the kinds whose callers never return.
	neverReturn map[string]bool
}

func newReturns(m *model) *returns {
	m.returns = &returns{model: m, counts: map[countKey]*counts{}, latest: 50 * time.Millisecond}
	return m.returns
}

func (r *returns) of(a *attempt) *counts {
	key := countKey{a.tenant, a.kind.name, a.priority}
	if r.counts[key] == nil {
		r.counts[key] = &counts{}
	}
	return r.counts[key]
}

// send sends the first try of a request.
func (r *returns) send(tenant string, kind kind, priority int, fails bool) {
	r.number++
	first := &attempt{kind: kind, tenant: tenant, priority: priority, arrived: r.model.now, fails: fails, claimless: r.claimless, gone: r.neverReturn[kind.name]}
	binary.BigEndian.PutUint64(first.fingerprint[:], r.number)
	r.of(first).asked++
	r.try(first)
}

func (r *returns) try(a *attempt) {
	m := r.model
	m.sendAttempt(m.daemons[m.random.IntN(len(m.daemons))], a.tenant, a.kind.cost, a.fails, a)
}

func (r *returns) served(a *attempt) {
	if r == nil || a == nil {
		return
	}
	counts := r.of(a)
	counts.served++
	if !a.retry {
		counts.servedAtOnce++
		return
	}
	r.cameBack(a)
	counts.backServed++
	if a.reserved {
		counts.kept++
	}
}

// cameBack counts a return that was decided on.
func (r *returns) cameBack(a *attempt) {
	counts := r.of(a)
	counts.back++
	if a.reserved {
		counts.due++
	}
}

func (r *returns) refused(daemon *modelDaemon, a *attempt, answer Answer) {
	if r == nil || a == nil {
		return
	}
	if a.retry {
		r.cameBack(a)
		return
	}
	m := r.model
	if answer.Reserved {
		daemon.told.Remember(Reservation{Tenant: a.tenant, Fingerprint: a.fingerprint, Cost: a.kind.cost, In: answer.RetryIn}, m.now)
	}
	if a.gone {
		return
	}
	again := *a
	again.retry, again.reserved = true, answer.Reserved
	wait := min(answer.RetryIn, a.patience(m.now)) + time.Duration(m.random.Float64()*float64(r.latest))
	m.after(wait, func() { r.try(&again) })
}

// sum adds up the counts of a tenant's kind of request; empty names stand for all.
func (r *returns) sum(tenant, kind string) (sum counts) {
	for key, counts := range r.counts {
		if (tenant == "" || key.tenant == tenant) && (kind == "" || key.kind == kind) {
			sum = sum.plus(*counts)
		}
	}
	return sum
}

// generate sends requests of a tenant at a rate in tokens per second.
func (r *returns) generate(tenant string, perSecond func() float64, priority func() int, failureShare float64) {
	m := r.model
	var next func()
	next = func() {
		r.send(tenant, m.randomKind(), priority(), m.random.Float64() < failureShare)
		m.after(time.Duration(m.random.ExpFloat64()*meanCost()/perSecond()*float64(time.Second)), next)
	}
	m.after(time.Duration(m.random.Float64()*float64(time.Second)), next)
}

// sendOften sends requests of one kind at a rate in tokens per second.
func (r *returns) sendOften(tenant string, kind kind, perSecond float64) {
	var next func()
	next = func() {
		r.send(tenant, kind, 1, false)
		r.model.after(time.Duration(r.model.random.ExpFloat64()*kind.cost/perSecond*float64(time.Second)), next)
	}
	r.model.after(0, next)
}

func onePriority() int { return 1 }

// newCompetition returns a model of callers that compete, with the bounds that they are given.
func newCompetition(seed uint64, daemons int, limits map[string]Limit) (*model, *returns) {
	m := newModel(seed, daemons, limits)
	m.bounds.Slack = 72_000
	for _, daemon := range m.daemons {
		daemon.account = NewAccount(m.bounds)
	}
	m.queue = nil
	m.startTerm(true, 0)
	for _, daemon := range m.daemons {
		m.after(time.Duration(m.random.Float64()*float64(modelHeartbeat)), func() { m.heartbeat(daemon) })
	}
	return m, newReturns(m)
}

// Reservations may cost nobody the limit, whatever is lost.
func TestNoWindowExceedsLimitWithReservations(t *testing.T) {
	const (
		seeds   = 300
		daemons = 80
		length  = 24 * time.Second
	)
	kept, due := 0, 0
	for seed := range uint64(seeds) {
		m, returns := newCompetition(seed, daemons, map[string]Limit{
			"small": {PerSecond: 20_000, Burst: 20_000}, "large": {PerSecond: 40_000 + 50_000*float64(seed%3), Burst: 40_000},
		})
		for _, tenant := range m.tenants() {
			limit := m.limits[tenant]
			loadFactor := 0.5 + 5*m.random.Float64()
			from := m.now.Add(time.Duration(m.random.Float64() * float64(length)))
			returns.latest = time.Duration(m.random.Float64() * 2 * float64(time.Second))
			returns.generate(tenant, func() float64 {
				if m.now.After(from) {
					return loadFactor * limit.PerSecond
				}
				return limit.PerSecond / 2
			}, func() int { return m.random.IntN(3) }, 0.1*m.random.Float64())
		}
		m.injectFaults(length)
		m.run(length)
		for tenant := range m.limits {
			require.LessOrEqual(t, m.maxUtilization(tenant), 1.0, "seed %d, %s", seed, tenant)
		}
		sum := returns.sum("", "")
		kept, due = kept+sum.kept, due+sum.due
	}
	require.NotZero(t, due)
	t.Logf("%d of %d reservations kept beside faults", kept, due)
}

// In the calm, who returns at the time told is served, whatever the load.
func TestReservationsAreKeptInTheCalm(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{PerSecond: 15_000 + 130_000*random.Float64()}
		limit.Burst = limit.PerSecond
		m, returns := newCompetition(seed, 80, map[string]Limit{"one": limit})
		factor := 0.8 + 5*random.Float64()
		phase := time.Duration(random.Float64() * float64(4*time.Second))
		start := m.now
		returns.generate("one", func() float64 {
			if m.now.Sub(start)%(2*phase+time.Second) > phase { // bursts
				return factor * limit.PerSecond
			}
			return limit.PerSecond / 2
		}, func() int { return 1 }, 0)
		m.run(40 * time.Second)
		sum := returns.sum("", "")
		require.Equal(t, sum.due, sum.kept, "seed %d: reservations that were told and not kept", seed)
		require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
	}
}

// Reservations and shares leave little of the limit unused while it is asked for.
func TestCompetingTenantGetsNearlyItsLimit(t *testing.T) {
	for _, perSecond := range []float64{20_000, 137_000} {
		for _, factor := range []float64{1.5, 3, 6} {
			limit := Limit{PerSecond: perSecond, Burst: perSecond}
			m, returns := newCompetition(1, 80, map[string]Limit{"one": limit})
			returns.generate("one", func() float64 { return factor * limit.PerSecond }, onePriority, 0)
			const length = 60 * time.Second
			m.run(length)
			require.GreaterOrEqual(t, m.granted["one"], 0.95*limit.PerSecond*length.Seconds(), "%.0f per second, %.1f times that asked", perSecond, factor)
			require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
		}
	}
}

// A tenant within its limit is served as if there were no classes.
func TestCompetingTenantWithinLimitIsServed(t *testing.T) {
	limit := Limit{PerSecond: 137_000, Burst: 137_000}
	m, returns := newCompetition(4, 80, map[string]Limit{"one": limit})
	returns.generate("one", func() float64 { return 0.8 * limit.PerSecond }, onePriority, 0)
	m.run(60 * time.Second)
	sum := returns.sum("one", "")
	require.GreaterOrEqual(t, float64(sum.servedAtOnce), 0.995*float64(sum.asked))
}

// A new leader keeps what callers were told by the daemons of the earlier one.
func TestReservationsOutliveALeader(t *testing.T) {
	limit := Limit{PerSecond: 137_000, Burst: 137_000}
	due, kept := 0, 0
	for seed := range uint64(20) {
		m, returns := newCompetition(seed, 80, map[string]Limit{"one": limit})
		returns.generate("one", func() float64 { return 3 * limit.PerSecond }, onePriority, 0)
		m.run(15 * time.Second)
		m.loseLeader()
		m.startTerm(false, 200*time.Millisecond)
		before := returns.sum("", "")
		m.run(4 * time.Second)
		after := returns.sum("", "")
		due, kept = due+after.due-before.due, kept+after.kept-before.kept
		require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
	}
	t.Logf("%d of %d", kept, due)
	require.GreaterOrEqual(t, float64(kept), 0.8*float64(due))
}
