package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The machine below interleaves, message by message, the claims of several
// gateways with view changes, lost messages and answers, crashes that empty a
// member's memory, and leaders that stop midway. The oracle counts runs: a key
// runs at most once, whatever happens.

const testSlot = 7

type groupMachine struct {
	now       time.Time
	members   map[string]*Member // by id; replaced when one crashes
	process   map[string]uint64
	standing  View // in the key-value service
	proposals []*proposal
	changes   []*viewChange
	runs      map[string][]string // request ids that ran, by key
	requests  int
	writers   int
}

// proposal is a gateway's claim under way.
type proposal struct {
	view   View
	record Record
	asked  map[string]bool
	counts *tally
	ran    bool
	over   bool
}

// viewChange is a leader's change under way.
type viewChange struct {
	old    View
	sealed map[string]bool
	held   []State
	gone   int
	next   *View
	state  State
	ready  map[string]bool
	over   bool
}

func newGroupMachine() *groupMachine {
	m := &groupMachine{now: time.Unix(1_000_000, 0), members: map[string]*Member{}, process: map[string]uint64{}, runs: map[string][]string{}}
	for _, id := range []string{"a", "b", "c", "d"} {
		m.process[id] = 1
		m.members[id] = NewMember(1)
	}
	m.standing = View{Region: "r", Slot: testSlot, Epoch: 1, Writer: "first", Members: m.group("a", "b", "c")}
	for _, member := range m.standing.Members {
		m.members[member.ID].Install(m.standing, State{})
		m.members[member.ID].Open(m.standing)
	}
	return m
}

func (m *groupMachine) group(ids ...string) []ViewMember {
	var members []ViewMember
	for _, id := range ids {
		members = append(members, ViewMember{ID: id, Process: m.process[id]})
	}
	return members
}

// reach returns the member if the process that is meant still runs.
func (m *groupMachine) reach(member ViewMember) *Member { return m.members[member.ID] }

func (m *groupMachine) propose(t *rapid.T) {
	m.requests++
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	record := Record{Key: key, RequestID: fmt.Sprintf("request-%d", m.requests), ClaimedAt: m.now, SettleDeadline: m.now.Add(time.Minute)}
	m.proposals = append(m.proposals, &proposal{view: m.standing, record: record, asked: map[string]bool{}, counts: &tally{view: m.standing}})
}

func (m *groupMachine) pickProposal(t *rapid.T, suits func(*proposal) bool) *proposal {
	var suitable []*proposal
	for _, one := range m.proposals {
		if suits(one) {
			suitable = append(suitable, one)
		}
	}
	if len(suitable) == 0 {
		t.Skip("no proposal suits")
	}
	return rapid.SampledFrom(suitable).Draw(t, "proposal")
}

// deliverClaim takes one claim to one member, with its answer or without.
func (m *groupMachine) deliverClaim(t *rapid.T) {
	one := m.pickProposal(t, func(p *proposal) bool { return !p.over && len(p.asked) < len(p.view.Members) })
	for _, member := range one.view.Members {
		if one.asked[member.ID] {
			continue
		}
		one.asked[member.ID] = true
		fate := rapid.IntRange(0, 5).Draw(t, "fate")
		if fate == 0 { // lost on the way
			one.counts.add(0, Record{}, fmt.Errorf("lost"))
			break
		}
		verdict, standing := m.reach(member).Claim(m.now, one.view, one.record)
		if fate == 1 { // the answer was lost
			one.counts.add(0, Record{}, fmt.Errorf("lost"))
			break
		}
		one.counts.add(verdict, standing, nil)
		break
	}
	if one.counts.decide() == counted && !one.ran {
		one.ran, one.over = true, true
		m.runs[one.record.Key] = append(m.runs[one.record.Key], one.record.RequestID)
		require.Len(t, m.runs[one.record.Key], 1, "%s ran more than once: %v", one.record.Key, m.runs[one.record.Key])
	}
}

// retry takes a failed proposal to the standing view, with the same request id.
func (m *groupMachine) retry(t *rapid.T) {
	one := m.pickProposal(t, func(p *proposal) bool {
		decided := p.counts.decide()
		return !p.over && (decided == stale || decided == unreachable)
	})
	one.view, one.asked, one.counts = m.standing, map[string]bool{}, &tally{view: m.standing}
}

// giveUp withdraws a proposal that did not count; some members may not hear.
func (m *groupMachine) giveUp(t *rapid.T) {
	one := m.pickProposal(t, func(p *proposal) bool { return !p.over && p.counts.decide() != counted })
	one.over = true
	for _, member := range one.view.Members {
		if rapid.Bool().Draw(t, "hears") {
			m.reach(member).Withdraw(one.view, one.record.Key, one.record.RequestID)
		}
	}
}

// settle stores the outcome of a run at some members of the standing view.
func (m *groupMachine) settle(t *rapid.T) {
	one := m.pickProposal(t, func(p *proposal) bool { return p.ran })
	record := one.record
	record.State = rapid.SampledFrom([]ClaimState{Indeterminate, Completed}).Draw(t, "state")
	for _, member := range m.standing.Members {
		if rapid.Bool().Draw(t, "hears") {
			m.reach(member).Settle(m.now, m.standing, record)
		}
	}
}

func (m *groupMachine) startChange(*rapid.T) {
	m.changes = append(m.changes, &viewChange{old: m.standing, sealed: map[string]bool{}, ready: map[string]bool{}})
}

// stepChange takes one view change one message further.
func (m *groupMachine) stepChange(t *rapid.T) {
	var open []*viewChange
	for _, one := range m.changes {
		if !one.over {
			open = append(open, one)
		}
	}
	if len(open) == 0 {
		t.Skip("no change under way")
	}
	one := rapid.SampledFrom(open).Draw(t, "change")
	for _, member := range one.old.Members {
		if one.next == nil && !one.sealed[member.ID] {
			one.sealed[member.ID] = true
			if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
				return // lost
			}
			state, held, gone := m.reach(member).Seal(one.old, member.Process)
			if held {
				one.held = append(one.held, state)
			} else if gone {
				one.gone++
			}
			return
		}
	}
	if one.next == nil {
		m.prepare(t, one)
		return
	}
	for _, member := range one.next.Members {
		if !one.ready[member.ID] {
			one.ready[member.ID] = m.reach(member).Install(*one.next, one.state)
			one.over = !one.ready[member.ID]
			return
		}
	}
	m.swap(one)
}

func (m *groupMachine) prepare(t *rapid.T, one *viewChange) {
	// Losing the memory of a quorum has its own answer (LostAt) and is tested apart.
	if len(one.held) < one.old.sealQuorum() {
		one.over = true
		return
	}
	ids := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "members")[:3]
	m.writers++
	next := View{Region: "r", Slot: testSlot, Epoch: one.old.Epoch + 1, Writer: fmt.Sprintf("writer-%d", m.writers), Members: m.group(ids...)}
	one.next, one.state = &next, mergeStates(one.held)
}

// swap is the compare-and-swap, after which members may open the view.
func (m *groupMachine) swap(one *viewChange) {
	one.over = true
	if !m.standing.same(one.old) {
		return
	}
	m.standing = *one.next
}

func (m *groupMachine) open(t *rapid.T) {
	member := rapid.SampledFrom(m.standing.Members).Draw(t, "member")
	m.reach(member).Open(m.standing)
}

// crash empties a member, but never the memory of a whole quorum.
func (m *groupMachine) crash(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "member")
	lost := 0
	for _, member := range m.standing.Members {
		if member.ID == id || m.process[member.ID] != member.Process {
			lost++
		}
	}
	if lost > len(m.standing.Members)-m.standing.sealQuorum() {
		t.Skip("would lose a quorum's memory")
	}
	m.process[id]++
	m.members[id] = NewMember(m.process[id])
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGroupMachine()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "deliverClaim": m.deliverClaim, "deliverMore": m.deliverClaim, "retry": m.retry, "giveUp": m.giveUp,
			"settle": m.settle, "startChange": m.startChange, "stepChange": m.stepChange, "stepMore": m.stepChange, "stepYetMore": m.stepChange,
			"open": m.open, "crash": m.crash,
		})
	})
}

func TestMergeKeepsTheNewestAndDoubtsTheDisputed(t *testing.T) {
	claimed := Record{Key: "k", RequestID: "one"}
	completed := claimed
	completed.State = Completed
	rival := Record{Key: "k", RequestID: "two"}
	require.Equal(t, []Record{completed}, merge([][]Record{{claimed}, {completed}}))
	require.Equal(t, Indeterminate, merge([][]Record{{claimed}, {rival}})[0].State)
	require.Equal(t, []Record{claimed}, merge([][]Record{{claimed}, {claimed}, {}}))
}

func TestClaimTurnsUnsettledAndExpires(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	record := Record{Key: "k", RequestID: "one", ClaimedAt: m.now, SettleDeadline: m.now.Add(time.Minute)}
	verdict, _ := member.Claim(m.now, m.standing, record)
	require.Equal(t, Accepted, verdict)
	_, standing := member.Look(m.now.Add(2*time.Minute), m.standing, "k")
	require.Equal(t, Indeterminate, standing.State)
	verdict, _ = member.Look(m.now.Add(2*time.Minute+ClaimRetention), m.standing, "k")
	require.Equal(t, Accepted, verdict, "forgotten after Kept")
}

func TestMemoryIsBounded(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	const body = 200 << 10
	for number := range 100 {
		record := Record{Key: fmt.Sprint(number), RequestID: fmt.Sprint(number), State: Completed, ClaimedAt: m.now.Add(time.Duration(number)),
			SettleDeadline: m.now, Outcome: Outcome{Body: make([]byte, body)}}
		require.True(t, member.Settle(m.now, m.standing, record))
		require.LessOrEqual(t, member.bytes, memoryLimit+body)
	}
	_, oldest := member.Look(m.now, m.standing, "0")
	require.Equal(t, Completed, oldest.State, "the record stays")
	require.True(t, oldest.Outcome.Dropped)
}

func TestForgottenKeysAreUnknown(t *testing.T) {
	view := View{LostAt: time.Now()}
	require.NotNil(t, forgotten(view, "a key without a time"))
	require.Nil(t, forgotten(View{}, "a key without a time"))
	const made2020 = "0176b7b6-5c00-7000-8000-000000000000"
	made, timed := KeyTime(made2020)
	require.True(t, timed)
	require.Equal(t, 2020, made.UTC().Year())
	require.NotNil(t, forgotten(View{}, made2020), "older than claims are kept")
}
