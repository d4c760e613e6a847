package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// ownerSilent is how long no holder has answered before a daemon uses its own share of replicas'
	// limits: the holder notes within 5 s that a daemon is cut off, and gives its part to nobody then.
	// Another holder mostly answers before.
	ownerSilent = 6 * time.Second
	// ownerPatience is how long a request waits for a holder that does not answer, at most: a stream to
	// it may just be opening.
	ownerPatience = 300 * time.Millisecond
	// giveBackTime is how long after its turn a permit is given back: as long as a message is on its way.
	// A turn that passed unused is lost. Given out again later, it came beside the turns of that time: two
	// of them were two messages too many in 4 s.
	giveBackTime = 20 * time.Millisecond
	// ownerReturn is the advice to requests that find none.
	ownerReturn = 500 * time.Millisecond
)

// Sources of permits, in log lines and metrics.
const (
	sourceHolder = "order_holder"
	sourceOwn    = "own_share"
	sourceNone   = "unanswered"
)

// permitQuestion is a question for a permit, or the word that a message goes without one.
type permitQuestion struct {
	id     uint64
	ask    permit.Request
	charge bool
}

func (q permitQuestion) message() *rpc.QuotaQuestion {
	return &rpc.QuotaQuestion{Id: q.id, Permit: &rpc.PermitQuestion{
		Replica: rpc.IncarnationMessage(q.ask.Replica), PerSecond: q.ask.PerSecond,
		Priority: int32(q.ask.Priority), PatienceMs: q.ask.MaxWait.Milliseconds(), Charge: q.charge,
	}}
}

// Permit is the permission for one message to a replica with a limit. It implements core.ReplicaPermit.
type Permit struct {
	client  *Client
	replica fleet.Incarnation
	turn    time.Time // by when the answer was read, which is no earlier than the owner's
	until   time.Time // when it is good for nothing any more; by when the question was made
	source  string
	fence   int64

	mutex sync.Mutex
	spent bool // used, or given back
}

// In implements core.ReplicaPermit.
func (p *Permit) Delay() time.Duration { return max(0, p.turn.Sub(p.client.Now())) }

// Source implements core.ReplicaPermit.
func (p *Permit) Source() string { return p.source }

// Use implements fleet.Permit. A permit that a process finds after it stood still is good for nothing:
// the replica had the turn, and has others now. Its life counts from the question, since the answer may
// have waited: what is written then comes within the life of the owner's turn. Counted from the answer,
// messages came up to 0.3 s later, and one more than the limit allows in 4 s.
func (p *Permit) Use() bool {
	if p.client.Now().After(p.until) {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first := !p.spent
	p.spent = true
	return first
}

// Return implements core.ReplicaPermit.
func (p *Permit) Return() {
	p.mutex.Lock()
	spent := p.spent
	p.spent = true
	p.mutex.Unlock()
	c := p.client
	if spent || p.source != sourceHolder || c.Now().Sub(p.turn) > giveBackTime {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isUp && p.fence == c.fence {
		c.outbox.unused = append(c.outbox.unused, p.replica)
		c.signal() // others wait for the turn
	}
}

// RequestPermit implements core.ReplicaPermitter: it asks the holder, and uses this daemon's own share of the
// limit where none has answered for long.
func (c *Client) RequestPermit(ctx context.Context, ask permit.Request) (core.ReplicaPermit, core.PermitDenial) {
	for deadline := time.Now().Add(min(ask.MaxWait, ownerPatience)); ; {
		answer, up := c.askHolder(ctx, c.permitQuestion(ask))
		if up && !answer.Unknown {
			return c.granted(ask, sourceHolder, permit.Answer{Granted: answer.Granted, Delay: answer.in, RetryIn: answer.RetryIn}, answer)
		}
		if own, alone := c.ownTurn(ask, up); alone {
			return c.granted(ask, sourceOwn, own, told{asked: c.Now()})
		}
		if !c.awaitHolder(ctx, time.Until(deadline)) {
			c.count(sourceNone, "refused")
			return nil, core.PermitDenial{RetryIn: ownerReturn, Source: sourceNone}
		}
	}
}

// permitQuestion is the question for a permit.
func (c *Client) permitQuestion(ask permit.Request) holderQuestion {
	return holderQuestion{
		put: func(now time.Time) uint64 {
			made := permitQuestion{id: c.account.Request("", 0, now).ID, ask: ask}
			c.permitsAsked[made.id] = true
			c.outbox.permits = append(c.outbox.permits, made)
			return made.id
		},
		giveBack: func(told) {}, // its turn has passed meanwhile, or soon will have
	}
}

// granted makes the permit of an answer, or tells when to ask again.
func (c *Client) granted(ask permit.Request, source string, answer permit.Answer, said told) (core.ReplicaPermit, core.PermitDenial) {
	if !answer.Granted {
		c.count(source, "refused")
		return nil, core.PermitDenial{RetryIn: answer.RetryIn, Source: source}
	}
	c.count(source, "granted")
	return &Permit{
		client: c, replica: ask.Replica, source: source, fence: said.fence,
		turn: c.Now().Add(answer.Delay), until: said.asked.Add(answer.Delay + permit.Validity),
	}, core.PermitDenial{}
}

// ownTurn takes a turn of this daemon's own share; alone tells whether it may. A holder that knows
// nothing of permits, since it runs an earlier version, is as good as none.
func (c *Client) ownTurn(ask permit.Request, holderAnswers bool) (answer permit.Answer, alone bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	daemons := 0
	if c.Daemons != nil {
		daemons = c.Daemons()
	}
	if daemons == 0 || !holderAnswers && now.Sub(c.heardAt) <= ownerSilent {
		return permit.Answer{}, false
	}
	return c.shares.Request(ask, daemons, now), true
}

// Charge tells the holder that a message goes to a replica with a limit whether it has a turn or not.
func (c *Client) Charge(replica fleet.Incarnation, perSecond float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isUp {
		return
	}
	c.outbox.permits = append(c.outbox.permits, permitQuestion{ask: permit.Request{Replica: replica, PerSecond: perSecond, Priority: permit.LowestPriority}, charge: true})
	c.signal()
}

func (c *Client) count(source, outcome string) {
	if c.CountPermit != nil {
		c.CountPermit(source, outcome)
	}
}
