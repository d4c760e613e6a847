package balancer

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// answerTimeout bounds the wait for the leader's answer to one question.
	answerTimeout = 25 * time.Millisecond
	// speedRetention is the age of a replica's speed up to which it is told to the next leader.
	speedRetention = 10 * time.Minute
	// speedPruneInterval is the time between two searches for older ones.
	speedPruneInterval = time.Minute
)

// Dispatch is a dispatch in the leader's account. It implements core.BalancedDispatch.
type Dispatch struct {
	client  *Client
	request core.Question
	answers chan core.Choice // nil unless the leader was asked; holds its answer

	// The other fields are protected by the client's mutex.
	isWaiting  bool              // for the leader's answer
	replica    fleet.Incarnation // to which it is or will be sent; zero if not known yet
	chosenAt   time.Time
	delay      time.Duration // from chosenAt until it is sent
	expected   time.Duration // from chosenAt to the first byte; valid with isAssigned
	isAssigned bool          // the leader chose the replica
	promptRead bool
}

// Assign implements core.Balancer.
func (c *Client) Assign(ctx context.Context, request core.Question) (core.BalancedDispatch, core.Choice) {
	dispatch, refused, lost := c.ask(request)
	if refused != "" {
		return dispatch, core.Choice{Reason: refused}
	}
	askedAt := c.Now()
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	choice := core.Choice{Reason: core.ReasonNoAnswer}
	select {
	case choice = <-dispatch.answers:
	case <-lost:
		choice.Reason = core.ReasonNotConnected
	case <-timer.C:
		c.suspend(dispatch)
	case <-ctx.Done():
	}
	c.Metrics.recordAnswer(choice, c.Now().Sub(askedAt))
	return dispatch, c.settle(dispatch, choice)
}

// ask queues the question for a new dispatch, or returns why the leader is not asked. lost is closed
// when the connection is lost.
func (c *Client) ask(request core.Question) (dispatch *Dispatch, refused string, lost <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastNumber++
	request.ID = balance.DispatchID{Process: c.processID, Number: c.lastNumber}
	dispatch = &Dispatch{client: c, request: request}
	c.dispatches[c.lastNumber] = dispatch
	switch {
	case len(request.Candidates) == 0:
		return dispatch, core.ReasonNotOffered, nil
	case !c.isConnected:
		return dispatch, core.ReasonNotConnected, nil
	case c.isSuspended:
		return dispatch, core.ReasonSuspended, nil
	}
	dispatch.answers, dispatch.isWaiting = make(chan core.Choice, 1), true
	c.outbox.Questions = append(c.outbox.Questions, questionMessage(request))
	signal(c.urgent)
	return dispatch, "", c.disconnected
}

// suspend stops further questions until the leader answers, unless it has just answered this one.
func (c *Client) suspend(dispatch *Dispatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if dispatch.isWaiting && c.isConnected {
		c.isSuspended = true
	}
}

// settle ends the wait for an answer and returns the choice, with one that has arrived meanwhile.
func (c *Client) settle(dispatch *Dispatch, choice core.Choice) core.Choice {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	dispatch.isWaiting = false
	select {
	case choice = <-dispatch.answers:
	default:
	}
	return choice
}

// applyAssignment passes the leader's answer to the dispatch that waits for it. One that does not wait
// any longer is at a replica of this daemon's choice, of which an event tells the leader. The caller
// holds the mutex.
func (c *Client) applyAssignment(dispatch *Dispatch, message *rpc.BalanceAssignment, now time.Time) {
	if !dispatch.isWaiting {
		c.Metrics.countLate()
		return
	}
	dispatch.isWaiting = false
	if message.GetReplica() == nil {
		dispatch.answers <- core.Choice{Reason: core.ReasonNoAnswer}
		return
	}
	choice, err := decodeChoice(dispatch.request, message)
	if err != nil {
		c.countInvalid(err)
		dispatch.answers <- core.Choice{Reason: core.ReasonInvalid}
		return
	}
	c.rememberSpeed(message.GetEstimate(), now)
	dispatch.replica, dispatch.chosenAt, dispatch.delay, dispatch.expected, dispatch.isAssigned = choice.Replica, now, choice.Delay, choice.ExpectedFirstByte, true
	dispatch.answers <- choice
}

// countInvalid counts an answer that cannot be used, and logs the first one of a stream. The caller
// holds the mutex.
func (c *Client) countInvalid(cause error) {
	c.Metrics.countInvalid("answer")
	if !c.warnedOfLead {
		c.warnedOfLead = true
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyLeader, logging.Fence: c.fence, logging.Cause: cause.Error()}).Warn(logging.MessageInvalidAssignment)
	}
}

// Begin implements core.BalancedDispatch.
func (d *Dispatch) Begin(replica fleet.Incarnation) {
	c := d.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	d.replica, d.chosenAt, d.delay, d.isAssigned = replica, c.Now(), 0, false
	c.tell(&rpc.BalanceEvent{Number: d.request.ID.Number, Began: beganMessage(d.request, replica)})
}

// RecordFirstByte implements core.BalancedDispatch.
func (d *Dispatch) RecordFirstByte(sentToFirstByte time.Duration) {
	c := d.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	d.promptRead = true
	if d.isAssigned {
		c.Metrics.recordOverrun(c.Now().Sub(d.chosenAt) - d.expected)
	}
	c.tell(&rpc.BalanceEvent{Number: d.request.ID.Number, FirstByte: &rpc.BalanceFirstByte{AfterMs: milliseconds(max(0, sentToFirstByte))}})
}

// End implements core.BalancedDispatch.
func (d *Dispatch) End() {
	c := d.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.dispatches, d.request.ID.Number)
	if d.replica != (fleet.Incarnation{}) || d.answers != nil {
		c.tell(&rpc.BalanceEvent{Number: d.request.ID.Number, Ended: true})
	}
}

// tell queues an event. Without a stream there is no need: the first message of the next one tells of
// all dispatches. The caller holds the mutex.
func (c *Client) tell(event *rpc.BalanceEvent) {
	if c.isStreaming {
		c.outbox.Events = append(c.outbox.Events, event)
		signal(c.deferred)
	}
}

// runningMessage describes a dispatch for the first message of a stream. The caller holds the client's
// mutex.
func (d *Dispatch) runningMessage(now time.Time) *rpc.BalanceDispatch {
	message := dispatchMessage(d.request)
	message.Replica, message.PromptRead = rpc.IncarnationMessage(d.replica), d.promptRead
	message.AgeMs = max(0, now.Sub(d.chosenAt)-d.delay).Milliseconds()
	return message
}

// estimates lists the speeds that the leader told, and forgets old ones. The caller holds the mutex.
func (c *Client) estimates(now time.Time) (messages []*rpc.BalanceEstimate) {
	c.pruneSpeeds(now)
	for _, known := range c.speeds {
		estimate := known.Estimate
		estimate.Age = known.age(now)
		messages = append(messages, estimateMessage(estimate))
	}
	return messages
}

// pruneSpeeds forgets old speeds. The caller holds the mutex.
func (c *Client) pruneSpeeds(now time.Time) {
	c.prunedAt = now
	maps.DeleteFunc(c.speeds, func(_ string, known toldSpeed) bool { return known.age(now) > speedRetention })
}

// rememberSpeed keeps the leader's estimate of a replica, if there is one. The caller holds the mutex.
func (c *Client) rememberSpeed(message *rpc.BalanceEstimate, now time.Time) {
	if message == nil {
		return
	}
	estimate, err := decodeEstimate(message)
	if err != nil {
		c.countInvalid(err)
		return
	}
	c.speeds[estimate.Replica.ID] = toldSpeed{estimate, now}
	if now.Sub(c.prunedAt) >= speedPruneInterval {
		c.pruneSpeeds(now)
	}
}
