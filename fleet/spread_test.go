package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrawByCostFillsCheapestFirst(t *testing.T) {
	for name, test := range map[string]struct {
		costs    []float64
		arrivals float64
		level    float64
	}{
		"one request goes to the cheapest candidate": {[]float64{7, 3, 9}, 1, 4},
		"two candidates are filled to the same cost": {[]float64{7, 3, 9}, 6, 8},
		"all candidates are filled":                  {[]float64{7, 3, 9}, 20, 13},
		"equal candidates get equal shares":          {[]float64{5, 5}, 4, 7},
		"a single candidate gets all requests":       {[]float64{5}, 4, 9},
	} {
		require.InDelta(t, test.level, fillLevel(test.costs, test.arrivals), 1e-9, name)
	}
	counts := make([]int, 3)
	const draws = 9000
	for draw := range draws {
		counts[drawByCost([]float64{7, 3, 9}, 6, (float64(draw)+0.5)/draws)]++
	}
	require.Equal(t, []int{draws / 6, draws * 5 / 6, 0}, counts, "the candidates get 1, 5 and 0 of 6 requests")
	require.Equal(t, 1, drawByCost([]float64{7, 3, 9}, 1, 0.999999))
}

// simulation models many daemons that send requests to the copies of one model. Each daemon knows the
// other daemons' requests as of the last update.
type simulation struct {
	choose func(costs []float64, arrivals float64) int
	random *rand.Rand
	copies int
}

// saturated returns the share of requests that arrive at a copy without a free slot.
func (s simulation) saturated(perSecond, runSeconds, updateSeconds float64, slots int) float64 {
	const steps, stepSeconds = 60_000, 0.002
	running, reported := make([]int, s.copies), make([]float64, s.copies)
	arrivals, saturated := 0, 0
	for step := range steps {
		if step%int(updateSeconds/stepSeconds) == 0 {
			for index, count := range running {
				reported[index] = float64(count)
			}
		}
		for index, count := range running {
			for range count {
				if s.random.Float64() < stepSeconds/runSeconds {
					running[index]--
				}
			}
		}
		if s.random.Float64() < perSecond*stepSeconds {
			chosen := s.choose(reported, perSecond*updateSeconds)
			running[chosen]++
			arrivals++
			if running[chosen] > slots {
				saturated++
			}
		}
	}
	return float64(saturated) / float64(arrivals)
}

// Guards against all daemons overloading the same copy between two updates.
func TestDrawByCostSaturatesLessThanTwoChoices(t *testing.T) {
	const perSecond, runSeconds, updateSeconds, slots = 30.0, 1.0, 0.65, 24
	for _, copies := range []int{2, 3, 5} {
		random := rand.New(rand.NewPCG(1, uint64(copies)))
		byCost := simulation{random: random, copies: copies, choose: func(costs []float64, arrivals float64) int {
			return drawByCost(costs, arrivals, random.Float64())
		}}
		twoChoices := simulation{random: random, copies: copies, choose: func(costs []float64, _ float64) int {
			pair := random.Perm(len(costs))[:2]
			return slices.MinFunc(pair, func(a, b int) int { return int(costs[a] - costs[b]) })
		}}
		slotsEach := slots * 2 / copies // the total number of slots is constant
		twoChoicesShare, drawShare := twoChoices.saturated(perSecond, runSeconds, updateSeconds, slotsEach), byCost.saturated(perSecond, runSeconds, updateSeconds, slotsEach)
		t.Logf("%d copies: saturated share %.3f with two choices, %.3f with drawByCost", copies, twoChoicesShare, drawShare)
		require.Less(t, drawShare, twoChoicesShare)
	}
}

func TestUpdateIntervalIsLearned(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil))
	at := testTime
	for range 60 {
		directory.SetRemoteInflight("r1", 5, at)
		directory.SetRemoteInflight("r2", 5, at.Add(time.Millisecond)) // part of the same update
		at = at.Add(650 * time.Millisecond)
	}
	require.InDelta(t, 0.65, directory.updateInterval.Seconds(), 0.01)
	candidates := []*Replica{directory.replicas["r1"], directory.replicas["r2"]}
	now := at.Add(-600 * time.Millisecond)
	require.Equal(t, 1.0, directory.expectedArrivals(candidates, now), "no request has ended yet")
	directory.meanRunTime["press"] = 2 * time.Second
	require.InDelta(t, 10*0.95/2, directory.expectedArrivals(candidates, now), 0.1)
	require.Equal(t, 1.0, directory.expectedArrivals(candidates, now.Add(2*remoteInflightTTL)), "the last update is too old")
}
