package limiter

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// answerTimeout bounds the wait for the leader's answer to one request.
	answerTimeout = 150 * time.Millisecond
	// leaderPollInterval is how often a waiting request checks whether the leader answers.
	leaderPollInterval = 10 * time.Millisecond
	// minRetryAfter is the minimum retry advice if the limit is reached, and unknownRetryAfter the advice
	// if no leader can check it.
	minRetryAfter     = 200 * time.Millisecond
	unknownRetryAfter = 500 * time.Millisecond
)

// Grant admits one request of a tenant.
type Grant struct {
	client     *Client
	tenant     string
	cost       float64
	fromCredit bool // admitted from prepaid credit
	fence      int64
	slot       int64
}

// unlimited admits a request for which nothing is to be returned.
type unlimited struct{}

// Return implements core.Permit.
func (unlimited) Return() {}

// Admit implements core.Limits. It asks the leader, falls back on prepaid credit if the leader does
// not answer, and otherwise waits up to maxWait for a leader.
func (c *Client) Admit(ctx context.Context, tenant *routing.Tenant, tokens int, maxWait time.Duration, bid *core.Bid) (core.Permit, *failure.Error) {
	if tenant.Limit.Unlimited() {
		return unlimited{}, nil
	}
	cost := float64(tenant.Cost(tokens))
	deadline := time.Now().Add(maxWait)
	for {
		answer, answered := c.requestAdmission(ctx, tenant.Name, cost, bid)
		switch {
		case answered && answer.Granted:
			c.recordDecision(tenant, cost, bid, answer)
			return &Grant{client: c, tenant: tenant.Name, cost: cost, fence: answer.fence, slot: answer.Slot}, nil
		case answered && !answer.Unknown && !answer.Unsettled:
			return nil, c.limitExceeded(tenant, cost, bid, answer)
		}
		if c.useCredit(tenant.Name, cost) {
			return &Grant{client: c, tenant: tenant.Name, cost: cost, fromCredit: true}, nil
		}
		if answered && answer.Reserved {
			return nil, c.limitExceeded(tenant, cost, bid, answer)
		}
		asked := c.Now()
		spending := c.spendAtStandby(ctx, tenant.Name, cost)
		switch {
		case spending.Spent:
			return unlimited{}, nil // credit spent at another daemon is not returned
		case answered && answer.Unsettled:
			return nil, c.limitExceeded(tenant, cost, bid, answer)
		case spending.Exceeded:
			return nil, c.limitExceeded(tenant, cost, bid, leaderAnswer{Answer: quota.Answer{RetryIn: spending.RetryIn}, requested: asked})
		}
		if !c.awaitLeader(ctx, time.Until(deadline)) {
			c.logUnknown(tenant.Name, cost, spending)
			return nil, failure.New(failure.LimitUnknown, "retry after the given time", "no leader answered whether tenant %s is within its limit", tenant.Name).
				WithRetryAfter(unknownRetryAfter)
		}
	}
}

// limitExceeded returns the error for a request beyond its tenant's limit.
func (c *Client) limitExceeded(tenant *routing.Tenant, cost float64, bid *core.Bid, answer leaderAnswer) *failure.Error {
	c.recordDecision(tenant, cost, bid, answer)
	return failure.New(failure.LimitExceeded, "retry after the given time, or ask your operator for a higher limit",
		"tenant %s has reached its limit of %.0f per second", tenant.Name, tenant.Limit.PerSecond).WithRetryAfter(retryAfter(answer, bid))
}

// leaderAnswer is the leader's answer to a request, with the fence of its term.
type leaderAnswer struct {
	quota.Answer
	fence     int64
	delay     time.Duration // until the reserved time of a permit
	requested time.Time     // when the request was made
}

// leaderRequest is a request to the leader for admission or for a permit.
type leaderRequest struct {
	// enqueue adds the request to the outbox and returns its ID. The caller holds the mutex.
	enqueue func(now time.Time) uint64
	// returnGrant returns a grant that arrives after its request has stopped waiting.
	returnGrant func(answer leaderAnswer)
}

// requestAdmission asks the leader whether a request is within its tenant's limit. answered is false
// if no leader answers in time.
func (c *Client) requestAdmission(ctx context.Context, tenant string, cost float64, bid *core.Bid) (answer leaderAnswer, answered bool) {
	return c.sendToLeader(ctx, leaderRequest{
		enqueue: func(now time.Time) uint64 {
			request := c.account.Request(tenant, cost, now)
			if bid != nil {
				request.Claim = &bid.Claim
			}
			c.outbox.requests = append(c.outbox.requests, request)
			return request.ID
		},
		returnGrant: func(answer leaderAnswer) {
			(&Grant{client: c, tenant: tenant, cost: cost, fence: answer.fence, slot: answer.Slot}).Return()
		},
	})
}

// sendToLeader sends a request to the leader. ok is false if no leader answers in time.
func (c *Client) sendToLeader(ctx context.Context, requested leaderRequest) (answer leaderAnswer, ok bool) {
	c.mutex.Lock()
	if !c.leaderResponsive() {
		c.mutex.Unlock()
		return leaderAnswer{}, false
	}
	now := c.Now()
	id := requested.enqueue(now)
	answers := make(chan leaderAnswer, 1)
	c.waiting[id] = answers
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	lost := c.disconnected
	c.mutex.Unlock()
	c.signal()
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer = <-answers:
		// After a pause of this process the answer may be too old to be valid.
		if c.Now().Sub(now) <= 2*answerTimeout {
			answer.requested = now
			return answer, true
		}
		if answer.Granted {
			requested.returnGrant(answer)
		}
		return leaderAnswer{}, false
	case <-lost:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.abandon(id, requested, answers)
	return leaderAnswer{}, false
}

// abandon stops waiting for an answer and returns a grant that has arrived meanwhile.
func (c *Client) abandon(id uint64, request leaderRequest, answers <-chan leaderAnswer) {
	c.mutex.Lock()
	delete(c.waiting, id)
	c.account.Abandon(id)
	c.mutex.Unlock()
	select {
	case answer := <-answers:
		if answer.Granted {
			request.returnGrant(answer)
		}
	default:
	}
}

// LeaderResponsive reports whether the leader is connected and answers in time.
func (c *Client) LeaderResponsive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaderResponsive()
}

// leaderResponsive implements LeaderResponsive; the caller holds the mutex. It tolerates recent
// requests without an answer, which are normal under load.
func (c *Client) leaderResponsive() bool {
	return c.isConnected && (c.unansweredSince.IsZero() || c.Now().Sub(c.unansweredSince) <= answerTimeout)
}

// Credit returns the usable prepaid credit, summed over all tenants.
func (c *Client) Credit() (total float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, credit := range c.account.Credits(c.Now()) {
		total += credit.Left
	}
	return total
}

func (c *Client) useCredit(tenant string, cost float64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.account.UseCredit(tenant, cost, c.Now())
}

// awaitLeader waits up to maxWait for a leader that answers.
func (c *Client) awaitLeader(ctx context.Context, maxWait time.Duration) bool {
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline) && sleep.For(ctx, min(leaderPollInterval, time.Until(deadline))); {
		if c.LeaderResponsive() {
			return true
		}
	}
	return false
}

// Return refunds the grant of a request that did not run.
func (g *Grant) Return() {
	c := g.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case g.fromCredit:
		c.account.RefundCredit(g.tenant, g.cost)
	case c.isConnected && g.fence == c.fence:
		c.outbox.refunds = append(c.outbox.refunds, quota.Refund{Tenant: g.tenant, Cost: g.cost, Slot: g.slot})
	}
}
