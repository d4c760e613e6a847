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
	// answerPatience is how long the holder is waited for. It answers within some ms; one that
	// is slowed by a factor of ten within a few tens.
	answerPatience = 150 * time.Millisecond
	// holderCheck is the time between looks at whether the holder answers.
	holderCheck = 10 * time.Millisecond
	// leastReturn and unknownReturn are advice to callers: the least after a refusal at the
	// limit, and that where nobody tells whether there is room.
	leastReturn   = 200 * time.Millisecond
	unknownReturn = 500 * time.Millisecond
)

// Grant is the permission for one request.
type Grant struct {
	client *Client
	tenant string
	cost   float64
	ahead  bool // taken from credit lent ahead
	fence  int64
	slot   int64
}

// unlimited is the permission for a request of a tenant without a limit.
type unlimited struct{}

// Return implements core.Permit.
func (unlimited) Return() {}

// Admit implements core.Limits: it asks the holder, uses credit that was lent ahead where the
// holder does not answer, and waits at most for a time where there is neither.
func (c *Client) Admit(ctx context.Context, tenant *routing.Tenant, tokens int, most time.Duration) (core.Permit, *failure.Error) {
	if tenant.Limit.Unlimited() {
		return unlimited{}, nil
	}
	cost := float64(tenant.Cost(tokens))
	deadline := time.Now().Add(most)
	for {
		answer, up := c.ask(ctx, tenant.Name, cost)
		switch {
		case up && answer.Granted:
			return &Grant{client: c, tenant: tenant.Name, cost: cost, fence: answer.fence, slot: answer.Slot}, nil
		case up && !answer.Unknown && !answer.Unsettled:
			return nil, atLimit(tenant, answer)
		}
		if c.useAhead(tenant.Name, cost) {
			return &Grant{client: c, tenant: tenant.Name, cost: cost, ahead: true}, nil
		}
		if up && answer.Unsettled {
			return nil, atLimit(tenant, answer)
		}
		if !c.awaitHolder(ctx, time.Until(deadline)) {
			return nil, failure.New(failure.LimitUnknown, "come back after the time given", "no holder tells whether tenant %s is within its limit", tenant.Name).
				WithRetryAfter(unknownReturn)
		}
	}
}

// atLimit is the failure of a request that is not within its tenant's limit, as far as the
// holder knows.
func atLimit(tenant *routing.Tenant, answer told) *failure.Error {
	return failure.New(failure.LimitExceeded, "come back after the time given, or ask your operator for a higher limit",
		"tenant %s is at its limit of %.0f a second", tenant.Name, tenant.Limit.PerSecond).WithRetryAfter(max(leastReturn, answer.RetryIn))
}

// told is the holder's answer to a question, with the fence of its term.
type told struct {
	quota.Answer
	fence int64
	in    time.Duration // until the turn of a permit
	asked time.Time     // when the question was made
}

// holderQuestion is one that the holder is asked.
type holderQuestion struct {
	// put makes it, under the mutex, and returns its id.
	put func(now time.Time) uint64
	// giveBack gives back what was granted to a request that waits no longer.
	giveBack func(answer told)
}

// ask asks the holder whether a request is within its tenant's limit; up is false if there is none that
// answers in time.
func (c *Client) ask(ctx context.Context, tenant string, cost float64) (answer told, up bool) {
	return c.askHolder(ctx, holderQuestion{
		put: func(now time.Time) uint64 {
			made := c.account.Request(tenant, cost, now)
			c.outbox.questions = append(c.outbox.questions, made)
			return made.ID
		},
		giveBack: func(answer told) {
			(&Grant{client: c, tenant: tenant, cost: cost, fence: answer.fence, slot: answer.Slot}).Return()
		},
	})
}

// askHolder asks the holder; up is false if there is none that answers in time.
func (c *Client) askHolder(ctx context.Context, asked holderQuestion) (answer told, up bool) {
	c.mutex.Lock()
	if !c.answers() {
		c.mutex.Unlock()
		return told{}, false
	}
	now := c.Now()
	id := asked.put(now)
	answered := make(chan told, 1)
	c.waiting[id] = answered
	if c.silentSince.IsZero() {
		c.silentSince = now
	}
	lost := c.connected
	c.mutex.Unlock()
	c.signal()
	timer := time.NewTimer(answerPatience)
	defer timer.Stop()
	select {
	case answer = <-answered:
		// A process that stood still finds an answer from before: it counts for another time.
		if c.Now().Sub(now) <= 2*answerPatience {
			answer.asked = now
			return answer, true
		}
		if answer.Granted {
			asked.giveBack(answer)
		}
		return told{}, false
	case <-lost:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.abandon(id, asked, answered)
	return told{}, false
}

// abandon gives back what a question may be granted, or was, whose request waits no longer.
func (c *Client) abandon(id uint64, asked holderQuestion, answered <-chan told) {
	c.mutex.Lock()
	delete(c.waiting, id)
	c.account.Abandon(id)
	c.mutex.Unlock()
	select {
	case answer := <-answered:
		if answer.Granted {
			asked.giveBack(answer)
		}
	default:
	}
}

// Answers tells whether the holder answers.
func (c *Client) LeaderResponsive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answers()
}

// answers is Answers; the mutex is held. Under load there is always a question without an
// answer yet.
func (c *Client) answers() bool {
	return c.isUp && (c.silentSince.IsZero() || c.Now().Sub(c.silentSince) <= answerPatience)
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

func (c *Client) useAhead(tenant string, cost float64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.account.UseCredit(tenant, cost, c.Now())
}

// awaitHolder waits until the holder answers, at most for a time.
func (c *Client) awaitHolder(ctx context.Context, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && sleep.For(ctx, min(holderCheck, time.Until(end))); {
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
	case g.ahead:
		c.account.RefundCredit(g.tenant, g.cost)
	case c.isUp && g.fence == c.fence:
		c.outbox.refunds = append(c.outbox.refunds, quota.Refund{Tenant: g.tenant, Cost: g.cost, Slot: g.slot})
	}
}
