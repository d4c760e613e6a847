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
	// fallbackDelay is how long no holder has answered before a daemon uses its own share of replicas'
	// limits: the holder notes within 5 s that a daemon is cut off, and gives its part to nobody then.
	// Another holder mostly answers before.
	fallbackDelay = 6 * time.Second
	// leaderWaitTimeout is how long a request waits for a holder that does not answer, at most: a stream to
	// it may just be opening.
	leaderWaitTimeout = 300 * time.Millisecond
	// maxReturnDelay is how long after its turn a permit is given back: as long as a message is on its way.
	// A turn that passed unused is lost. Given out again later, it came beside the turns of that time: two
	// of them were two messages too many in 4 s.
	maxReturnDelay = 20 * time.Millisecond
	// unansweredRetryIn is the advice to requests that find none.
	unansweredRetryIn = 500 * time.Millisecond
)

// Sources of permits, in log lines and metrics.
const (
	sourceLeader     = "order_holder"
	sourceLocalShare = "own_share"
	sourceUnanswered = "unanswered"
)

// permitRequest is a question for a permit, or the word that a message goes without one.
type permitRequest struct {
	id      uint64
	request permit.Request
	charge  bool
}

func (q permitRequest) message() *rpc.QuotaQuestion {
	return &rpc.QuotaQuestion{Id: q.id, Permit: &rpc.PermitQuestion{
		Replica: rpc.IncarnationMessage(q.request.Replica), PerSecond: q.request.PerSecond,
		Priority: int32(q.request.Priority), PatienceMs: q.request.MaxWait.Milliseconds(), Charge: q.charge,
	}}
}

// Permit is the permission for one message to a replica with a limit. It implements core.ReplicaPermit.
type Permit struct {
	client     *Client
	replica    fleet.Incarnation
	reservedAt time.Time // by when the answer was read, which is no earlier than the owner's
	expiresAt  time.Time // when it is good for nothing any more; by when the question was made
	source     string
	fence      int64

	mutex    sync.Mutex
	consumed bool // used, or given back
}

// In implements core.ReplicaPermit.
func (p *Permit) In() time.Duration { return max(0, p.reservedAt.Sub(p.client.Now())) }

// Source implements core.ReplicaPermit.
func (p *Permit) Source() string { return p.source }

// Use implements fleet.Permit. A permit that a process finds after it stood still is good for nothing:
// the replica had the turn, and has others now. Its life counts from the question, since the answer may
// have waited: what is written then comes within the life of the owner's turn. Counted from the answer,
// messages came up to 0.3 s later, and one more than the limit allows in 4 s.
func (p *Permit) Use() bool {
	if p.client.Now().After(p.expiresAt) {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first := !p.consumed
	p.consumed = true
	return first
}

// Return implements core.ReplicaPermit.
func (p *Permit) Return() {
	p.mutex.Lock()
	consumed := p.consumed
	p.consumed = true
	p.mutex.Unlock()
	c := p.client
	if consumed || p.source != sourceLeader || c.Now().Sub(p.reservedAt) > maxReturnDelay {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isConnected && p.fence == c.fence {
		c.outbox.unusedPermits = append(c.outbox.unusedPermits, p.replica)
		c.signal() // others wait for the turn
	}
}

// AskPermit implements core.ReplicaPermits: it asks the holder, and uses this daemon's own share of the
// limit where none has answered for long.
func (c *Client) AskPermit(ctx context.Context, request permit.Request) (core.ReplicaPermit, core.NoTurn) {
	for deadline := time.Now().Add(min(request.MaxWait, leaderWaitTimeout)); ; {
		answer, answered := c.sendToLeader(ctx, c.permitRequest(request))
		if answered && !answer.Unknown {
			return c.newPermit(request, sourceLeader, permit.Answer{Granted: answer.Granted, Delay: answer.delay, RetryIn: answer.RetryIn}, answer)
		}
		if local, allowed := c.requestLocally(request, answered); allowed {
			return c.newPermit(request, sourceLocalShare, local, leaderAnswer{asked: c.Now()})
		}
		if !c.awaitLeader(ctx, time.Until(deadline)) {
			c.countPermit(sourceUnanswered, "refused")
			return nil, core.NoTurn{RetryIn: unansweredRetryIn, Source: sourceUnanswered}
		}
	}
}

// permitRequest is the question for a permit.
func (c *Client) permitRequest(request permit.Request) leaderRequest {
	return leaderRequest{
		enqueue: func(now time.Time) uint64 {
			queued := permitRequest{id: c.account.Request("", 0, now).ID, request: request}
			c.pendingPermits[queued.id] = true
			c.outbox.permits = append(c.outbox.permits, queued)
			return queued.id
		},
		returnGrant: func(leaderAnswer) {}, // its turn has passed meanwhile, or soon will have
	}
}

// granted makes the permit of an answer, or tells when to ask again.
func (c *Client) newPermit(request permit.Request, source string, answer permit.Answer, received leaderAnswer) (core.ReplicaPermit, core.NoTurn) {
	if !answer.Granted {
		c.countPermit(source, "refused")
		return nil, core.NoTurn{RetryIn: answer.RetryIn, Source: source}
	}
	c.countPermit(source, "granted")
	return &Permit{
		client: c, replica: request.Replica, source: source, fence: received.fence,
		reservedAt: c.Now().Add(answer.Delay), expiresAt: received.asked.Add(answer.Delay + permit.Validity),
	}, core.NoTurn{}
}

// requestLocally takes a turn of this daemon's own share; alone tells whether it may. A holder that knows
// nothing of permits, since it runs an earlier version, is as good as none.
func (c *Client) requestLocally(request permit.Request, leaderAnswered bool) (answer permit.Answer, allowed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	daemons := 0
	if c.Daemons != nil {
		daemons = c.Daemons()
	}
	if daemons == 0 || !leaderAnswered && now.Sub(c.lastAnswerAt) <= fallbackDelay {
		return permit.Answer{}, false
	}
	return c.localShares.Request(request, daemons, now), true
}

// Charge tells the holder that a message goes to a replica with a limit whether it has a turn or not.
func (c *Client) Charge(replica fleet.Incarnation, perSecond float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isConnected {
		return
	}
	c.outbox.permits = append(c.outbox.permits, permitRequest{request: permit.Request{Replica: replica, PerSecond: perSecond, Priority: permit.LowestPriority}, charge: true})
	c.signal()
}

func (c *Client) countPermit(source, outcome string) {
	if c.CountPermit != nil {
		c.CountPermit(source, outcome)
	}
}
