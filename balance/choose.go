package balance

import (
	"math"
	"time"
)

const (
	// harmlessShare is the part of a gap that prompts may take without a break before pauses are at risk.
	// The risk rises from there to the whole gap, since an event needs time for its own tokens as well and
	// prompts follow that nobody knows yet.
	harmlessShare = 0.7
	// breakShare is the part of the tightest gap without prompts after which the risk begins anew.
	breakShare = 0.2
	// lossCost is what a request that misses its need weighs against time.
	lossCost = 5 * time.Second
	// eventTokens is how many prompt tokens a replica reads in the time that a stream's event takes
	// without prompts, with a margin.
	eventTokens = 2_000.0
	// MaxDelay bounds the delay of an assignment, delayShare its part of the request's slack.
	MaxDelay   = time.Second
	delayShare = 0.4
	// defaultSlots is assumed of replicas whose number of slots is unknown.
	defaultSlots = 64
	// costPerOutputToken is how much longer a token of output takes when all slots of a replica of the
	// service's usual speed are taken. Its share by taken slots spreads streams over like replicas.
	costPerOutputToken  = 300 * time.Microsecond
	defaultOutputTokens = 300
	maxOutputTokens     = 1_000
)

// option is a replica for a request and the time at which it would be sent.
type option struct {
	candidate *Candidate
	speed     float64 // prompt tokens a second
	delay     float64 // seconds, like all times of options
	firstByte float64 // from now, with the penalty
	harmed    float64 // streams that the request should make pause too long
	isLate    bool
	cost      float64 // of all of these and what streams cost each other
}

// reason returns why the option is chosen as the best.
func (o *option) reason() Reason {
	switch {
	case o.delay > 0:
		return Spread
	case o.isLate:
		return LateAnyway
	case o.harmed >= 0.5:
		return PausesAnyway
	default:
		return Quickest
	}
}

// choose returns the best option for a request.
func (l *Ledger) choose(request *Request, now time.Time) option {
	reference := l.speeds.ServiceTokensPerSecond(request.Service, now)
	best := option{}
	for index := range request.Candidates {
		assessment := l.assess(request, &request.Candidates[index], reference, now)
		if sentNow := assessment.option(0); best.candidate == nil || sentNow.cost < best.cost {
			best = sentNow
		}
		if delay, ok := assessment.usefulDelay(); ok {
			if held := assessment.option(delay); held.cost < best.cost {
				best = held
			}
		}
	}
	return best
}

// assessment is what is known of one candidate for a request.
type assessment struct {
	request   *Request
	candidate *Candidate
	account   *account // empty for a replica without work
	now       time.Time
	speed     float64 // prompt tokens a second
	tokens    int     // of the prompt, that the replica has to read
	burst     float64 // prompt tokens that its streams meet, without the request's
	queueing  float64 // seconds until a slot is free
	streaming float64 // seconds, cost of the running streams
}

// idleAccount stands for replicas without work; it is never changed.
var idleAccount account

// assess looks at one candidate; reference is the usual speed of the service's replicas.
func (l *Ledger) assess(request *Request, candidate *Candidate, reference float64, now time.Time) assessment {
	work := l.accounts[candidate.Replica]
	if work == nil {
		work = &idleAccount
	}
	slots := candidate.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	speed := work.boundedSpeed(l.speeds.TokensPerSecond(candidate.Replica, request.Service, now), now)
	fill := float64(work.running) / float64(slots)
	tokens := uncached(request, candidate)
	a := assessment{request: request, candidate: candidate, account: work, now: now, speed: speed, tokens: tokens,
		burst: work.burst(request, tokens, speed, now), streaming: outputCost(request) * fill * reference / speed}
	if excess := work.running - slots + 1; excess > 0 {
		a.queueing = l.runTime(request.Service).Seconds() * float64(excess) / float64(slots)
	}
	return a
}

// uncached returns how many tokens of a request's prompt a candidate has to read.
func uncached(request *Request, candidate *Candidate) int {
	return max(0, request.PromptTokens-max(0, candidate.CachedTokens)-candidate.transfer.Tokens)
}

// outputCost returns how much longer the output of a request takes on a full replica, in seconds.
func outputCost(request *Request) float64 {
	tokens := request.OutputTokens
	if tokens <= 0 {
		tokens = defaultOutputTokens
	}
	return costPerOutputToken.Seconds() * float64(min(tokens, maxOutputTokens))
}

// option returns the outcome to expect if the request is sent now or after a useful delay in seconds.
func (a *assessment) option(delay float64) option {
	burst := a.burst
	if delay > 0 {
		burst = 0
	}
	readable := max(delay, a.account.idleIn(delay, a.speed, a.request.Priority, a.now))
	firstByte := readable + float64(a.tokens)/a.speed + transferTime(a.request, a.candidate) + a.queueing + a.candidate.Penalty.Seconds()
	o := option{candidate: a.candidate, speed: a.speed, delay: delay, firstByte: firstByte, harmed: a.harmed(burst),
		isLate: firstByte > a.request.Slack.Seconds()}
	losses := o.harmed
	if o.isLate {
		losses++
	}
	o.cost = firstByte + a.streaming + lossCost.Seconds()*losses
	return o
}

// harmed returns how many streams, with the request's own, should pause too long because the request is
// sent behind a burst of prompt tokens.
func (a *assessment) harmed(burst float64) (sum float64) {
	if a.request.MaxGap > 0 {
		sum = a.risk(burst, a.request.MaxGap) // since more prompts should follow those that are under way
	}
	for _, entry := range a.account.gaps {
		sum += float64(entry.count) * (a.risk(burst+float64(a.tokens), entry.gap) - a.risk(burst, entry.gap))
	}
	return sum
}

// risk returns the chance that a burst of prompt tokens makes a stream pause beyond a gap. It goes on to
// rise above 1, for the streams that the request would meet if it made the burst longer still.
func (a *assessment) risk(burst float64, gap time.Duration) float64 {
	share := burst / a.speed / gap.Seconds()
	return max(0, share-harmlessShare) / (1 - harmlessShare)
}

// usefulDelay returns the delay, in seconds, after which the streams have had a break from the prompts
// before the request's; ok is false if the request does not bear it or no stream gains from it.
func (a *assessment) usefulDelay() (delay float64, ok bool) {
	if a.burst == 0 || a.harmed(a.burst) <= a.harmed(0) {
		return 0, false
	}
	if gap := a.account.tightestGap(); gap > 0 && a.risk(float64(a.tokens), gap) >= 1 {
		return 0, false // the prompt is too long by itself
	}
	delay = a.account.idleIn(math.Inf(1), a.speed, math.MaxInt, a.now) + a.account.breakLength(a.speed).Seconds()
	return delay, delay <= DelayBound(a.request.Slack).Seconds()
}

// DelayBound returns the longest delay of a request whose first byte is due after a slack.
func DelayBound(slack time.Duration) time.Duration {
	return max(0, min(MaxDelay, time.Duration(delayShare*float64(slack))))
}
