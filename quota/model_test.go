package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model plays daemons, holders that follow each other, and messages that take time, are
// lost or wait for a process that stands still, against the plain oracle: the sum over all
// daemons of what was admitted in any window.

type event struct {
	at   time.Time
	turn int // events of one moment keep their order
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].turn < e[b].turn
	}
	return e[a].at.Before(e[b].at)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(one any) { *e = append(*e, one.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	one := (*e)[last]
	*e = (*e)[:last]
	return one
}

type modelDaemon struct {
	name    string
	account *Account
	holder  *modelHolder // that it is connected to; nil: none
	cut     bool
	frozen  time.Time // until when it stands still
}

// modelHolder is a holder's term.
type modelHolder struct {
	ledger *Ledger
	unsure bool // its lease does not surely hold: another may begin
	over   bool
}

type model struct {
	random  *rand.Rand
	bounds  Bounds
	limits  map[string]Limit
	now     time.Time
	turn    int
	queue   events
	daemons []*modelDaemon
	holder  *modelHolder // nil without one

	ideal    *idealBucket // of the tenant one; nil if it is of no interest
	admitted map[string][]admission
	asked    map[string]float64 // cost asked for, by tenant
	granted  map[string]float64
	refused  map[string]int
	requests map[string]int
}

type admission struct {
	at   time.Time
	cost float64
}

func newModel(seed uint64, daemons int, limits map[string]Limit) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), bounds: Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11_000}, limits: limits,
		now: time.Unix(1_000, 0), admitted: map[string][]admission{}, asked: map[string]float64{}, granted: map[string]float64{},
		refused: map[string]int{}, requests: map[string]int{},
	}
	for number := range daemons {
		m.daemons = append(m.daemons, &modelDaemon{name: fmt.Sprintf("d%d", number), account: NewAccount(m.bounds)})
	}
	m.begin(true, 0)
	for _, daemon := range m.daemons {
		m.after(time.Duration(m.random.Float64()*float64(modelBeat)), func() { m.beat(daemon) })
	}
	return m
}

func (m *model) after(pause time.Duration, do func()) {
	m.turn++
	heap.Push(&m.queue, event{m.now.Add(pause), m.turn, do})
}

func (m *model) run(length time.Duration) {
	end := m.now.Add(length)
	for len(m.queue) > 0 {
		next := heap.Pop(&m.queue).(event)
		if next.at.After(end) {
			break
		}
		m.now = next.at
		next.do()
	}
	m.now = end
}

// begin starts a holder's term. Daemons turn to it within a while.
func (m *model) begin(first bool, within time.Duration) {
	m.holder = &modelHolder{ledger: NewLedger(m.bounds, first, m.now)}
	m.holder.ledger.SetLimits(m.limits, m.now)
	for _, daemon := range m.daemons {
		m.after(m.delay(daemon)+time.Duration(m.random.Float64()*float64(within)), func() { m.connect(daemon) })
	}
}

// connect lets a daemon introduce itself to the holder.
func (m *model) connect(daemon *modelDaemon) {
	if m.holder == nil || daemon.cut || daemon.holder == m.holder {
		return
	}
	daemon.account.HandleDisconnect()
	daemon.holder = m.holder
	number, used := daemon.account.ReportUsage()
	credits, holder, account, name := daemon.account.Credits(m.now), m.holder, daemon.account, daemon.name
	m.after(m.delay(daemon), func() {
		if holder.over || daemon.holder != holder {
			return
		}
		m.report(holder, name, used)
		holder.ledger.Adopt(name, credits, m.now)
		account.ConfirmReport(number)
	})
}

const modelBeat = 2 * time.Second

// beat lets a daemon speak now and then.
func (m *model) beat(daemon *modelDaemon) {
	m.after(modelBeat, func() { m.beat(daemon) })
	if daemon.holder == nil || daemon.cut || daemon.frozen.After(m.now) {
		return
	}
	name, account, holder := daemon.name, daemon.account, daemon.holder
	number, used := account.ReportUsage()
	m.after(m.delay(daemon), func() {
		if holder.over || daemon.holder != holder {
			return
		}
		account.ConfirmReport(number)
		m.report(holder, name, used)
		holder.ledger.RecordContact(name, m.now)
	})
}

func (m *model) report(holder *modelHolder, name string, used map[string]float64) {
	for tenant, amount := range used {
		holder.ledger.RecordUsage(name, tenant, amount, m.now)
	}
}

// end takes the holder away.
func (m *model) end() {
	if m.holder != nil {
		m.holder.over = true
	}
	m.holder = nil
	for _, daemon := range m.daemons {
		daemon.holder = nil
	}
}

// delay is how long a message takes: its time on the way, and until its receiver goes on.
func (m *model) delay(daemon *modelDaemon) time.Duration {
	took := time.Duration(m.random.ExpFloat64() * float64(4*time.Millisecond))
	if daemon.frozen.After(m.now) {
		took += daemon.frozen.Sub(m.now)
	}
	return took
}

const modelPatience = 150 * time.Millisecond

// request lets a tenant's request come to a daemon; failing tells that no replica runs it.
func (m *model) request(daemon *modelDaemon, tenant string, cost float64, failing bool) {
	if daemon.frozen.After(m.now) {
		return
	}
	if m.ideal != nil && tenant == "one" {
		m.ideal.ask(cost, m.now)
	}
	m.asked[tenant] += cost
	m.requests[tenant]++
	if daemon.holder == nil || daemon.cut {
		m.useAhead(daemon, tenant, cost)
		return
	}
	ask := daemon.account.Request(tenant, cost, m.now)
	number, used := daemon.account.ReportUsage()
	holder, account, name := daemon.holder, daemon.account, daemon.name
	settled := false
	m.after(m.delay(daemon), func() {
		if holder.over || daemon.holder != holder {
			return
		}
		m.report(holder, name, used)
		account.ConfirmReport(number)
		unsure := holder.unsure
		answer := m.answer(holder, name, ask)
		m.after(m.delay(daemon), func() {
			if daemon.holder != holder || daemon.account != account {
				return
			}
			if unused := account.ApplyAnswer(answer, m.now); unused != nil {
				m.after(m.delay(daemon), func() { holder.ledger.Return(*unused) })
				return
			}
			if unsure {
				m.returnCredit(daemon, holder)
			}
			if !settled {
				settled = true
				m.decide(daemon, ask, answer, holder, failing)
			}
		})
	})
	m.after(modelPatience, func() {
		if !settled {
			settled = true
			account.Abandon(ask.ID)
			m.useAhead(daemon, tenant, cost)
		}
	})
}

func (m *model) answer(holder *modelHolder, name string, ask Request) Answer {
	if holder.unsure {
		return holder.ledger.AnswerUncertain(name, ask, m.now)
	}
	return holder.ledger.Answer(name, ask, m.now)
}

// returnCredit lets a daemon return the credit that its holder calls in.
func (m *model) returnCredit(daemon *modelDaemon, holder *modelHolder) {
	name, returned := daemon.name, daemon.account.ReturnCredits(m.now)
	m.after(m.delay(daemon), func() {
		if !holder.over && daemon.holder == holder {
			holder.ledger.AcceptReturned(name, returned, m.now)
		}
	})
}

func (m *model) decide(daemon *modelDaemon, ask Request, answer Answer, holder *modelHolder, failing bool) {
	switch {
	case answer.Granted && failing:
		holder.ledger.Return(Refund{Tenant: ask.Tenant, Cost: ask.Cost, Slot: answer.Slot})
	case answer.Granted:
		m.admit(ask.Tenant, ask.Cost)
	case answer.Unsettled:
		m.useAhead(daemon, ask.Tenant, ask.Cost)
	default:
		m.refused[ask.Tenant]++
	}
}

func (m *model) useAhead(daemon *modelDaemon, tenant string, cost float64) {
	if daemon.account.UseCredit(tenant, cost, m.now) {
		m.admit(tenant, cost)
		return
	}
	m.refused[tenant]++
}

func (m *model) admit(tenant string, cost float64) {
	m.granted[tenant] += cost
	m.admitted[tenant] = append(m.admitted[tenant], admission{m.now, cost})
}

// worst returns the most that was admitted in any window, as a share of what may be.
func (m *model) worst(tenant string) float64 {
	most := m.bounds.divide(m.limits[tenant]).most
	first, sum, worst := 0, 0.0, 0.0
	all := m.admitted[tenant]
	for _, one := range all {
		sum += one.cost
		for one.at.Sub(all[first].at) > m.bounds.Window {
			sum -= all[first].cost
			first++
		}
		worst = max(worst, sum/most)
	}
	return worst
}

// demand lets requests of a tenant come at a rate, on daemons that its callers use.
func (m *model) demand(tenant string, perSecond func() float64, users []*modelDaemon, failing float64) {
	const meanCost = 1600.0
	var next func()
	next = func() {
		cost := 200.0
		if m.random.Float64() < 0.7 {
			cost = min(5000, 300+m.random.ExpFloat64()*meanCost)
		}
		m.request(users[m.random.IntN(len(users))], tenant, cost, m.random.Float64() < failing)
		const mean = 0.7*(300+meanCost) + 0.3*200
		m.after(time.Duration(m.random.ExpFloat64()*mean/perSecond()*float64(time.Second)), next)
	}
	m.after(time.Duration(m.random.Float64()*float64(time.Second)), next)
}

func (m *model) someDaemons(most int) []*modelDaemon {
	users := make([]*modelDaemon, 0, most)
	for range 1 + m.random.IntN(most) {
		users = append(users, m.daemons[m.random.IntN(len(m.daemons))])
	}
	return users
}

// trouble makes holders, daemons and paths fail at random moments.
func (m *model) trouble(length time.Duration) {
	moment := func() time.Duration { return time.Duration(m.random.Float64() * float64(length)) }
	for range m.random.IntN(4) {
		m.after(moment(), func() {
			m.end()
			m.after(time.Duration(m.random.Float64()*4*float64(time.Second)), func() {
				if m.holder == nil {
					m.begin(false, 0)
				}
			})
		})
	}
	for range m.random.IntN(3) {
		m.after(moment(), func() { m.becomeUnsure() })
	}
	for range m.random.IntN(60) {
		daemon := m.daemons[m.random.IntN(len(m.daemons))]
		length := time.Duration(m.random.Float64() * 10 * float64(time.Second))
		switch m.random.IntN(3) {
		case 0:
			m.after(moment(), func() {
				daemon.cut, daemon.holder = true, nil
				m.after(length, func() { daemon.cut = false; m.connect(daemon) })
			})
		case 1:
			m.after(moment(), func() { daemon.frozen = m.now.Add(length) })
		case 2: // killed and started again: another process, without credit
			m.after(moment(), func() {
				m.turn++
				daemon.name = fmt.Sprintf("%s.%d", daemon.name, m.turn)
				daemon.account, daemon.holder = NewAccount(m.bounds), nil
				m.connect(daemon)
			})
		}
	}
}

// becomeUnsure lets a holder's lease run out. It is renewed, or another holder begins while
// the first goes on with what it called in.
func (m *model) becomeUnsure() {
	holder := m.holder
	if holder == nil || holder.unsure {
		return
	}
	holder.unsure = true
	length := time.Duration(m.random.Float64() * 5 * float64(time.Second))
	another := m.random.Float64() < 0.5
	m.after(length/2, func() {
		if another && m.holder == holder {
			m.begin(false, 2*time.Second)
		}
	})
	m.after(length, func() {
		if another {
			holder.over = true
		}
		holder.unsure = false
	})
}

func TestNoWindowIsEverOver(t *testing.T) {
	const (
		seeds   = 1000
		daemons = 300
		length  = 24 * time.Second
	)
	for seed := range uint64(seeds) {
		small := Limit{PerSecond: 2700, Burst: 2700}
		large := Limit{PerSecond: 20_000 + 60_000*float64(seed%3), Burst: 20_000}
		m := newModel(seed, daemons, map[string]Limit{"small": small, "large": large})
		for tenant, limit := range m.limits {
			hot := 0.5 + 5*m.random.Float64()
			from := m.now.Add(time.Duration(m.random.Float64() * float64(length)))
			m.demand(tenant, func() float64 {
				if m.now.After(from) {
					return hot * limit.PerSecond
				}
				return limit.PerSecond / 2
			}, m.someDaemons(40), 0.1*m.random.Float64())
		}
		m.trouble(length)
		m.run(length)
		for tenant := range m.limits {
			require.LessOrEqual(t, m.worst(tenant), 1.0, "seed %d, %s", seed, tenant)
		}
	}
}

func TestATenantThatAsksTwiceItsLimitGetsNearlyAllOfIt(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 2700, Burst: 2700}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(1, 300, map[string]Limit{"one": limit})
		m.demand("one", func() float64 { return 2 * limit.PerSecond }, m.daemons, 0)
		const length = 60 * time.Second
		m.run(length)
		require.GreaterOrEqual(t, m.granted["one"], 0.95*limit.PerSecond*length.Seconds())
		require.LessOrEqual(t, m.worst("one"), 1.0)
	}
}

// idealBucket is what a limit says, kept at one place: requests it refuses are beyond the
// limit.
type idealBucket struct {
	limit   Limit
	level   float64
	at      time.Time
	refused int
}

func (b *idealBucket) ask(cost float64, now time.Time) {
	b.level = min(b.limit.Burst, b.level+b.limit.PerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < cost {
		b.refused++
		return
	}
	b.level -= cost
}

func TestATenantBelowItsLimitIsHardlyEverRefused(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 20_000, Burst: 20_000}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(2, 300, map[string]Limit{"one": limit, "other": limit})
		m.ideal = &idealBucket{limit: limit, level: limit.Burst, at: m.now}
		m.demand("one", func() float64 { return 0.9 * limit.PerSecond }, m.daemons, 0)
		m.demand("other", func() float64 { return 6 * limit.PerSecond }, m.daemons, 0)
		m.run(60 * time.Second)
		beneath := m.refused["one"] - m.ideal.refused
		require.LessOrEqual(t, float64(beneath)/float64(m.requests["one"]), 1.0/200, "%d refused, %d of them beyond the limit", m.refused["one"], m.ideal.refused)
	}
}

// While the holder is lost, tenants that ask what is usual are served from credit.
func TestUsualRequestsGoOnWhileTheHolderIsLost(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 2700, Burst: 2700}, {PerSecond: 176_000, Burst: 176_000}} {
		m := newModel(3, 87, map[string]Limit{"one": limit})
		m.ideal = &idealBucket{limit: limit, level: limit.Burst, at: m.now}
		m.demand("one", func() float64 { return 0.55 * limit.PerSecond }, m.daemons[:1+int(limit.PerSecond/4000)], 0)
		m.run(16 * time.Second)
		require.LessOrEqual(t, m.refused["one"], m.ideal.refused)
		m.end()
		asked, refused := m.requests["one"], m.refused["one"]
		m.run(time.Second)
		asked, refused = m.requests["one"]-asked, m.refused["one"]-refused
		require.Less(t, float64(refused)/float64(max(1, asked)), 0.3, "of %d requests", asked)
	}
}
