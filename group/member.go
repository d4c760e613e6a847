package group

import (
	"sort"
	"sync"
	"time"
)

// Verdict is a member's response to a claim or a lookup.
type Verdict uint32

// Verdicts of claims and lookups.
const (
	// Accepted means that the member stores the claim; for a lookup, that it has no record.
	Accepted Verdict = iota
	// Standing means that the member already stores a claim or an outcome of the key.
	Standing
	// WrongView means that the member is not in that view, or the view is sealed.
	WrongView
)

// maxBodyBytes bounds the compressed bodies stored by one daemon. The oldest bodies are
// dropped first; their records stay.
const maxBodyBytes = 12 << 20

// Member stores a daemon's replica of the groups that it belongs to. It does no I/O
// and receives the time as an argument. It is safe for concurrent use.
type Member struct {
	mutex     sync.Mutex
	process   uint64
	slots     map[SlotKey]*slotState
	bodyBytes int
}

// slotState is the replica of one group.
type slotState struct {
	view         View // its epoch is zero if there is none yet
	sealed       bool
	records      map[string]Record // by hashed key
	plan         PlanState
	preparedView map[string]preparedView // by writer, until one of them is opened
}

type preparedView struct {
	view  View
	state State
}

// State is the replicated state of a group: claims or a plan.
type State struct {
	Claims []Record
	Plan   PlanState
}

// NewMember returns an empty member; process identifies this run of the daemon.
func NewMember(process uint64) *Member {
	return &Member{process: process, slots: map[SlotKey]*slotState{}}
}

func (m *Member) slotState(key SlotKey) *slotState {
	slot := m.slots[key]
	if slot == nil {
		slot = &slotState{records: map[string]Record{}, preparedView: map[string]preparedView{}}
		m.slots[key] = slot
	}
	return slot
}

// serving returns the state of the view's slot and whether the member serves that view.
func (m *Member) serving(view View) (*slotState, bool) {
	slot := m.slotState(view.Key())
	return slot, slot.view.same(view) && !slot.sealed
}

// View returns the view of a slot that this member opened last; its epoch is zero if
// there is none.
func (m *Member) View(key SlotKey) View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.slotState(key).view
}

// Serving reports whether this member serves any view.
func (m *Member) Serving() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, slot := range m.slots {
		if slot.view.Epoch > 0 && !slot.sealed {
			return true
		}
	}
	return false
}

// Claim accepts a claim if the key is free or claimed by the same request. Otherwise it
// returns the existing record.
func (m *Member) Claim(now time.Time, view View, record Record) (Verdict, Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return WrongView, Record{}
	}
	existing, found := slot.lookup(now, record.Key)
	if found && (existing.RequestID != record.RequestID || existing.State != Claimed) {
		return Standing, existing
	}
	slot.records[record.Key] = record
	return Accepted, Record{}
}

// lookup returns the record of a key unless it has expired.
func (s *slotState) lookup(now time.Time, key string) (Record, bool) {
	record, found := s.records[key]
	if !found || record.expired(now) {
		return Record{}, false
	}
	return record.asOf(now), true
}

// Look returns the record of a key, if there is one.
func (m *Member) Look(now time.Time, view View, key string) (Verdict, Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return WrongView, Record{}
	}
	if existing, found := slot.lookup(now, key); found {
		return Standing, existing
	}
	return Accepted, Record{}
}

// Withdraw removes a claim whose request did not run.
func (m *Member) Withdraw(view View, key, requestID string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return false
	}
	if record, found := slot.records[key]; found && record.RequestID == requestID && record.State == Claimed {
		delete(slot.records, key)
	}
	return true
}

// Settle stores the outcome of a committed claim.
func (m *Member) Settle(now time.Time, view View, record Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot, serves := m.serving(view)
	if !serves {
		return false
	}
	existing := slot.records[record.Key]
	if existing.RequestID == record.RequestID && existing.State > record.State {
		return true
	}
	m.bodyBytes += len(record.Outcome.Body) - len(existing.Outcome.Body)
	slot.records[record.Key] = record
	m.limitBodies(now)
	return true
}

// limitBodies brings the stored bodies below maxBodyBytes: it removes expired records,
// then drops the oldest bodies, with some headroom to run rarely.
func (m *Member) limitBodies(now time.Time) {
	if m.bodyBytes <= maxBodyBytes {
		return
	}
	type storedBody struct {
		slotState *slotState
		record    Record
	}
	var candidates []storedBody
	for _, slot := range m.slots {
		for key, record := range slot.records {
			if record.expired(now) {
				m.bodyBytes -= len(record.Outcome.Body)
				delete(slot.records, key)
			} else if len(record.Outcome.Body) > 0 {
				candidates = append(candidates, storedBody{slot, record})
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].record.ClaimedAt.Before(candidates[j].record.ClaimedAt) })
	const target = maxBodyBytes * 9 / 10
	for _, oldest := range candidates {
		if m.bodyBytes <= target {
			return
		}
		m.bodyBytes -= len(oldest.record.Outcome.Body)
		oldest.record.Outcome.Body, oldest.record.Outcome.Dropped = nil, true
		oldest.slotState.records[oldest.record.Key] = oldest.record
	}
}

// Expire removes records past their retention.
func (m *Member) Expire(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, slot := range m.slots {
		for key, record := range slot.records {
			if record.expired(now) {
				m.bodyBytes -= len(record.Outcome.Body)
				delete(slot.records, key)
			}
		}
	}
}

// Seal makes the member reject a view permanently and returns its state. hasView is false
// if the member does not have that view; restarted reports that the daemon now runs as a
// later process than the given one.
func (m *Member) Seal(view View, process uint64) (state State, hasView, restarted bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if process != m.process {
		return State{}, false, process < m.process
	}
	slot := m.slotState(view.Key())
	if !slot.view.same(view) {
		return State{}, false, false
	}
	slot.sealed = true
	state.Plan = slot.plan.clone()
	for _, record := range slot.records {
		state.Claims = append(state.Claims, record)
	}
	return state, true, false
}

// Install stores the initial state of a view, which is not served until it is opened. It
// returns false if the member has already opened that epoch or a later one.
func (m *Member) Install(view View, state State) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot := m.slotState(view.Key())
	if slot.view.Epoch >= view.Epoch {
		return slot.view.same(view)
	}
	slot.preparedView[view.Writer] = preparedView{view: view, state: state}
	return true
}

// Open starts to serve a view that is committed in the key-value service. It returns
// false if the view was not installed here.
func (m *Member) Open(view View) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	slot := m.slotState(view.Key())
	if slot.view.same(view) {
		return true
	}
	prepared, found := slot.preparedView[view.Writer]
	if !found || slot.view.Epoch >= view.Epoch {
		return false
	}
	for _, record := range slot.records {
		m.bodyBytes -= len(record.Outcome.Body)
	}
	slot.records = make(map[string]Record, len(prepared.state.Claims))
	for _, record := range prepared.state.Claims {
		slot.records[record.Key] = record
		m.bodyBytes += len(record.Outcome.Body)
	}
	slot.view, slot.sealed, slot.plan = prepared.view, false, prepared.state.Plan.clone()
	slot.preparedView = map[string]preparedView{}
	return true
}
