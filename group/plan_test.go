package group

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// planMachine interleaves proposers, message by message, with view changes and crashes. It
// checks that a proposer that takes over obtains the newest committed revision, and that
// proposers with lower ballots commit no later revision.
type planMachine struct {
	*groupMachine
	proposers     []*simulatedProposer
	newest        PlanState // the newest committed plan
	proposerCount int
}

type simulatedProposer struct {
	name        string
	view        View
	ballot      uint64
	sent        map[string]bool
	promises    []PlanState
	established bool
	inherited   PlanState // plan at the take-over
	revision    uint64
	accepted    int
	done        bool
}

func newPlanMachine() *planMachine {
	return &planMachine{groupMachine: newGroupMachine()}
}

func (m *planMachine) startProposer(t *rapid.T) {
	m.proposerCount++
	m.proposers = append(m.proposers, &simulatedProposer{name: fmt.Sprintf("p%d", m.proposerCount), view: m.current,
		ballot: uint64(rapid.IntRange(1, 6).Draw(t, "ballot")), sent: map[string]bool{}})
}

// stepProposer delivers the next message of one proposer.
func (m *planMachine) stepProposer(t *rapid.T) {
	var open []*simulatedProposer
	for _, p := range m.proposers {
		if !p.done {
			open = append(open, p)
		}
	}
	if len(open) == 0 {
		t.Skip("no proposer")
	}
	p := rapid.SampledFrom(open).Draw(t, "proposer")
	for _, member := range p.view.Members {
		if p.sent[member.ID] {
			continue
		}
		p.sent[member.ID] = true
		if rapid.IntRange(0, 5).Draw(t, "delivery") == 0 {
			return // lost
		}
		if p.established {
			m.deliverAccept(t, p, member)
		} else {
			m.deliverPromise(t, p, member)
		}
		return
	}
	// After messages to all members an established proposer starts its next revision;
	// others stop.
	if !p.established || p.accepted < p.view.writeQuorum() {
		p.done = true
		return
	}
	m.nextRevision(p)
}

func (m *planMachine) nextRevision(p *simulatedProposer) {
	p.revision++
	p.accepted, p.sent = 0, map[string]bool{}
}

func (m *planMachine) deliverPromise(t *rapid.T, p *simulatedProposer, member ViewMember) {
	verdict, state := m.lookupMember(member).Promise(p.view, p.ballot, p.name)
	if verdict != PlanAccepted {
		return
	}
	p.promises = append(p.promises, state)
	if len(p.promises) < p.view.writeQuorum() {
		return
	}
	inherited := mergePlans(p.promises)
	require.False(t, m.newest.newer(inherited), "%s took over and missed revision %d of ballot %d", p.name, m.newest.Revision, m.newest.Ballot)
	p.established, p.inherited = true, inherited
	m.nextRevision(p)
}

func (m *planMachine) deliverAccept(t *rapid.T, p *simulatedProposer, member ViewMember) {
	update := PlanUpdate{Ballot: p.ballot, Proposer: p.name, Revision: p.revision, Full: true,
		Entries: map[string][]byte{"engine": []byte(p.name)}}
	if verdict, _ := m.lookupMember(member).Accept(p.view, update); verdict != PlanAccepted {
		return
	}
	p.accepted++
	if p.accepted == p.view.writeQuorum() {
		state := PlanState{Ballot: p.ballot, Revision: p.revision, Entries: update.Entries, Proposer: p.name}
		for _, later := range m.proposers {
			missed := later.established && later.ballot > p.ballot && state.newer(later.inherited)
			require.False(t, missed, "%s committed revision %d of ballot %d unseen by %s", p.name, p.revision, p.ballot, later.name)
		}
		if state.newer(m.newest) {
			m.newest = state
		}
	}
}

func TestCommittedPlanIsNeitherLostNorForked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine()
		t.Repeat(map[string]func(*rapid.T){
			"start": m.startProposer, "step": m.stepProposer, "stepMore": m.stepProposer, "stepYetMore": m.stepProposer,
			"startChange": m.startChange, "stepChange": m.stepChange, "changeMore": m.stepChange, "open": m.open, "crash": m.crash,
		})
	})
}

func TestMemberWithMissingRevisionRequiresFullPlan(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	update := PlanUpdate{Ballot: 1, Proposer: "p", Revision: 2, Entries: map[string][]byte{"e2": []byte("two")}}
	verdict, _ := member.Accept(m.current, update)
	require.Equal(t, PlanGap, verdict)
	update.Full = true
	verdict, _ = member.Accept(m.current, update)
	require.Equal(t, PlanAccepted, verdict)
	verdict, _ = member.Accept(m.current, PlanUpdate{Ballot: 1, Proposer: "p", Revision: 3, Entries: map[string][]byte{"e2": nil, "e3": []byte("three")}})
	require.Equal(t, PlanAccepted, verdict)
	_, state := member.Promise(m.current, 1, "p")
	require.Equal(t, map[string][]byte{"e3": []byte("three")}, state.Entries)
	verdict, _ = member.Accept(m.current, PlanUpdate{Ballot: 1, Proposer: "q", Revision: 4})
	require.Equal(t, PlanPreempted, verdict, "a ballot belongs to one proposer")
}
