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
	// fallbackDelay is how long a daemon waits for a leader before it uses its local share of replicas'
	// limits. By then the leader has noticed the disconnect, at the latest after the loader's silenceTimeout,
	// and grants that share to no other daemon.
	fallbackDelay = 6 * time.Second
	// leaderWaitTimeout bounds how long a request waits for a leader that does not answer, such as while
	// the stream to it opens.
	leaderWaitTimeout = 300 * time.Millisecond
	// maxReturnDelay is how long after its reserved time a permit may be returned: about the time that a
	// message travels. The leader would grant a slot returned later in addition to the current ones.
	maxReturnDelay = 20 * time.Millisecond
	// unansweredRetryIn is the retry delay of permit requests that no leader has answered.
	unansweredRetryIn = 500 * time.Millisecond
)

// Sources of permits, in log lines and metrics.
const (
	sourceLeader     = "order_holder"
	sourceLocalShare = "own_share"
	sourceUnanswered = "unanswered"
)

// permitRequest asks for a permit, or reports a message that is sent without one.
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

// Permit allows one message to a rate-limited replica. It implements core.ReplicaPermit.
type Permit struct {
	client     *Client
	replica    fleet.Incarnation
	reservedAt time.Time // computed from the answer's arrival, so not before the leader's reservation
	expiresAt  time.Time // computed from when the request was sent
	source     string
	fence      int64

	mutex    sync.Mutex
	consumed bool // used or returned
}

// Delay implements core.ReplicaPermit.
func (p *Permit) Delay() time.Duration { return max(0, p.reservedAt.Sub(p.client.Now())) }

// Source implements core.ReplicaPermit.
func (p *Permit) Source() string { return p.source }

// Use implements fleet.Permit. A permit expires so that a paused process does not send late, in
// addition to the messages of later slots. The expiry is computed from when the request was sent,
// since the answer may have been delayed.
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
		c.signal() // other requests may use the slot
	}
}

// RequestPermit implements core.ReplicaPermitter. It asks the leader and falls back on this daemon's
// local share if no leader has answered for fallbackDelay.
func (c *Client) RequestPermit(ctx context.Context, request permit.Request) (core.ReplicaPermit, core.PermitDenial) {
	for deadline := time.Now().Add(min(request.MaxWait, leaderWaitTimeout)); ; {
		answer, answered := c.sendToLeader(ctx, c.permitRequest(request))
		if answered && !answer.Unknown {
			return c.newPermit(request, sourceLeader, permit.Answer{Granted: answer.Granted, Delay: answer.delay, RetryIn: answer.RetryIn}, answer)
		}
		if local, allowed := c.requestLocally(request, answered); allowed {
			return c.newPermit(request, sourceLocalShare, local, leaderAnswer{requested: c.Now()})
		}
		if !c.awaitLeader(ctx, time.Until(deadline)) {
			c.countPermit(sourceUnanswered, "refused")
			return nil, core.PermitDenial{RetryIn: unansweredRetryIn, Source: sourceUnanswered}
		}
	}
}

// permitRequest returns the request to the leader for a permit.
func (c *Client) permitRequest(request permit.Request) leaderRequest {
	return leaderRequest{
		enqueue: func(now time.Time) uint64 {
			queued := permitRequest{id: c.account.Request("", 0, now).ID, request: request}
			c.pendingPermits[queued.id] = true
			c.outbox.permits = append(c.outbox.permits, queued)
			return queued.id
		},
		returnGrant: func(leaderAnswer) {}, // the reserved time has passed or soon will
	}
}

// newPermit converts an answer to a permit, or to the reason for its refusal.
func (c *Client) newPermit(request permit.Request, source string, answer permit.Answer, received leaderAnswer) (core.ReplicaPermit, core.PermitDenial) {
	if !answer.Granted {
		c.countPermit(source, "refused")
		return nil, core.PermitDenial{RetryIn: answer.RetryIn, Source: source}
	}
	c.countPermit(source, "granted")
	return &Permit{
		client: c, replica: request.Replica, source: source, fence: received.fence,
		reservedAt: c.Now().Add(answer.Delay), expiresAt: received.requested.Add(answer.Delay + permit.Validity),
	}, core.PermitDenial{}
}

// requestLocally requests a permit from this daemon's local share; allowed reports whether that
// share may be used. A leader whose version does not support permits is treated as absent.
func (c *Client) requestLocally(request permit.Request, leaderAnswered bool) (answer permit.Answer, allowed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	daemons := 0
	if c.DaemonCount != nil {
		daemons = c.DaemonCount()
	}
	if daemons == 0 || !leaderAnswered && now.Sub(c.lastAnswerAt) <= fallbackDelay {
		return permit.Answer{}, false
	}
	return c.localShares.Request(request, daemons, now), true
}

// Charge reports to the leader a message that is sent to a rate-limited replica regardless of the
// limit.
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
