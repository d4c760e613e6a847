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
	// answerTimeout is how long the holder is waited for. It answers within some ms; one that
	// is slowed by a factor of ten within a few tens.
	answerTimeout = 150 * time.Millisecond
	// leaderPollInterval is the time between looks at whether the holder answers.
	leaderPollInterval = 10 * time.Millisecond
	// minRetryAfter and unknownRetryAfter are advice to callers: the least after a refusal at the
	// limit, and that where nobody tells whether there is room.
	minRetryAfter     = 200 * time.Millisecond
	unknownRetryAfter = 500 * time.Millisecond
)

// Grant is the permission for one request.
type Grant struct {
	client     *Client
	tenant     string
	cost       float64
	fromCredit bool // taken from credit lent ahead
	fence      int64
	slot       int64
}

// unlimited is the permission for a request of a tenant without a limit.
type unlimited struct{}

// Return implements core.Permit.
func (unlimited) Return() {}

// Admit implements core.Limits: it asks the holder, uses credit that was lent ahead where the
// holder does not answer, and waits at most for a time where there is neither.
func (c *Client) Admit(ctx context.Context, tenant *routing.Tenant, tokens int, maxWait time.Duration) (core.Permit, *failure.Error) {
	if tenant.Limit.Unlimited() {
		return unlimited{}, nil
	}
	cost := float64(tenant.Cost(tokens))
	deadline := time.Now().Add(maxWait)
	for {
		answer, answered := c.requestAdmission(ctx, tenant.Name, cost)
		switch {
		case answered && answer.Granted:
			return &Grant{client: c, tenant: tenant.Name, cost: cost, fence: answer.fence, slot: answer.Slot}, nil
		case answered && !answer.Unknown && !answer.Unsettled:
			return nil, limitExceeded(tenant, answer)
		}
		if c.useCredit(tenant.Name, cost) {
			return &Grant{client: c, tenant: tenant.Name, cost: cost, fromCredit: true}, nil
		}
		if answered && answer.Unsettled {
			return nil, limitExceeded(tenant, answer)
		}
		if !c.awaitLeader(ctx, time.Until(deadline)) {
			return nil, failure.New(failure.LimitUnknown, "come back after the time given", "no holder tells whether tenant %s is within its limit", tenant.Name).
				WithRetryAfter(unknownRetryAfter)
		}
	}
}

// limitExceeded is the failure of a request that is not within its tenant's limit, as far as the
// holder knows.
func limitExceeded(tenant *routing.Tenant, answer leaderAnswer) *failure.Error {
	return failure.New(failure.LimitExceeded, "come back after the time given, or ask your operator for a higher limit",
		"tenant %s is at its limit of %.0f a second", tenant.Name, tenant.Limit.PerSecond).WithRetryAfter(max(minRetryAfter, answer.RetryIn))
}

// told is the holder's answer to a question, with the fence of its term.
type leaderAnswer struct {
	quota.Answer
	fence int64
	delay time.Duration // until the turn of a permit
	asked time.Time     // when the question was made
}

// leaderRequest is one that the holder is asked.
type leaderRequest struct {
	// put makes it, under the mutex, and returns its id.
	enqueue func(now time.Time) uint64
	// returnGrant gives back what was granted to a request that waits no longer.
	returnGrant func(answer leaderAnswer)
}

// ask asks the holder whether a request is within its tenant's limit; up is false if there is none that
// answers in time.
func (c *Client) requestAdmission(ctx context.Context, tenant string, cost float64) (answer leaderAnswer, answered bool) {
	return c.sendToLeader(ctx, leaderRequest{
		enqueue: func(now time.Time) uint64 {
			request := c.account.Request(tenant, cost, now)
			c.outbox.requests = append(c.outbox.requests, request)
			return request.ID
		},
		returnGrant: func(answer leaderAnswer) {
			(&Grant{client: c, tenant: tenant, cost: cost, fence: answer.fence, slot: answer.Slot}).Return()
		},
	})
}

// sendToLeader asks the holder; up is false if there is none that answers in time.
func (c *Client) sendToLeader(ctx context.Context, asked leaderRequest) (answer leaderAnswer, ok bool) {
	c.mutex.Lock()
	if !c.leaderResponsive() {
		c.mutex.Unlock()
		return leaderAnswer{}, false
	}
	now := c.Now()
	id := asked.enqueue(now)
	answered := make(chan leaderAnswer, 1)
	c.waiting[id] = answered
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	lost := c.disconnected
	c.mutex.Unlock()
	c.signal()
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer = <-answered:
		// A process that stood still finds an answer from before: it counts for another time.
		if c.Now().Sub(now) <= 2*answerTimeout {
			answer.asked = now
			return answer, true
		}
		if answer.Granted {
			asked.returnGrant(answer)
		}
		return leaderAnswer{}, false
	case <-lost:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.abandon(id, asked, answered)
	return leaderAnswer{}, false
}

// abandon gives back what a question may be granted, or was, whose request waits no longer.
func (c *Client) abandon(id uint64, asked leaderRequest, answered <-chan leaderAnswer) {
	c.mutex.Lock()
	delete(c.waiting, id)
	c.account.Abandon(id)
	c.mutex.Unlock()
	select {
	case answer := <-answered:
		if answer.Granted {
			asked.returnGrant(answer)
		}
	default:
	}
}

// Answers tells whether the holder answers.
func (c *Client) LeaderResponsive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaderResponsive()
}

// answers is Answers; the mutex is held. Under load there is always a question without an
// answer yet.
func (c *Client) leaderResponsive() bool {
	return c.isConnected && (c.unansweredSince.IsZero() || c.Now().Sub(c.unansweredSince) <= answerTimeout)
}

// Credit returns the credit lent ahead that may be used, of all tenants together.
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

// awaitHolder waits until the holder answers, at most for a time.
func (c *Client) awaitLeader(ctx context.Context, maxWait time.Duration) bool {
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline) && sleep.For(ctx, min(leaderPollInterval, time.Until(deadline))); {
		if c.LeaderResponsive() {
			return true
		}
	}
	return false
}

// Return gives back what was granted to a request that did not run.
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
