package core

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// Balancer asks the leader for the replicas of dispatches, which it chooses jointly for all daemons.
type Balancer interface {
	// Assign asks which candidate is to take a request. It blocks for a short, bounded time. Without
	// an answer, or without candidates, the caller chooses and calls Begin. It must call End.
	Assign(ctx context.Context, question Question) (BalancedDispatch, Choice)
}

// Question asks for the replica of a dispatch.
type Question struct {
	balance.Request
	Prefixes []Prefix // of the prompt, shortest first
}

// Prefix is a leading part of a prompt that a replica may have in its cache.
type Prefix struct {
	Key    uint64 // same for the same content, model and adapter
	Tokens int
}

// BalancedDispatch is a dispatch in the leader's account.
type BalancedDispatch interface {
	// Begin tells the leader of a replica that this daemon chose itself.
	Begin(replica fleet.Incarnation)
	// RecordFirstByte tells the leader that the replica has read the prompt.
	RecordFirstByte(sentToFirstByte time.Duration)
	// End tells the leader that the dispatch has ended, or was never sent.
	End()
}

// Choice is the replica chosen for a dispatch, or the reason why the daemon chooses itself.
type Choice struct {
	ByLeader bool
	Reason   string // for log fields
	// The other fields are valid if ByLeader is set.
	Replica           fleet.Incarnation
	Delay             time.Duration // to wait before sending
	ExpectedFirstByte time.Duration // since the choice, with the delay
	TokensPerSecond   float64       // estimated speed at which the replica reads prompts
	// Transfer is the part of the prompt that the replica should get from another one.
	Transfer balance.Transfer
}

// source names who chose, for log fields and metrics.
func (c Choice) source() string {
	if c.ByLeader {
		return "order_holder"
	}
	return "daemon"
}

// Reasons why a daemon chooses a replica itself, for log fields and metrics.
const (
	ReasonNoAnswer     = "no_answer"       // the leader did not answer in time
	ReasonSuspended    = "silent"          // an earlier question has no answer yet
	ReasonNotConnected = "not_connected"   // there is no connection to a leader
	ReasonInvalid      = "invalid_answer"  // the answer cannot be used
	ReasonNotOffered   = "not_offered"     // all replicas are rate-limited or were not reached, so nobody was asked
	ReasonNotUsable    = "replica_changed" // the chosen replica can no longer take the request
)

// reasonOverloaded is why a request is not sent to the replica that the leader chose: its caller would have
// left before the first byte.
const reasonOverloaded = "overloaded"

// balances reports whether replicas are assigned to a call jointly: prompts read beside its stream add
// up to pauses longer than its callers accept.
func (c *Core) balances(call *Call) bool {
	return c.Balancer != nil && call.Route.Kind == routing.Stream && call.Route.MaxGap > 0 && call.Service.Engine.BatchesEvents()
}

// choose returns the replica of the next dispatch, or the reason why there is none.
func (c *Core) choose(ctx context.Context, state *callState, requirements fleet.Query, now time.Time) (*fleet.Pick, fleet.Miss) {
	if !c.balances(state.Call) {
		return c.Fleet.Choose(requirements, now)
	}
	state.endBalanced()
	offered, miss := c.Fleet.Offer(requirements, now)
	if miss != fleet.Found {
		return nil, miss
	}
	question := balanceQuestion(state.Call, offered, now)
	state.balanced, state.choice = c.Balancer.Assign(ctx, question)
	state.choice.Delay = min(state.choice.Delay, balance.DelayBound(question.Slack))
	if state.choice.ByLeader && !state.lifecycle.MayHaveRun() && isOverloaded(state.choice.ExpectedFirstByte, time.Until(waitLimit(state.Call))) {
		state.endBalanced()
		state.choice.Reason = reasonOverloaded
		c.Metrics.recordChoice(state.choice)
		return nil, fleet.Saturated
	}
	if pick := c.takeChosen(ctx, state, requirements); pick != nil {
		c.Metrics.recordChoice(state.choice)
		return pick, fleet.Found
	}
	pick, miss := c.Fleet.Choose(requirements, time.Now())
	if pick == nil {
		state.endBalanced()
		return nil, miss
	}
	c.Metrics.recordChoice(state.choice)
	state.balanced.Begin(pick.Incarnation)
	return pick, miss
}

// takeChosen waits until a request may be sent to the replica that the leader chose. It returns nil if
// the leader chose none, or one that can no longer take the request.
func (c *Core) takeChosen(ctx context.Context, state *callState, requirements fleet.Query) *fleet.Pick {
	if !state.choice.ByLeader {
		return nil
	}
	state.choice.Delay = min(state.choice.Delay, slack(state.Call, time.Now()))
	c.hold(ctx, state.choice.Delay)
	pick := c.Fleet.Take(state.choice.Replica, requirements, time.Now())
	if pick == nil {
		state.choice = Choice{Reason: ReasonNotUsable}
	}
	return pick
}

// hold waits before a request is sent, at most until ctx or the daemon ends.
func (c *Core) hold(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-c.stopping:
	}
}

// transferSource returns the address of the replica from which the chosen one should get cached prompt
// tokens; empty without one. If that replica no longer has them, the chosen one reads the prompt, and the
// leader is told.
func (c *Core) transferSource(state *callState) string {
	source := state.choice.Transfer.From
	if !state.choice.ByLeader || source.ID == "" {
		return ""
	}
	entry, listed := c.Fleet.Entry(source.ID)
	if !listed || entry.Incarnation() != source || entry.Draining {
		state.choice.Transfer = balance.Transfer{}
		state.balanced.Begin(state.choice.Replica)
		return ""
	}
	return entry.Address
}

// slack returns the time left for a call's first byte.
func slack(call *Call, now time.Time) time.Duration {
	return max(0, call.Arrived.Add(call.Route.Objective).Sub(now))
}

func balanceQuestion(call *Call, offered []fleet.Candidate, now time.Time) Question {
	request := balance.Request{
		Service: call.Service.Name, PromptTokens: call.PromptTokens, OutputTokens: call.OutputTokens,
		MaxGap: call.Route.MaxGap, Slack: slack(call, now), Priority: call.Priority(), TransferRate: call.Service.Engine.TransferRate,
	}
	for _, candidate := range offered {
		request.Candidates = append(request.Candidates, balance.Candidate{Replica: candidate.Incarnation, Slots: candidate.Slots, Penalty: candidate.Penalty})
	}
	return Question{request, prefixes(call)}
}

// maxPrefixes bounds the prefixes of a question.
const maxPrefixes = 4

// prefixes returns the prompt's first parts, the first two together, and so on.
func prefixes(call *Call) (all []Prefix) {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, call.Target.Model+"\x00"+call.Target.Adapter)
	tokens := 0
	for _, part := range call.PromptParts[:min(len(call.PromptParts), maxPrefixes)] {
		_, _ = io.WriteString(hash, "\x00"+part.ID)
		tokens += part.Tokens
		all = append(all, Prefix{hash.Sum64(), tokens})
	}
	return all
}

// endBalanced ends the call's dispatch in the leader's account, if there is one.
func (s *callState) endBalanced() {
	if s.balanced != nil {
		s.balanced.End()
		s.balanced = nil
	}
}
