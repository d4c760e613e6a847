package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultyRunLength is the length of a run of newFaultyModel.
const faultyRunLength = 24 * time.Second

// newFaultyModel returns a model of a small and a large tenant beside random faults.
func newFaultyModel(seed uint64) *model {
	const daemons = 300
	small := Limit{PerSecond: 2700, Burst: 2700}
	large := Limit{PerSecond: 20_000 + 60_000*float64(seed%3), Burst: 20_000}
	m := newModel(seed, daemons, map[string]Limit{"small": small, "large": large})
	for _, tenant := range m.tenants() {
		limit := m.limits[tenant]
		loadFactor := 0.5 + 5*m.random.Float64()
		from := m.now.Add(time.Duration(m.random.Float64() * float64(faultyRunLength)))
		m.generateLoad(tenant, func() float64 {
			if m.now.After(from) {
				return loadFactor * limit.PerSecond
			}
			return limit.PerSecond / 2
		}, m.randomDaemons(40), 0.1*m.random.Float64())
	}
	m.injectFaults(faultyRunLength)
	return m
}

func TestNoWindowExceedsLimit(t *testing.T) {
	const seeds = 1000
	for seed := range uint64(seeds) {
		m := newFaultyModel(seed)
		m.run(faultyRunLength)
		for tenant := range m.limits {
			require.LessOrEqual(t, m.maxUtilization(tenant), 1.0, "seed %d, %s", seed, tenant)
		}
	}
}

func TestOverloadedTenantGetsNearlyItsLimit(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 2700, Burst: 2700}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(1, 300, map[string]Limit{"one": limit})
		m.generateLoad("one", func() float64 { return 2 * limit.PerSecond }, m.daemons, 0)
		const length = 60 * time.Second
		m.run(length)
		require.GreaterOrEqual(t, m.granted["one"], 0.95*limit.PerSecond*length.Seconds())
		require.LessOrEqual(t, m.maxUtilization("one"), 1.0)
	}
}

// idealBucket is a limit enforced in one place. Requests that it refuses exceed the limit.
type idealBucket struct {
	limit   Limit
	level   float64
	at      time.Time
	refused int
}

func (b *idealBucket) request(cost float64, now time.Time) {
	b.level = min(b.limit.Burst, b.level+b.limit.PerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < cost {
		b.refused++
		return
	}
	b.level -= cost
}

func TestTenantBelowLimitIsRarelyRefused(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 20_000, Burst: 20_000}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(2, 300, map[string]Limit{"one": limit, "other": limit})
		m.ideal = &idealBucket{limit: limit, level: limit.Burst, at: m.now}
		m.generateLoad("one", func() float64 { return 0.9 * limit.PerSecond }, m.daemons, 0)
		m.generateLoad("other", func() float64 { return 6 * limit.PerSecond }, m.daemons, 0)
		m.run(60 * time.Second)
		unjustified := m.refused["one"] - m.ideal.refused
		require.LessOrEqual(t, float64(unjustified)/float64(m.requests["one"]), 1.0/200, "%d refused, %d of them beyond the limit", m.refused["one"], m.ideal.refused)
	}
}

// While there is no leader, prepaid credit must serve tenants with a normal load.
func TestNormalLoadIsServedFromCreditWithoutLeader(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 2700, Burst: 2700}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(3, 87, map[string]Limit{"one": limit})
		m.ideal = &idealBucket{limit: limit, level: limit.Burst, at: m.now}
		m.generateLoad("one", func() float64 { return 0.55 * limit.PerSecond }, m.daemons[:1+int(limit.PerSecond/4000)], 0)
		m.run(16 * time.Second)
		require.LessOrEqual(t, m.refused["one"], m.ideal.refused)
		m.loseLeader()
		total, refused := m.requests["one"], m.refused["one"]
		m.run(time.Second)
		total, refused = m.requests["one"]-total, m.refused["one"]-refused
		require.Less(t, float64(refused)/float64(max(1, total)), 0.3, "of %d requests", total)
	}
}
