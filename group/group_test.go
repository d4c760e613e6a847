package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The state machine interleaves, message by message, the claims of several gateways with
// view changes, lost messages and responses, crashes that clear a member's state, and
// leaders that stop midway. It checks that each key runs at most once.

const testSlot = 7

type groupMachine struct {
	now       time.Time
	members   map[string]*Member // by id; a crash replaces the member
	process   map[string]uint64
	current   View // as committed in the key-value service
	proposals []*proposal
	changes   []*viewChange
	runs      map[string][]string // ids of requests that ran, by key
	requests  int
	writers   int
}

// proposal is a gateway's claim in progress.
type proposal struct {
	view   View
	record Record
	sent   map[string]bool
	votes  *tally
	ran    bool
	done   bool
}

// viewChange is a leader's view change in progress.
type viewChange struct {
	old       View
	sealed    map[string]bool
	held      []State
	restarted int
	next      *View
	state     State
	prepared  map[string]bool
	done      bool
}

func newGroupMachine() *groupMachine {
	m := &groupMachine{now: time.Unix(1_000_000, 0), members: map[string]*Member{}, process: map[string]uint64{}, runs: map[string][]string{}}
	for _, id := range []string{"a", "b", "c", "d"} {
		m.process[id] = 1
		m.members[id] = NewMember(1)
	}
	m.current = View{Region: "r", Slot: testSlot, Epoch: 1, Writer: "first", Members: m.viewMembers("a", "b", "c")}
	for _, member := range m.current.Members {
		m.members[member.ID].Install(m.current, State{})
		m.members[member.ID].Open(m.current)
	}
	return m
}

func (m *groupMachine) viewMembers(ids ...string) []ViewMember {
	var members []ViewMember
	for _, id := range ids {
		members = append(members, ViewMember{ID: id, Process: m.process[id]})
	}
	return members
}

// lookupMember returns the current process of a member.
func (m *groupMachine) lookupMember(member ViewMember) *Member { return m.members[member.ID] }

func (m *groupMachine) propose(t *rapid.T) {
	m.requests++
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	record := Record{Key: key, RequestID: fmt.Sprintf("request-%d", m.requests), ClaimedAt: m.now, SettleDeadline: m.now.Add(time.Minute)}
	m.proposals = append(m.proposals, &proposal{view: m.current, record: record, sent: map[string]bool{}, votes: &tally{view: m.current}})
}

func (m *groupMachine) pickProposal(t *rapid.T, matches func(*proposal) bool) *proposal {
	var matching []*proposal
	for _, p := range m.proposals {
		if matches(p) {
			matching = append(matching, p)
		}
	}
	if len(matching) == 0 {
		t.Skip("no matching proposal")
	}
	return rapid.SampledFrom(matching).Draw(t, "proposal")
}

// deliverClaim delivers one claim to one member; the claim or its response may be lost.
func (m *groupMachine) deliverClaim(t *rapid.T) {
	attempt := m.pickProposal(t, func(p *proposal) bool { return !p.done && len(p.sent) < len(p.view.Members) })
	for _, member := range attempt.view.Members {
		if attempt.sent[member.ID] {
			continue
		}
		attempt.sent[member.ID] = true
		outcome := rapid.IntRange(0, 5).Draw(t, "delivery")
		if outcome == 0 { // the claim was lost
			attempt.votes.add(0, Record{}, fmt.Errorf("lost"))
			break
		}
		verdict, existing := m.lookupMember(member).Claim(m.now, attempt.view, attempt.record)
		if outcome == 1 { // the response was lost
			attempt.votes.add(0, Record{}, fmt.Errorf("lost"))
			break
		}
		attempt.votes.add(verdict, existing, nil)
		break
	}
	if attempt.votes.decide() == committed && !attempt.ran {
		attempt.ran, attempt.done = true, true
		m.runs[attempt.record.Key] = append(m.runs[attempt.record.Key], attempt.record.RequestID)
		require.Len(t, m.runs[attempt.record.Key], 1, "%s ran more than once: %v", attempt.record.Key, m.runs[attempt.record.Key])
	}
}

// retry repeats a failed proposal in the current view with the same request id.
func (m *groupMachine) retry(t *rapid.T) {
	attempt := m.pickProposal(t, func(p *proposal) bool {
		decided := p.votes.decide()
		return !p.done && (decided == staleView || decided == unreachable)
	})
	attempt.view, attempt.sent, attempt.votes = m.current, map[string]bool{}, &tally{view: m.current}
}

// withdraw ends a proposal that is not committed; some members may miss the message.
func (m *groupMachine) withdraw(t *rapid.T) {
	attempt := m.pickProposal(t, func(p *proposal) bool { return !p.done && p.votes.decide() != committed })
	attempt.done = true
	for _, member := range attempt.view.Members {
		if rapid.Bool().Draw(t, "delivered") {
			m.lookupMember(member).Withdraw(attempt.view, attempt.record.Key, attempt.record.RequestID)
		}
	}
}

// settle stores the outcome of a run at some members of the current view.
func (m *groupMachine) settle(t *rapid.T) {
	attempt := m.pickProposal(t, func(p *proposal) bool { return p.ran })
	record := attempt.record
	record.State = rapid.SampledFrom([]ClaimState{Indeterminate, Completed}).Draw(t, "state")
	for _, member := range m.current.Members {
		if rapid.Bool().Draw(t, "delivered") {
			m.lookupMember(member).Settle(m.now, m.current, record)
		}
	}
}

func (m *groupMachine) startChange(*rapid.T) {
	m.changes = append(m.changes, &viewChange{old: m.current, sealed: map[string]bool{}, prepared: map[string]bool{}})
}

// stepChange delivers the next message of one view change.
func (m *groupMachine) stepChange(t *rapid.T) {
	var open []*viewChange
	for _, change := range m.changes {
		if !change.done {
			open = append(open, change)
		}
	}
	if len(open) == 0 {
		t.Skip("no view change in progress")
	}
	change := rapid.SampledFrom(open).Draw(t, "change")
	for _, member := range change.old.Members {
		if change.next == nil && !change.sealed[member.ID] {
			change.sealed[member.ID] = true
			if rapid.IntRange(0, 4).Draw(t, "delivery") == 0 {
				return // lost
			}
			state, held, restarted := m.lookupMember(member).Seal(change.old, member.Process)
			if held {
				change.held = append(change.held, state)
			} else if restarted {
				change.restarted++
			}
			return
		}
	}
	if change.next == nil {
		m.prepareNext(t, change)
		return
	}
	for _, member := range change.next.Members {
		if !change.prepared[member.ID] {
			change.prepared[member.ID] = m.lookupMember(member).Install(*change.next, change.state)
			change.done = !change.prepared[member.ID]
			return
		}
	}
	m.commitView(change)
}

func (m *groupMachine) prepareNext(t *rapid.T, change *viewChange) {
	// The loss of a quorum's state is handled by LostAt and not covered here.
	if len(change.held) < change.old.sealQuorum() {
		change.done = true
		return
	}
	ids := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "members")[:3]
	m.writers++
	next := View{Region: "r", Slot: testSlot, Epoch: change.old.Epoch + 1, Writer: fmt.Sprintf("writer-%d", m.writers), Members: m.viewMembers(ids...)}
	change.next, change.state = &next, mergeStates(change.held)
}

// commitView performs the compare-and-swap, after which members may open the view.
func (m *groupMachine) commitView(change *viewChange) {
	change.done = true
	if !m.current.same(change.old) {
		return
	}
	m.current = *change.next
}

func (m *groupMachine) open(t *rapid.T) {
	member := rapid.SampledFrom(m.current.Members).Draw(t, "member")
	m.lookupMember(member).Open(m.current)
}

// crash clears a member's state unless a quorum's state would be lost.
func (m *groupMachine) crash(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "member")
	lost := 0
	for _, member := range m.current.Members {
		if member.ID == id || m.process[member.ID] != member.Process {
			lost++
		}
	}
	if lost > len(m.current.Members)-m.current.sealQuorum() {
		t.Skip("would lose the state of a quorum")
	}
	m.process[id]++
	m.members[id] = NewMember(m.process[id])
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGroupMachine()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "deliverClaim": m.deliverClaim, "deliverMore": m.deliverClaim, "retry": m.retry, "giveUp": m.withdraw,
			"settle": m.settle, "startChange": m.startChange, "stepChange": m.stepChange, "stepMore": m.stepChange, "stepYetMore": m.stepChange,
			"open": m.open, "crash": m.crash,
		})
	})
}

func TestMergeKeepsNewestStateAndMarksConflictsIndeterminate(t *testing.T) {
	claimed := Record{Key: "k", RequestID: "one"}
	completed := claimed
	completed.State = Completed
	conflicting := Record{Key: "k", RequestID: "two"}
	require.Equal(t, []Record{completed}, mergeClaims([][]Record{{claimed}, {completed}}))
	require.Equal(t, Indeterminate, mergeClaims([][]Record{{claimed}, {conflicting}})[0].State)
	require.Equal(t, []Record{claimed}, mergeClaims([][]Record{{claimed}, {claimed}, {}}))
}

func TestClaimBecomesIndeterminateThenExpires(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	record := Record{Key: "k", RequestID: "one", ClaimedAt: m.now, SettleDeadline: m.now.Add(time.Minute)}
	verdict, _ := member.Claim(m.now, m.current, record)
	require.Equal(t, Accepted, verdict)
	_, current := member.Look(m.now.Add(2*time.Minute), m.current, "k")
	require.Equal(t, Indeterminate, current.State)
	verdict, _ = member.Look(m.now.Add(2*time.Minute+ClaimRetention), m.current, "k")
	require.Equal(t, Accepted, verdict, "removed after ClaimRetention")
}

func TestStoredBodiesAreBounded(t *testing.T) {
	m := newGroupMachine()
	member := m.members["a"]
	const body = 200 << 10
	for number := range 100 {
		record := Record{Key: fmt.Sprint(number), RequestID: fmt.Sprint(number), State: Completed, ClaimedAt: m.now.Add(time.Duration(number)),
			SettleDeadline: m.now, Outcome: Outcome{Body: make([]byte, body)}}
		require.True(t, member.Settle(m.now, m.current, record))
		require.LessOrEqual(t, member.bodyBytes, maxBodyBytes+body)
	}
	_, oldest := member.Look(m.now, m.current, "0")
	require.Equal(t, Completed, oldest.State, "the record stays")
	require.True(t, oldest.Outcome.Dropped)
}

func TestKeysWithoutRetainedClaimAreRejected(t *testing.T) {
	view := View{LostAt: time.Now()}
	require.NotNil(t, checkClaimHistory(view, "a key without a time"))
	require.Nil(t, checkClaimHistory(View{}, "a key without a time"))
	const createdIn2020 = "0176b7b6-5c00-7000-8000-000000000000"
	createdAt, hasTime := KeyTime(createdIn2020)
	require.True(t, hasTime)
	require.Equal(t, 2020, createdAt.UTC().Year())
	require.NotNil(t, checkClaimHistory(View{}, createdIn2020), "older than ClaimRetention")
}
