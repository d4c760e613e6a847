package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model is a service under a request that ends replicas, in steps of time: requests run beside
// each other on a few replicas, and those that were there when one ended are tried once more.
type model struct {
	allowed  int           // ends under a request before it is withheld
	spreads  time.Duration // until all daemons know of an end
	replicas int           // that hold the model
	every    time.Duration // between attempts of the request that ends replicas
	random   *rand.Rand

	now     time.Duration
	back    []time.Duration // when each replica runs again
	life    []int           // incarnation of each replica
	running []*attempt
	coming  []*attempt // that their callers try again
	words   []word
	ledger  *ledger
	result  cost
}

type attempt struct {
	request int // 0 ends replicas
	replica int
	until   time.Duration
	runs    int // of the present try of its caller
	tries   int // of its caller
}

// word is an end that daemons will know of.
type word struct {
	at      time.Duration
	replica string
	request int
}

// cost is what one request costs that ends replicas.
type cost struct{ requests, ended, lost, withheld int }

const (
	step       = 10 * time.Millisecond
	runTime    = 3 * time.Second
	backTime   = 4 * time.Second
	endsAfter  = 100 * time.Millisecond
	perSecond  = 12.0
	mostRuns   = 2 // of one try
	mostTries  = 2 // of its caller
	modelledIn = 2 * time.Minute
)

func (m *model) play() cost {
	m.back, m.life, m.ledger = make([]time.Duration, m.replicas), make([]int, m.replicas), newLedger()
	next := m.every
	for ; m.now < modelledIn; m.now += step {
		m.hear()
		m.finish()
		again := m.coming
		m.coming = nil
		for _, one := range again {
			m.start(one)
		}
		if m.random.Float64() < perSecond*step.Seconds() {
			m.result.requests++
			m.start(&attempt{request: m.result.requests})
		}
		if m.now >= next {
			next += m.every
			m.start(&attempt{})
		}
	}
	return m.result
}

// hear takes in what daemons know by now.
func (m *model) hear() {
	for len(m.words) > 0 && m.words[0].at <= m.now {
		one := m.words[0]
		m.words = m.words[1:]
		m.ledger.put(fmt.Sprint(one), reportOf(map[string][]int{one.replica: {one.request}}), int64(m.now), start.Add(m.now))
	}
}

// start sends an attempt to a replica, unless its request is withheld.
func (m *model) start(one *attempt) {
	if m.ledgerSays(one.request) {
		if one.request != 0 {
			m.result.withheld++
		}
		return
	}
	one.replica = m.random.IntN(m.replicas)
	for tries := 0; m.back[one.replica] > m.now && tries < m.replicas; tries++ {
		one.replica = (one.replica + 1) % m.replicas
	}
	if m.back[one.replica] > m.now {
		m.lose(one)
		return
	}
	one.runs++
	one.until = m.now + runTime
	if one.request == 0 {
		one.until = m.now + endsAfter
	}
	m.running = append(m.running, one)
}

func (m *model) ledgerSays(request int) bool {
	return len(m.ledger.against(named(request)).Replicas) >= m.allowed
}

// finish ends what is due.
func (m *model) finish() {
	for index := 0; index < len(m.running); index++ {
		one := m.running[index]
		if one.until > m.now {
			continue
		}
		m.running = append(m.running[:index], m.running[index+1:]...)
		index = -1
		if one.request == 0 {
			m.end(one)
		}
	}
}

// end ends a replica with all that it has.
func (m *model) end(under *attempt) {
	m.result.ended++
	m.life[under.replica]++
	m.back[under.replica] = m.now + backTime
	there := []*attempt{under}
	rest := m.running[:0]
	for _, one := range m.running {
		if one.replica == under.replica {
			there = append(there, one)
		} else {
			rest = append(rest, one)
		}
	}
	m.running = rest
	for _, one := range there {
		m.words = append(m.words, word{m.now + m.spreads, fmt.Sprintf("r%d.%d", under.replica, m.life[under.replica]), one.request})
	}
	for _, one := range there {
		if one.runs < mostRuns {
			m.start(one)
		} else {
			m.lose(one)
		}
	}
}

// lose ends a try without an answer; the caller may try once more.
func (m *model) lose(one *attempt) {
	if one.tries++; one.tries < mostTries && one.request != 0 {
		one.runs = 0
		m.coming = append(m.coming, one)
		return
	}
	if one.request != 0 {
		m.result.lost++
	}
}

// TestTheCostOfARequestThatEndsReplicas holds the figures of docs/design/quarantine.md: what one
// such request costs in two minutes, by how many ends are allowed and how soon all know of one.
func TestTheCostOfARequestThatEndsReplicas(t *testing.T) {
	const seeds = 20
	for _, allowed := range []int{1, 2, CrashThreshold, 4, 1000} {
		for _, spreads := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			var sum cost
			for seed := range uint64(seeds) {
				made := &model{allowed: allowed, spreads: spreads, replicas: 3, every: 1500 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
				got := made.play()
				sum.requests += got.requests
				sum.ended += got.ended
				sum.lost += got.lost
				sum.withheld += got.withheld
			}
			t.Logf("ends allowed %4d, known after %4s: replicas ended %5.1f, of %d other requests lost %5.1f, withheld %5.2f",
				allowed, spreads, float64(sum.ended)/seeds, sum.requests/seeds, float64(sum.lost)/seeds, float64(sum.withheld)/seeds)
			if allowed == CrashThreshold && spreads <= 500*time.Millisecond {
				require.LessOrEqual(t, sum.ended, seeds*(CrashThreshold+1))
				require.LessOrEqual(t, sum.withheld, seeds, "of those that merely ran beside")
			}
		}
	}
}
