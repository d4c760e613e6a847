package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/rendezvous"
)

// Ask is what a request needs of a replica.
type Ask struct {
	Service string
	Target  Target
	// Prefix names the shared part of the prompt; requests with the same one are
	// led to the same replica, which may still have it in its cache. Empty: none.
	Prefix string
	// Tried are the ids of replicas not to be used again.
	Tried []string
	// NotBefore says of replicas with a limit when they may have a turn for the request; others may at
	// once.
	NotBefore map[string]time.Time
	// Patience is how long the request may wait at a replica; zero: without end.
	MaxQueueTime time.Duration
	// PromptTokens is the length of the prompt; zero if it is not known.
	PromptTokens int
}

// Miss says why no replica can take a request now.
type Miss uint8

// The reasons.
const (
	Found            Miss = iota
	NoReplica             // the service has none that takes requests
	AllTried              // all that could were tried
	NotLoaded             // none holds the model
	AdapterNotLoaded      // some hold the model, none with the adapter
	Saturated             // requests wait too long wherever the target is loaded
	Undiscovered          // this daemon has not been told yet which replicas serve the target
	BackingOff            // those that hold the target asked this daemon for rest
	RateLimited           // those that hold the target named a limit and have no turn for the request
)

// String returns the reason's name in logs.
func (m Miss) String() string {
	return [...]string{"found", "no_replica", "all_tried", "model_not_loaded", "adapter_not_loaded", "crowded", "untold", "asked_for_rest", "at_limit"}[m]
}

// Pick is a replica chosen for one dispatch. It must be released.
type Pick struct {
	Incarnation
	Address  string
	Inflight int // of this daemon there, this one excluded
	// PerSecond is the limit that the replica named, in messages a second of all daemons together; a
	// request needs a turn there. Zero: without a limit.
	PerSecond       float64
	LimitObservedAt time.Time // when it said so
	began           time.Time
	reading         int // tokens of the prompt, until the replica has read it
	replica         *Replica
	fleet           *Directory
}

// Read notes that the replica has read the prompt: the answer has begun.
func (p *Pick) Read() {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.read()
}

// read is Read; the directory's mutex is held.
func (p *Pick) read() {
	p.replica.reading -= p.reading
	p.reading = 0
}

// Costs of a candidate, in requests that run there already.
const (
	costOtherZone    = 0.7
	costNotOwner     = 0.5 // another replica has the prompt's prefix
	costFailureShare = 12.0
	costTie          = 0.5
	// costConnect is the cost of a replica to which this daemon has no open connection. Where a daemon
	// has a request in some seconds, nearly each would open one.
	costConnect = 0.4
	// costPerToken is the cost of each token of a prompt that is being read: reading holds
	// up all that runs beside it.
	costPerToken = 1.0 / 50
)

// Choose returns the best replica for a request, or why there is none.
func (d *Directory) Choose(ask Ask, now time.Time) (*Pick, Miss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	told := d.interest == nil || d.interest.Register(ask.Service, ask.Target)
	candidates, miss := d.candidates(ask, now)
	if len(candidates) == 0 && !told {
		return nil, Undiscovered
	}
	if len(candidates) == 0 {
		return nil, miss
	}
	owner := prefixOwner(ask.Prefix, candidates)
	candidates = preferred(candidates, now)
	costs := make([]float64, len(candidates))
	for index, candidate := range candidates {
		costs[index] = d.cost(candidate, ask, owner, now)
	}
	best := candidates[spread(costs, d.coming(candidates, now), d.random())]
	pick := &Pick{Incarnation: best.Incarnation(), Address: best.Address, Inflight: best.inflight, PerSecond: best.perSecond, LimitObservedAt: best.limitHeard, began: now, reading: ask.PromptTokens, replica: best, fleet: d}
	best.turnAt = now
	best.inflight++
	best.reading += ask.PromptTokens
	return pick, Found
}

// candidates lists the replicas that can take a request; the mutex is held.
func (d *Directory) candidates(ask Ask, now time.Time) ([]*Replica, Miss) {
	var usable []*Replica
	service := d.index(ask.Service)
	miss := service.leastMiss(ask.Target)
	for _, member := range service.holding(ask.Target.Model) {
		if member.Draining || member.forgotten {
			continue
		}
		switch {
		case !member.holds(Target{Model: ask.Target.Model}, now):
			miss = worse(miss, NotLoaded)
		case !member.holds(ask.Target, now):
			miss = worse(miss, AdapterNotLoaded)
		case d.restsUntil(member.ID).After(now):
			miss = worse(miss, BackingOff)
		case member.perSecond > 0 && now.Before(ask.NotBefore[member.ID]):
			miss = worse(miss, RateLimited)
		case slices.Contains(ask.Tried, member.ID):
			miss = worse(miss, AllTried)
		case ask.MaxQueueTime > 0 && d.queueTime(member, now) > ask.MaxQueueTime:
			miss = worse(miss, Saturated)
		default:
			usable = append(usable, member)
		}
	}
	return usable, miss
}

// queueTime estimates how long a new request waits at a replica for one of its
// places; the mutex is held.
func (d *Directory) queueTime(replica *Replica, now time.Time) time.Duration {
	ahead := d.load(replica, now) - replica.Slots + 1
	if replica.Slots <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(replica.Slots) * float64(d.runTime[replica.Service]))
}

// runTimeWeight is the weight of the newest run in the mean time.
const runTimeWeight = 0.05

// ran takes in how long a run took; the mutex is held.
func (d *Directory) ran(service string, took time.Duration) {
	mean, known := d.runTime[service]
	if !known {
		mean = took
	}
	d.runTime[service] = mean + time.Duration(runTimeWeight*float64(took-mean))
}

// limitAsked is how long a replica with a limit gets nothing of this daemon where others serve the target.
// Then a request goes there again, if it has a turn: only an answer tells that the limit is over.
const limitAsked = 2 * time.Second

// preferred leaves out the candidates that rest, unless all do, and of the others those with a limit,
// unless all have one: a replica in need names it, and others that serve the target don't need a turn.
func preferred(candidates []*Replica, now time.Time) []*Replica {
	able := awake(candidates, now)
	isSpared := func(one *Replica) bool { return one.perSecond > 0 && now.Sub(one.turnAt) < limitAsked }
	if !slices.ContainsFunc(able, isSpared) {
		return able // nearly always
	}
	if others := slices.DeleteFunc(slices.Clone(able), isSpared); len(others) > 0 {
		return others
	}
	return able
}

// awake leaves out the candidates that rest, unless all do. The others are in a fixed order.
func awake(candidates []*Replica, now time.Time) []*Replica {
	able := slices.DeleteFunc(slices.Clone(candidates), func(one *Replica) bool { return one.health.resting(now) })
	if len(able) == 0 {
		able = candidates
	}
	slices.SortFunc(able, func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) })
	return able
}

// missRank orders the reasons by how close the request came to a replica.
var missRank = [...]int{Found: 0, NoReplica: 1, NotLoaded: 2, AdapterNotLoaded: 3, BackingOff: 4, Saturated: 5, RateLimited: 6, AllTried: 7, Undiscovered: 8}

func worse(a, b Miss) Miss {
	if missRank[b] > missRank[a] {
		return b
	}
	return a
}

// prefixOwner returns the candidate that should have a prefix in its cache.
func prefixOwner(prefix string, candidates []*Replica) *Replica {
	if prefix == "" {
		return nil
	}
	var owner *Replica
	highest := uint64(0)
	for _, candidate := range candidates {
		score := rendezvous.Score(prefix, candidate.ID)
		if owner == nil || score > highest {
			owner, highest = candidate, score
		}
	}
	return owner
}

// cost weighs a candidate; the lowest is chosen.
func (d *Directory) cost(candidate *Replica, ask Ask, owner *Replica, now time.Time) float64 {
	cost := float64(d.load(candidate, now)) + costPerToken*float64(candidate.reading) + costFailureShare*candidate.health.failureShare + costTie*d.random()
	if candidate.Zone != d.zone {
		cost += costOtherZone
	}
	if d.connected != nil && !d.connected(candidate.Address) {
		cost += costConnect
	}
	if owner != nil && candidate != owner {
		cost += costNotOwner
	}
	return cost
}

// Result is how a dispatch ended, as far as the replica's health goes.
type Result uint8

// The results.
const (
	Answered      Result = iota // whole, or the caller left
	Failed                      // the replica answered with a failure of its own
	Refused                     // the replica said that it did not run the request
	TargetMissing               // the replica lacks the target
	Unreachable                 // no whole answer came
	Unsent                      // nothing was sent, by this daemon's choice
)

// refusedFor is how long a replica that refused a request is not asked again for
// the same target.
const refusedFor = 150 * time.Millisecond

// Withdraw gives a replica back that nothing was sent to.
func (p *Pick) Cancel() {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.end()
}

// end ends the dispatch in the directory; its mutex is held.
func (p *Pick) end() {
	p.replica.inflight--
	p.read()
	if p.replica.forgotten && p.replica.inflight == 0 {
		p.fleet.remove(p.ID)
	}
}

// Release ends a dispatch.
func (p *Pick) Release(result Result, target Target, now time.Time) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.end()
	switch result {
	case Answered:
		p.replica.health.answered(false)
		p.fleet.ran(p.replica.Service, now.Sub(p.began))
	case Failed:
		p.replica.health.answered(true)
	case Refused:
		p.replica.health.answered(true)
		if target.Model != "" {
			// An order may be under way that concerns the target.
			p.replica.absent(target, now.Add(refusedFor))
		}
	case TargetMissing:
		p.replica.absent(target, now.Add(absentFor))
	case Unreachable:
		p.replica.health.unreachable(now)
	}
}
