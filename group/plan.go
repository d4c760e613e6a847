package group

import (
	"maps"

	"github.com/finchspoke/finchspoke/rpc"
)

// PlanVerdict is a member's answer about a region's plan.
type PlanVerdict uint32

// The verdicts.
const (
	PlanAccepted PlanVerdict = iota
	// PlanPreempted: a higher ballot was promised, or this one to another proposer.
	PlanPreempted
	// PlanGap: the member lacks the revision before; send the whole plan.
	PlanGap
	// PlanWrongView: the member is not in that view, or the view is sealed.
	PlanWrongView
)

// PlanState is a region's plan as one member holds it. Proposers are told apart by
// ballots: a member that promised one takes nothing lower, and one ballot is
// promised to one proposer. A revision counts once a write quorum accepted it.
type PlanState struct {
	Promised uint64
	Proposer string
	Ballot   uint64 // of what is accepted
	Revision uint64
	Entries  map[string][]byte // by engine id
}

func (p PlanState) clone() PlanState {
	p.Entries = maps.Clone(p.Entries)
	return p
}

// newer tells whether p holds a later plan than other.
func (p PlanState) newer(other PlanState) bool {
	if p.Ballot != other.Ballot {
		return p.Ballot > other.Ballot
	}
	return p.Revision > other.Revision
}

// mergePlans returns the newest plan of a sealed or promising quorum, which holds
// every revision that counted, and the highest promise.
func mergePlans(states []PlanState) PlanState {
	var newest PlanState
	promised, proposer := uint64(0), ""
	for _, state := range states {
		if state.newer(newest) {
			newest = state
		}
		if state.Promised > promised {
			promised, proposer = state.Promised, state.Proposer
		}
	}
	newest.Promised, newest.Proposer = promised, proposer
	return newest.clone()
}

// PlanUpdate is a revision of the plan to accept.
type PlanUpdate struct {
	Ballot   uint64
	Proposer string
	Revision uint64
	Full     bool              // entries are the whole plan
	Entries  map[string][]byte // by engine id; empty: removed
}

// Promise makes a member take nothing below a ballot and returns what it holds.
func (m *Member) Promise(view View, ballot uint64, proposer string) (PlanVerdict, PlanState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return PlanWrongView, PlanState{}
	}
	if !held.plan.promise(ballot, proposer) {
		return PlanPreempted, held.plan.clone()
	}
	return PlanAccepted, held.plan.clone()
}

func (p *PlanState) promise(ballot uint64, proposer string) bool {
	if ballot < p.Promised || (ballot == p.Promised && proposer != p.Proposer) {
		return false
	}
	p.Promised, p.Proposer = ballot, proposer
	return true
}

// Accept takes a revision of the plan in. Accepting one again changes nothing.
func (m *Member) Accept(view View, update PlanUpdate) (PlanVerdict, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return PlanWrongView, 0
	}
	plan := &held.plan
	if !plan.promise(update.Ballot, update.Proposer) {
		return PlanPreempted, plan.Promised
	}
	sameBallot := plan.Ballot == update.Ballot
	switch {
	case sameBallot && plan.Revision >= update.Revision:
		return PlanAccepted, plan.Promised
	case update.Full:
		plan.Entries = map[string][]byte{}
	case !sameBallot || plan.Revision+1 != update.Revision:
		return PlanGap, plan.Promised
	}
	plan.Ballot, plan.Revision = update.Ballot, update.Revision
	for id, entry := range update.Entries {
		if len(entry) == 0 {
			delete(plan.Entries, id)
		} else {
			plan.Entries[id] = entry
		}
	}
	return PlanAccepted, plan.Promised
}

func (p PlanState) wire() *rpc.PlanState {
	message := &rpc.PlanState{Promised: p.Promised, Proposer: p.Proposer, Ballot: p.Ballot, Revision: p.Revision}
	message.Entries = wireEntries(p.Entries)
	return message
}

func wireEntries(entries map[string][]byte) []*rpc.PlanEntry {
	messages := make([]*rpc.PlanEntry, 0, len(entries))
	for id, entry := range entries {
		messages = append(messages, &rpc.PlanEntry{EngineId: id, EnginePlan: entry})
	}
	return messages
}

func planOf(message *rpc.PlanState) PlanState {
	return PlanState{Promised: message.GetPromised(), Proposer: message.GetProposer(), Ballot: message.GetBallot(),
		Revision: message.GetRevision(), Entries: entriesOf(message.GetEntries())}
}

func entriesOf(messages []*rpc.PlanEntry) map[string][]byte {
	entries := make(map[string][]byte, len(messages))
	for _, message := range messages {
		entries[message.GetEngineId()] = message.GetEnginePlan()
	}
	return entries
}

func (s State) wire() *rpc.GroupState {
	message := &rpc.GroupState{Plan: s.Plan.wire()}
	for _, record := range s.Claims {
		message.Claims = append(message.Claims, record.wire())
	}
	return message
}

func stateOf(message *rpc.GroupState) State {
	state := State{Plan: planOf(message.GetPlan())}
	for _, claim := range message.GetClaims() {
		state.Claims = append(state.Claims, recordOf(claim))
	}
	return state
}

// mergeStates joins what the members of a sealed quorum held.
func mergeStates(states []State) State {
	claims := make([][]Record, 0, len(states))
	plans := make([]PlanState, 0, len(states))
	for _, state := range states {
		claims = append(claims, state.Claims)
		plans = append(plans, state.Plan)
	}
	return State{Claims: merge(claims), Plan: mergePlans(plans)}
}
