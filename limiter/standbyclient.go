package limiter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// syncInterval is the time between two syncs of the standby.
	syncInterval = 100 * time.Millisecond
	// spendTimeout bounds the wait for the standby. A request waits for it after the leader.
	spendTimeout = 100 * time.Millisecond
)

// requestSync asks for the next message to contain a sync if this daemon is the standby.
func (c *Client) requestSync() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isStandby && c.isConnected && !c.account.Syncing() {
		c.outbox.sync = true
		c.signal()
	}
}

// addSync adds the outbox's sync and marks to a message. The caller holds the mutex.
func (c *Client) addSync(message *rpc.QuotaQuestions) {
	if c.outbox.sync {
		request := c.account.Sync(c.Now())
		message.Sync = &rpc.QuotaSyncRequest{Id: request.ID, Acked: request.Acked, TermBound: request.TermBound}
	}
	for _, mark := range c.outbox.marks {
		message.Marks = append(message.Marks, markMessage(mark))
	}
}

// followStandby applies what a message of the leader tells about the standby. isNew means that it is the
// first message of a stream. The caller holds the mutex.
func (c *Client) followStandby(message *rpc.QuotaAnswers, isNew bool, now time.Time) {
	if c.isStandby && !message.GetIsStandby() && message.GetStandby() != "" { // replaced
		c.outbox.returned = append(c.outbox.returned, c.account.ReturnCredits(now)...)
	}
	c.isStandby = message.GetIsStandby()
	if message.GetStandby() != "" { // a new leader may not have appointed one yet
		c.standbyAddress = message.GetStandby()
	}
	if isNew {
		c.outbox.marks = c.account.TakeMarks(message.GetFence(), now)
	}
	if sync := message.GetSync(); sync != nil {
		reply, malformed := syncOf(sync)
		c.count(outcomeMalformed, malformed)
		c.outbox.returned = append(c.outbox.returned, c.account.ApplySync(reply, message.GetFence(), now)...)
	}
	if len(c.outbox.marks)+len(c.outbox.returned) > 0 {
		c.signal()
	}
}

// Spending is the result of an attempt to spend credit for a request.
type Spending struct {
	Spent bool
	Left  float64       // of the tenant's credit
	Age   time.Duration // since the leader last renewed the credit
	// Exceeded means that the limit itself has no room, as far as the standby knows; RetryIn is the time
	// until it should have.
	Exceeded bool
	RetryIn  time.Duration
	standby  string // address of the standby that was asked; empty if none
	failed   bool   // the standby did not answer
}

// lastMessage returns the last message of a stopping daemon, which returns its credit.
func (c *Client) lastMessage() *rpc.QuotaQuestions {
	c.mutex.Lock()
	c.outbox.returned = append(c.outbox.returned, c.account.ReturnCredits(c.Now())...)
	c.mutex.Unlock()
	return c.message()
}

// SpendCredit spends this daemon's credit for a request of another daemon.
func (c *Client) SpendCredit(tenant string, cost float64) Spending {
	spent := cost > 0 && c.useCredit(tenant, cost)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	spending := Spending{Spent: spent, Left: c.account.Ahead(tenant, now), Age: c.account.CreditAge(tenant, now)}
	if !spent {
		spending.RetryIn, spending.Exceeded = c.account.Exceeds(tenant, cost, now)
	}
	return spending
}

// spendAtStandby spends the standby's credit. An answer that is lost counts as spent.
func (c *Client) spendAtStandby(ctx context.Context, tenant string, cost float64) Spending {
	c.mutex.Lock()
	address, isOwn := c.standbyAddress, c.isStandby || c.standbyAddress == c.Address
	c.mutex.Unlock()
	if address == "" || isOwn {
		return c.SpendCredit(tenant, cost)
	}
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	sent := c.Now()
	answer, err := rpc.NewDRPCQuotasClient(c.peers.Conn(ctx, address)).SpendCredit(ctx, &rpc.CreditSpending{Tenant: tenant, Cost: cost})
	if err != nil {
		c.Log.WithError(err).Debug("the standby does not answer")
		return Spending{standby: address, failed: true}
	}
	spending, ok := spendingOf(answer)
	if !ok {
		c.count(outcomeMalformed, 1)
	}
	// After a pause of this process the credit may have expired.
	spending.Spent = spending.Spent && c.Now().Sub(sent) <= 2*spendTimeout
	spending.standby = address
	return spending
}

// IsStandby reports whether this daemon is the leader's standby, as last told by a leader.
func (c *Client) IsStandby() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isStandby
}

// Reasons of log lines about limits that could not be checked.
const (
	reasonNoLeader      = "no_leader"
	reasonNotConnected  = "not_connected"
	reasonLeaderSilent  = "leader_silent"
	reasonStandbySilent = "standby_silent"
)

// logUnknown logs why a request could not be checked against its tenant's limit.
func (c *Client) logUnknown(tenant string, cost float64, last Spending) {
	reason := reasonLeaderSilent
	c.mutex.Lock()
	isConnected := c.isConnected
	c.mutex.Unlock()
	switch {
	case last.failed:
		reason = reasonStandbySilent
	case c.Leader() == "":
		reason = reasonNoLeader
	case !isConnected:
		reason = reasonNotConnected
	}
	c.Log.WithFields(logrus.Fields{
		logging.Tenant: tenant, logging.Cost: cost, logging.Reason: reason, logging.Standby: last.standby,
		logging.Credit: last.Left, logging.CreditAgeMs: last.Age.Milliseconds(),
	}).Info(logging.MessageLimitUnknown)
}
