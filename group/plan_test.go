package group

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// planMachine interleaves proposers, message by message, with view changes and
// crashes. The oracle holds every revision that counted: a proposer that takes over
// must see the newest of them, and nothing may count behind its back.
type planMachine struct {
	*groupMachine
	proposers []*planProposer
	newest    PlanState // of those that counted
	names     int
}

type planProposer struct {
	name     string
	view     View
	ballot   uint64
	asked    map[string]bool
	promises []PlanState
	leads    bool
	seen     PlanState // at the take-over
	revision uint64
	accepted int
	over     bool
}

func newPlanMachine() *planMachine {
	return &planMachine{groupMachine: newGroupMachine()}
}

func (m *planMachine) start(t *rapid.T) {
	m.names++
	m.proposers = append(m.proposers, &planProposer{name: fmt.Sprintf("p%d", m.names), view: m.standing,
		ballot: uint64(rapid.IntRange(1, 6).Draw(t, "ballot")), asked: map[string]bool{}})
}

// step takes one proposer one message further.
func (m *planMachine) step(t *rapid.T) {
	var open []*planProposer
	for _, one := range m.proposers {
		if !one.over {
			open = append(open, one)
		}
	}
	if len(open) == 0 {
		t.Skip("no proposer")
	}
	one := rapid.SampledFrom(open).Draw(t, "proposer")
	for _, member := range one.view.Members {
		if one.asked[member.ID] {
			continue
		}
		one.asked[member.ID] = true
		if rapid.IntRange(0, 5).Draw(t, "fate") == 0 {
			return // lost
		}
		if one.leads {
			m.accept(t, one, member)
		} else {
			m.promise(t, one, member)
		}
		return
	}
	// All were asked: a leader goes on to its next revision, others give up.
	if !one.leads || one.accepted < one.view.writeQuorum() {
		one.over = true
		return
	}
	m.next(one)
}

func (m *planMachine) next(one *planProposer) {
	one.revision++
	one.accepted, one.asked = 0, map[string]bool{}
}

func (m *planMachine) promise(t *rapid.T, one *planProposer, member ViewMember) {
	verdict, state := m.reach(member).Promise(one.view, one.ballot, one.name)
	if verdict != PlanAccepted {
		return
	}
	one.promises = append(one.promises, state)
	if len(one.promises) < one.view.writeQuorum() {
		return
	}
	seen := mergePlans(one.promises)
	require.False(t, m.newest.newer(seen), "%s took over and missed revision %d of ballot %d", one.name, m.newest.Revision, m.newest.Ballot)
	one.leads, one.seen = true, seen
	m.next(one)
}

func (m *planMachine) accept(t *rapid.T, one *planProposer, member ViewMember) {
	update := PlanUpdate{Ballot: one.ballot, Proposer: one.name, Revision: one.revision, Full: true,
		Entries: map[string][]byte{"engine": []byte(one.name)}}
	if verdict, _ := m.reach(member).Accept(one.view, update); verdict != PlanAccepted {
		return
	}
	one.accepted++
	if one.accepted == one.view.writeQuorum() {
		state := PlanState{Ballot: one.ballot, Revision: one.revision, Entries: update.Entries, Proposer: one.name}
		for _, later := range m.proposers {
			missed := later.leads && later.ballot > one.ballot && state.newer(later.seen)
			require.False(t, missed, "%s made revision %d of ballot %d count behind the back of %s", one.name, one.revision, one.ballot, later.name)
		}
		if state.newer(m.newest) {
			m.newest = state
		}
	}
}

func TestPlanIsNeverLostNorForked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlanMachine()
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "step": m.step, "stepMore": m.step, "stepYetMore": m.step,
			"startChange": m.startChange, "stepChange": m.stepChange, "changeMore": m.stepChange, "open": m.open, "crash": m.crash,
		})
	})
}

func TestMemberWithAGapAsksForTheWholePlan(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	update := PlanUpdate{Ballot: 1, Proposer: "p", Revision: 2, Entries: map[string][]byte{"e2": []byte("two")}}
	verdict, _ := member.Accept(m.standing, update)
	require.Equal(t, PlanGap, verdict)
	update.Full = true
	verdict, _ = member.Accept(m.standing, update)
	require.Equal(t, PlanAccepted, verdict)
	verdict, _ = member.Accept(m.standing, PlanUpdate{Ballot: 1, Proposer: "p", Revision: 3, Entries: map[string][]byte{"e2": nil, "e3": []byte("three")}})
	require.Equal(t, PlanAccepted, verdict)
	_, state := member.Promise(m.standing, 1, "p")
	require.Equal(t, map[string][]byte{"e3": []byte("three")}, state.Entries)
	verdict, _ = member.Accept(m.standing, PlanUpdate{Ballot: 1, Proposer: "q", Revision: 4})
	require.Equal(t, PlanPreempted, verdict, "a ballot belongs to one proposer")
}
