// Package pace estimates how quickly replicas read prompts, from the answers they gave. It has no clock
// and no I/O.
//
// The estimate of a replica is the median of its latest answers, so that a few answers with a cache hit or
// a disturbance do not move it. A change of speed is believed after changeAnswers answers, or after two if
// the answers before are older than sampleLife.
package pace

import (
	"math"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

const (
	// DefaultTokensPerSecond is assumed until a replica of the service has answered.
	DefaultTokensPerSecond = 38_000.0
	// MinSampleTokens is the shortest prompt that tells a speed; the time of shorter ones is mostly that
	// of the connection.
	MinSampleTokens = 256
	// answerTime is the time to the first byte apart from reading; at most half of a sample's time counts
	// as such.
	answerTime = 5 * time.Millisecond
	// MinTokensPerSecond and maxTokensPerSecond bound credible speeds.
	MinTokensPerSecond = 50.0
	maxTokensPerSecond = 1e6
	// sampleLimit is how many answers an estimate rests on.
	sampleLimit = 7
	// changeAnswers is how many answers at a new speed outvote the others.
	changeAnswers = sampleLimit/2 + 1
	// enoughSamples is how many answers stand for themselves; fewer are joined by the service's median.
	enoughSamples = 3
	// sampleLife is the age at which an answer yields to newer ones.
	sampleLife = time.Minute
	// trustedSilence and maxSilence are the ages of the latest answer between which an estimate moves to
	// the service's median, so that a replica avoided as slow is tried again.
	trustedSilence = time.Minute
	maxSilence     = 5 * time.Minute
	// estimateLife is the age of the latest answer after which a replica is forgotten.
	estimateLife = 15 * time.Minute
	// medianInterval bounds the age of a service's median.
	medianInterval = time.Second
)

// Sample is what an answer, or several that a replica prepared together, show of its speed.
type Sample struct {
	// Tokens is how many prompt tokens the replica had to read between the dispatch and the first byte:
	// those that it did not keep in its cache, and unread ones ahead of them.
	Tokens int
	Took   time.Duration // from the dispatch to the first byte
}

// tokensPerSecond returns the speed that a sample shows; ok is false if it is not credible.
func (s Sample) tokensPerSecond() (speed float64, ok bool) {
	if s.Tokens < MinSampleTokens || s.Took <= 0 {
		return 0, false
	}
	reading := max(s.Took-answerTime, s.Took/2)
	speed = float64(s.Tokens) / reading.Seconds()
	return speed, isCredible(speed)
}

// isCredible reports whether a replica may have a speed; it is false for NaN.
func isCredible(speed float64) bool {
	return speed >= MinTokensPerSecond && speed <= maxTokensPerSecond
}

// Estimate is the speed of a replica as one process tells it to another.
type Estimate struct {
	Replica         fleet.Incarnation
	Service         string
	TokensPerSecond float64
	Answers         int           // that it rests on
	Age             time.Duration // since the latest of them
}

// Speeds estimates the speeds of replicas. It is not safe for concurrent use.
type Speeds struct {
	replicas map[fleet.Incarnation]*replica
	services map[string]*service
	rejected int
}

// NewSpeeds returns estimates that rest on no answer.
func NewSpeeds() *Speeds {
	return &Speeds{replicas: map[fleet.Incarnation]*replica{}, services: map[string]*service{}}
}

// Observe takes an answer of a replica into account. An answer that tells no credible speed is only
// counted.
func (s *Speeds) Observe(incarnation fleet.Incarnation, serviceName string, sample Sample, now time.Time) {
	speed, ok := sample.tokensPerSecond()
	if !ok || incarnation.ID == "" {
		s.rejected++
		return
	}
	s.replica(incarnation, serviceName).add(math.Log(speed), now, now)
}

// Rejected returns how many answers and reported estimates were not used.
func (s *Speeds) Rejected() int { return s.rejected }

// Known reports whether a replica has answered. A restarted replica has not.
func (s *Speeds) Known(incarnation fleet.Incarnation) bool { return s.replicas[incarnation] != nil }

// TokensPerSecond returns the estimated speed of a replica, in prompt tokens a second.
func (s *Speeds) TokensPerSecond(incarnation fleet.Incarnation, serviceName string, now time.Time) float64 {
	r := s.replicas[incarnation]
	if r == nil {
		return s.ServiceTokensPerSecond(serviceName, now)
	}
	share := r.ownShare(now)
	if share >= 1 {
		return r.speed
	}
	common := math.Log(s.ServiceTokensPerSecond(r.service, now))
	return math.Exp(share*math.Log(r.speed) + (1-share)*common)
}

// ServiceTokensPerSecond returns the median of a service's replicas that have answered, in prompt tokens a
// second.
func (s *Speeds) ServiceTokensPerSecond(name string, now time.Time) float64 {
	known := s.services[name]
	if known == nil {
		return DefaultTokensPerSecond
	}
	return known.medianSpeed(now)
}

// Estimates returns the speeds of all replicas that have answered.
func (s *Speeds) Estimates(now time.Time) []Estimate {
	estimates := make([]Estimate, 0, len(s.replicas))
	for incarnation, r := range s.replicas {
		estimates = append(estimates, Estimate{incarnation, r.service, r.speed, len(r.samples), max(0, now.Sub(r.latestAt()))})
	}
	return estimates
}

// Adopt merges estimates of another process. A reported estimate counts as a few answers; it is left out
// if enough answers are known and none of them is older.
func (s *Speeds) Adopt(estimates []Estimate, now time.Time) {
	for _, estimate := range estimates {
		if !isCredible(estimate.TokensPerSecond) || estimate.Answers <= 0 || estimate.Age < 0 || estimate.Age > estimateLife || estimate.Replica.ID == "" {
			s.rejected++
			continue
		}
		observedAt := now.Add(-estimate.Age)
		r := s.replica(estimate.Replica, estimate.Service)
		if len(r.samples) >= enoughSamples && !observedAt.After(r.latestAt()) {
			continue
		}
		for range min(estimate.Answers, enoughSamples) {
			r.add(math.Log(estimate.TokensPerSecond), observedAt, now)
		}
	}
}

// Expire forgets replicas without recent answers.
func (s *Speeds) Expire(now time.Time) {
	for incarnation, r := range s.replicas {
		if now.Sub(r.latestAt()) > estimateLife {
			delete(s.replicas, incarnation)
			delete(r.group.replicas, incarnation)
			if len(r.group.replicas) == 0 {
				delete(s.services, r.service)
			}
		}
	}
}

// replica returns the record of a replica.
func (s *Speeds) replica(incarnation fleet.Incarnation, serviceName string) *replica {
	if r := s.replicas[incarnation]; r != nil {
		return r
	}
	known := s.services[serviceName]
	if known == nil {
		known = &service{replicas: map[fleet.Incarnation]*replica{}}
		s.services[serviceName] = known
	}
	r := &replica{service: serviceName, group: known}
	s.replicas[incarnation] = r
	known.replicas[incarnation] = r
	return r
}
