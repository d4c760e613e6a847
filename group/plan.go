package group

import (
	"maps"

	"github.com/finchspoke/finchspoke/rpc"
)

// PlanVerdict is a member's response to a promise or accept request.
type PlanVerdict uint32

// Verdicts of promise and accept requests.
const (
	PlanAccepted PlanVerdict = iota
	// PlanPreempted means that a higher ballot, or this one by another proposer, was promised.
	PlanPreempted
	// PlanGap means that the member lacks the previous revision and needs the full plan.
	PlanGap
	// PlanWrongView means that the member is not in that view, or the view is sealed.
	PlanWrongView
)

// PlanState is one member's replica of a region's plan. A member that promised a ballot
// rejects lower ones, and it promises each ballot to one proposer only. A revision is
// committed once a write quorum accepted it.
type PlanState struct {
	Promised uint64
	Proposer string
	Ballot   uint64 // of the accepted revision
	Revision uint64
	Entries  map[string][]byte // by engine id
}

func (p PlanState) clone() PlanState {
	p.Entries = maps.Clone(p.Entries)
	return p
}

// newer reports whether p is a later plan than other.
func (p PlanState) newer(other PlanState) bool {
	if p.Ballot != other.Ballot {
		return p.Ballot > other.Ballot
	}
	return p.Revision > other.Revision
}

// mergePlans returns the newest plan and the highest promise of a quorum that is sealed
// or has promised. The newest plan contains every committed revision.
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

// PlanUpdate is a proposed revision of the plan.
type PlanUpdate struct {
	Ballot   uint64
	Proposer string
	Revision uint64
	Full     bool              // Entries are the full plan
	Entries  map[string][]byte // by engine id; an empty value removes the entry
}

// Promise makes the member reject lower ballots and returns its plan.
func (m *Member) Promise(view View, ballot uint64, proposer string) (PlanVerdict, PlanState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return PlanWrongView, PlanState{}
	}
	if !slot.plan.promise(ballot, proposer) {
		return PlanPreempted, slot.plan.clone()
	}
	return PlanAccepted, slot.plan.clone()
}

func (p *PlanState) promise(ballot uint64, proposer string) bool {
	if ballot < p.Promised || (ballot == p.Promised && proposer != p.Proposer) {
		return false
	}
	p.Promised, p.Proposer = ballot, proposer
	return true
}

// Accept applies a revision of the plan and returns the promised ballot. It is idempotent.
func (m *Member) Accept(view View, update PlanUpdate) (PlanVerdict, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return PlanWrongView, 0
	}
	plan := &slot.plan
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

func planFromWire(message *rpc.PlanState) PlanState {
	return PlanState{Promised: message.GetPromised(), Proposer: message.GetProposer(), Ballot: message.GetBallot(),
		Revision: message.GetRevision(), Entries: entriesFromWire(message.GetEntries())}
}

func entriesFromWire(messages []*rpc.PlanEntry) map[string][]byte {
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

func stateFromWire(message *rpc.GroupState) State {
	state := State{Plan: planFromWire(message.GetPlan())}
	for _, claim := range message.GetClaims() {
		state.Claims = append(state.Claims, recordFromWire(claim))
	}
	return state
}

// mergeStates merges the states of a sealed quorum.
func mergeStates(states []State) State {
	claimSets := make([][]Record, 0, len(states))
	plans := make([]PlanState, 0, len(states))
	for _, state := range states {
		claimSets = append(claimSets, state.Claims)
		plans = append(plans, state.Plan)
	}
	return State{Claims: mergeClaims(claimSets), Plan: mergePlans(plans)}
}
