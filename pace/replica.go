package pace

import (
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// observation is the logarithm of a speed and when it was seen.
type observation struct {
	logSpeed float64
	at       time.Time
}

// replica is what is known of one incarnation.
type replica struct {
	service string
	group   *service
	samples []observation // in the order of time, at most sampleLimit; not empty
	speed   float64       // the estimate, in prompt tokens a second
}

// add takes an observation made at a time into account.
func (r *replica) add(logSpeed float64, at, now time.Time) {
	index := len(r.samples)
	for index > 0 && r.samples[index-1].at.After(at) {
		index--
	}
	r.samples = slices.Insert(r.samples, index, observation{logSpeed, at})
	for len(r.samples) > sampleLimit || r.oldestIsDispensable() {
		r.samples = slices.Delete(r.samples, 0, 1)
	}
	r.updateSpeed(now)
}

// oldestIsDispensable reports whether enough newer answers than an old one are known.
func (r *replica) oldestIsDispensable() bool {
	return len(r.samples) > enoughSamples && r.latestAt().Sub(r.samples[0].at) > sampleLife
}

func (r *replica) latestAt() time.Time { return r.samples[len(r.samples)-1].at }

// updateSpeed computes the estimate. A few answers are joined by the median of the service's replicas; one
// that lacks the latest replicas suffices, so that many estimates are adopted quickly.
func (r *replica) updateSpeed(now time.Time) {
	logs := make([]float64, 0, sampleLimit+1)
	for _, sample := range r.samples {
		logs = append(logs, sample.logSpeed)
	}
	if len(logs) < enoughSamples {
		if r.group.median == 0 {
			r.group.compute(now)
		}
		if r.group.median > 0 {
			logs = append(logs, math.Log(r.group.median))
		}
	}
	r.group.isStale = r.group.isStale || r.speed == 0
	r.speed = math.Exp(median(logs))
}

// ownShare is the weight of the replica's own answers against its service's median.
func (r *replica) ownShare(now time.Time) float64 {
	silence := now.Sub(r.latestAt())
	if silence <= trustedSilence {
		return 1
	}
	return max(0, float64(maxSilence-silence)/float64(maxSilence-trustedSilence))
}

// service is the replicas of one service that have answered.
type service struct {
	replicas   map[fleet.Incarnation]*replica
	median     float64 // of their speeds; zero until it is computed
	computedAt time.Time
	isStale    bool // a replica was added since
}

// medianSpeed returns the median of the replicas' speeds, not older than medianInterval or the latest
// replica.
func (s *service) medianSpeed(now time.Time) float64 {
	if s.isStale || s.median == 0 || now.Sub(s.computedAt) >= medianInterval {
		s.compute(now)
	}
	return s.median
}

// compute computes the median.
func (s *service) compute(now time.Time) {
	speeds := make([]float64, 0, len(s.replicas))
	for _, r := range s.replicas {
		if r.speed > 0 {
			speeds = append(speeds, r.speed)
		}
	}
	s.median, s.computedAt, s.isStale = median(speeds), now, false
}

// median returns the middle of values, and zero without any; it sorts them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
