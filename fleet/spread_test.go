package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsFillTheCheapestFirst(t *testing.T) {
	for name, test := range map[string]struct {
		costs  []float64
		coming float64
		level  float64
	}{
		"one request goes to the cheapest":  {[]float64{7, 3, 9}, 1, 4},
		"two are filled evenly":             {[]float64{7, 3, 9}, 6, 8},
		"all are filled":                    {[]float64{7, 3, 9}, 20, 13},
		"equal ones take the same":          {[]float64{5, 5}, 4, 7},
		"one candidate takes all there are": {[]float64{5}, 4, 9},
	} {
		require.InDelta(t, test.level, fillLevel(test.costs, test.coming), 1e-9, name)
	}
	counts := make([]int, 3)
	const draws = 9000
	for draw := range draws {
		counts[spread([]float64{7, 3, 9}, 6, (float64(draw)+0.5)/draws)]++
	}
	require.Equal(t, []int{draws / 6, draws * 5 / 6, 0}, counts, "shares of 1 and 5 of 6 requests")
	require.Equal(t, 1, spread([]float64{7, 3, 9}, 1, 0.999999))
}

// simulated is a fleet of many daemons before the copies of one model. Each knows of the
// others' requests what was last told.
type simulated struct {
	choose func(costs []float64, coming float64) int
	random *rand.Rand
	copies int
}

// crowded returns the share of requests that find more requests than places on their copy.
func (s simulated) crowded(perSecond, runSeconds, wordSeconds float64, places int) float64 {
	const steps, stepSeconds = 60_000, 0.002
	running, told := make([]int, s.copies), make([]float64, s.copies)
	arrivals, crowded := 0, 0
	for step := range steps {
		if step%int(wordSeconds/stepSeconds) == 0 {
			for index, count := range running {
				told[index] = float64(count)
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
			chosen := s.choose(told, perSecond*wordSeconds)
			running[chosen]++
			arrivals++
			if running[chosen] > places {
				crowded++
			}
		}
	}
	return float64(crowded) / float64(arrivals)
}

// Seen on scale-2 of Andina large: of two copies of a model with 30 arrivals a second one got
// 25 of 29 in one second, and the other 34 of 36 in the next.
func TestSpreadRequestsCrowdCopiesLessThanTheBetterOfTwoDoes(t *testing.T) {
	const perSecond, runSeconds, wordSeconds, places = 30.0, 1.0, 0.65, 24
	for _, copies := range []int{2, 3, 5} {
		random := rand.New(rand.NewPCG(1, uint64(copies)))
		filled := simulated{random: random, copies: copies, choose: func(costs []float64, coming float64) int {
			return spread(costs, coming, random.Float64())
		}}
		betterOfTwo := simulated{random: random, copies: copies, choose: func(costs []float64, _ float64) int {
			drawn := random.Perm(len(costs))[:2]
			return slices.MinFunc(drawn, func(a, b int) int { return int(costs[a] - costs[b]) })
		}}
		share := places * 2 / copies // the same load on each number of copies
		before, after := betterOfTwo.crowded(perSecond, runSeconds, wordSeconds, share), filled.crowded(perSecond, runSeconds, wordSeconds, share)
		t.Logf("%d copies: %.3f crowded by the better of two, %.3f spread", copies, before, after)
		require.Less(t, after, before)
	}
}

func TestThePauseBetweenWordsIsLearned(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil))
	at := start
	for range 60 {
		directory.SetRemoteInflight("r1", 5, at)
		directory.SetRemoteInflight("r2", 5, at.Add(time.Millisecond)) // a part of the same word
		at = at.Add(650 * time.Millisecond)
	}
	require.InDelta(t, 0.65, directory.wordPause.Seconds(), 0.01)
	candidates := []*Replica{directory.members["r1"], directory.members["r2"]}
	now := at.Add(-600 * time.Millisecond)
	require.Equal(t, 1.0, directory.coming(candidates, now), "no run has ended yet")
	directory.runTime["press"] = 2 * time.Second
	require.InDelta(t, 10*0.95/2, directory.coming(candidates, now), 0.1)
	require.Equal(t, 1.0, directory.coming(candidates, now.Add(2*othersTime)), "the word is too old")
}
