package permit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/testwindow"
)

// The model plays daemons with requests for one replica, the owner that they ask, and messages that take
// time, are lost, or wait for a process that stands still, against a plain oracle: when messages arrived
// at the replica.

// way is how daemons share a limit.
type way int

const (
	owned way = iota // the owner's permits, and shares where no owner answers
	even             // each daemon its even share of the limit, from an empty start
	alone            // each daemon as if the limit were its own
)

func (w way) String() string { return [...]string{"owned", "even", "alone"}[w] }

const (
	modelWindow   = 4 * time.Second
	modelHop      = 2 * time.Millisecond   // mean, one way
	modelConnect  = 400 * time.Millisecond // a connection that opens slowly
	modelPatience = 150 * time.Millisecond // with the owner
	modelSilent   = 6 * time.Second        // from which on daemons use their shares
)

// modelOwner is an owner's term.
type modelOwner struct {
	book   *Pacer
	frozen time.Time // until when it stands still
	over   bool
}

type modelDaemon struct {
	shares *LocalShares
	owner  *modelOwner // that it asks; nil: none
	heard  time.Time   // when an owner last answered
	frozen time.Time   // until when it stands still
	next   time.Time   // turn by its own count, for the other ways
}

type model struct {
	way       way
	perSecond float64
	mutex     sync.Mutex // guards all of it
	random    *rand.Rand
	daemons   []*modelDaemon
	owner     *modelOwner
	lossy     float64 // share of the answers that are lost
	arrivals  []time.Time
	asked     int // questions to owners
}

func newModel(way way, seed uint64, daemons int, perSecond float64) *model {
	m := &model{way: way, perSecond: perSecond, random: rand.New(rand.NewPCG(seed, 3))}
	m.owner = &modelOwner{book: NewPacer(true, time.Now())}
	for range daemons {
		pause := float64(daemons) / perSecond * float64(time.Second)
		m.daemons = append(m.daemons, &modelDaemon{shares: NewLocalShares(m.random.Float64), owner: m.owner, heard: time.Now(),
			next: time.Now().Add(time.Duration(m.random.Float64() * pause))})
	}
	return m
}

// locked runs a step of the model that no other step may interrupt.
func (m *model) locked(do func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	do()
}

func (m *model) hop() {
	var took time.Duration
	m.locked(func() { took = time.Duration(m.random.ExpFloat64() * float64(modelHop)) })
	time.Sleep(took)
}

// callers lets requests come to random daemons until a moment, in all so many a second.
func (m *model) callers(perSecond float64, patience time.Duration, until time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(until) {
		var pause time.Duration
		var daemon *modelDaemon
		m.locked(func() {
			pause = time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
			daemon = m.daemons[m.random.IntN(len(m.daemons))]
		})
		time.Sleep(pause)
		group.Go(func() { m.request(daemon, patience) })
	}
	group.Wait()
}

// request leads one request to the replica, or gives it up.
func (m *model) request(daemon *modelDaemon, patience time.Duration) {
	for end := time.Now().Add(patience); ; {
		asked := time.Now()
		answer := m.ask(daemon, time.Until(end))
		if !answer.Granted {
			if time.Now().Add(answer.RetryIn).After(end) {
				return
			}
			time.Sleep(answer.RetryIn)
			continue
		}
		until := asked.Add(answer.Delay + Validity)
		time.Sleep(answer.Delay)
		m.connect()
		m.awake(&daemon.frozen)
		if time.Now().After(until) {
			continue // its turn has passed
		}
		m.hop()
		m.locked(func() { m.arrivals = append(m.arrivals, time.Now()) })
		return
	}
}

// connect opens a connection, which one in twenty times takes long.
func (m *model) connect() {
	slow := false
	m.locked(func() { slow = m.random.IntN(20) == 0 })
	if slow {
		time.Sleep(modelConnect)
	}
}

// awake waits until a process goes on that stands still.
func (m *model) awake(frozen *time.Time) {
	var until time.Time
	m.locked(func() { until = *frozen })
	time.Sleep(time.Until(until))
}

func (m *model) ask(daemon *modelDaemon, patience time.Duration) (answer Answer) {
	asked := Request{Replica: fleet.Incarnation{ID: "r1"}, PerSecond: m.perSecond, MaxWait: patience}
	if m.way != owned {
		m.locked(func() { answer = m.byItself(daemon) })
		return answer
	}
	began := time.Now()
	var owner *modelOwner
	m.locked(func() { owner = daemon.owner })
	if owner != nil {
		if answer, answered := m.askOwner(daemon, owner, asked, began); answered {
			return answer
		}
	}
	m.locked(func() {
		answer = Answer{RetryIn: 300 * time.Millisecond}
		if time.Since(daemon.heard) > modelSilent {
			answer = daemon.shares.Request(asked, len(m.daemons), time.Now())
		}
	})
	return answer
}

// askOwner asks the owner; answered is false if no answer came in time.
func (m *model) askOwner(daemon *modelDaemon, owner *modelOwner, asked Request, began time.Time) (answer Answer, answered bool) {
	m.hop()
	m.awake(&owner.frozen)
	m.locked(func() {
		if owner.over || daemon.owner != owner {
			return
		}
		m.asked++
		answer, answered = owner.book.Request(asked, m.reached(owner), time.Now()), true
	})
	m.hop()
	m.awake(&daemon.frozen)
	m.locked(func() {
		lost := answered && m.random.Float64() < m.lossy
		answered = answered && !lost
	})
	if late := modelPatience - time.Since(began); late > 0 && !answered {
		time.Sleep(late)
	}
	if time.Since(began) > 2*modelPatience { // the request has given it up
		answered = false
	}
	if answered {
		m.locked(func() {
			daemon.heard = time.Now()
			daemon.shares.Reset()
		})
	}
	return answer, answered
}

// reached returns the share of the daemons that ask an owner.
func (m *model) reached(owner *modelOwner) float64 {
	asking := 0
	for _, one := range m.daemons {
		if one.owner == owner {
			asking++
		}
	}
	return float64(asking) / float64(len(m.daemons))
}

// byItself is the answer of the ways without an owner.
func (m *model) byItself(daemon *modelDaemon) Answer {
	pause := time.Duration(float64(time.Second) / m.perSecond)
	if m.way == even {
		pause *= time.Duration(len(m.daemons))
	}
	now := time.Now()
	if now.Before(daemon.next) {
		return Answer{RetryIn: daemon.next.Sub(now)}
	}
	daemon.next = now.Add(pause)
	return Answer{Granted: true}
}

// lose takes the owner away; another begins after a while, and daemons turn to it one after the other.
func (m *model) lose(vacant time.Duration) {
	m.locked(func() {
		m.owner.over = true
		for _, one := range m.daemons {
			one.owner = nil
		}
	})
	time.Sleep(vacant)
	m.locked(func() { m.owner = &modelOwner{book: NewPacer(false, time.Now())} })
	for _, one := range m.daemons {
		m.locked(func() { one.owner = m.owner })
		time.Sleep(200 * time.Millisecond / time.Duration(len(m.daemons)))
	}
}

// bound is what the aim allows within a window: the rate, what is saved up, and for messages on their way
// what comes at the rate in the life of a permit.
func bound(perSecond float64) int {
	return int(perSecond*(modelWindow+Validity).Seconds()) + saved
}

var modelSizes = []int{1, 9, 69, 985}

func TestWhatAllDaemonsSendStaysWithinTheLimitAndUsesIt(t *testing.T) {
	const length = 60 * time.Second
	for _, daemons := range modelSizes {
		for _, perSecond := range []float64{0.25, 1, 5, 40} {
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(owned, 1, daemons, perSecond)
					m.lossy = 0.02
					m.callers(3*perSecond, 5*time.Second, time.Now().Add(length))
					require.LessOrEqual(t, testwindow.Most(m.arrivals, modelWindow), bound(perSecond))
					require.GreaterOrEqual(t, float64(len(m.arrivals)), 0.9*perSecond*length.Seconds(), "callers want more")
				})
			})
		}
	}
}

func TestLostAndFrozenOwnersAndDaemonsKeepTheLimit(t *testing.T) {
	const length = 60 * time.Second
	for _, daemons := range modelSizes {
		for seed := range uint64(6) {
			perSecond := []float64{1, 4, 20}[seed%3]
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(owned, seed, daemons, perSecond)
					m.lossy = 0.1
					go m.troubles(length)
					m.callers(3*perSecond, 2*time.Second, time.Now().Add(length))
					require.LessOrEqual(t, testwindow.Most(m.arrivals, modelWindow), bound(perSecond))
					require.Positive(t, len(m.arrivals))
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// troubles loses owners, for short and for long, freezes them, freezes daemons and cuts some off.
func (m *model) troubles(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		var kind int
		var pause time.Duration
		m.locked(func() {
			kind, pause = m.random.IntN(5), time.Duration(m.random.Float64()*float64(4*time.Second))
		})
		time.Sleep(pause)
		switch kind {
		case 0:
			m.lose(3 * time.Second)
		case 1:
			m.lose(12 * time.Second)
		case 2:
			m.locked(func() { m.owner.frozen = time.Now().Add(2 * time.Second) })
		case 3:
			m.locked(func() { m.daemons[m.random.IntN(len(m.daemons))].frozen = time.Now().Add(3 * time.Second) })
		case 4:
			m.cutSome(10 * time.Second)
		}
	}
}

// cutSome cuts a part of the daemons off from the owner for a time.
func (m *model) cutSome(length time.Duration) {
	var cut []*modelDaemon
	m.locked(func() {
		for _, one := range m.daemons {
			if m.random.IntN(3) == 0 {
				one.owner = nil
				cut = append(cut, one)
			}
		}
	})
	time.Sleep(length)
	m.locked(func() {
		for _, one := range cut {
			one.owner = m.owner
		}
	})
}

// Of the ways that were weighed, each daemon for itself passes the limit as soon as there are several;
// even shares keep it and serve few of the requests where these come to few of the daemons.
func TestOtherWaysPassTheLimitOrWasteIt(t *testing.T) {
	const (
		perSecond = 1
		length    = 60 * time.Second
	)
	type figures struct{ most, served int }
	played := map[way]figures{}
	for _, way := range []way{owned, even, alone} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(way, 1, 69, perSecond)
			m.callers(2*perSecond, 2*time.Second, time.Now().Add(length))
			played[way] = figures{testwindow.Most(m.arrivals, modelWindow), len(m.arrivals)}
		})
	}
	t.Log(played)
	require.Greater(t, played[alone].most, bound(perSecond))
	require.Less(t, cmp.Compare(played[even].served, played[owned].served*3/4), 0)
}
