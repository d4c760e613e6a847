package group

import (
	"sort"
	"sync"
	"time"
)

// Verdict is a member's answer to a claim or a look.
type Verdict uint32

// The verdicts.
const (
	// Accepted: the claim is held by this member (or, to a look, nothing is).
	Accepted Verdict = iota
	// Standing: another claim of the key, or an outcome, is held.
	Standing
	// WrongView: the member is not in that view, or the view is sealed.
	WrongView
)

// memoryLimit bounds the bodies held by one daemon; the oldest are dropped first
// and their records kept.
const memoryLimit = 12 << 20

// Member is the pure core of a daemon's part in groups: time is an argument, and
// nothing is sent. It is safe for concurrent use.
type Member struct {
	mutex   sync.Mutex
	process uint64
	slots   map[SlotKey]*slot
	bytes   int
}

// slot is a group's state at this member.
type slot struct {
	view      View // zero epoch: none yet
	sealed    bool
	records   map[string]Record // claims, by key
	plan      PlanState
	installed map[string]installed // by writer, until one is opened
}

type installed struct {
	view  View
	state State
}

// State is all that a member holds in a group: claims, or a plan.
type State struct {
	Claims []Record
	Plan   PlanState
}

// NewMember returns a member that holds nothing yet.
func NewMember(process uint64) *Member {
	return &Member{process: process, slots: map[SlotKey]*slot{}}
}

func (m *Member) slot(key SlotKey) *slot {
	held := m.slots[key]
	if held == nil {
		held = &slot{records: map[string]Record{}, installed: map[string]installed{}}
		m.slots[key] = held
	}
	return held
}

// serving returns the slot if it serves the view.
func (m *Member) serving(view View) (*slot, bool) {
	held := m.slot(view.Key())
	return held, held.view.same(view) && !held.sealed
}

// View returns the view this member is in; its epoch is zero if none.
func (m *Member) View(key SlotKey) View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.slot(key).view
}

// Serving tells whether this member still serves any view.
func (m *Member) Serving() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, held := range m.slots {
		if held.view.Epoch > 0 && !held.sealed {
			return true
		}
	}
	return false
}

// Claim accepts the claim of a key that is free, or already claimed by the same
// request, and otherwise returns what stands.
func (m *Member) Claim(now time.Time, view View, record Record) (Verdict, Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return WrongView, Record{}
	}
	standing, found := held.find(now, record.Key)
	if found && (standing.RequestID != record.RequestID || standing.State != Claimed) {
		return Standing, standing
	}
	held.records[record.Key] = record
	return Accepted, Record{}
}

// find returns a record that has not expired.
func (s *slot) find(now time.Time, key string) (Record, bool) {
	record, found := s.records[key]
	if !found || record.expired(now) {
		return Record{}, false
	}
	return record.settled(now), true
}

// Look returns what stands for a key.
func (m *Member) Look(now time.Time, view View, key string) (Verdict, Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return WrongView, Record{}
	}
	if standing, found := held.find(now, key); found {
		return Standing, standing
	}
	return Accepted, Record{}
}

// Withdraw forgets a claim that its request gave up before it ran.
func (m *Member) Withdraw(view View, key, requestID string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return false
	}
	if record, found := held.records[key]; found && record.RequestID == requestID && record.State == Claimed {
		delete(held.records, key)
	}
	return true
}

// Settle stores the outcome of a claim that counted.
func (m *Member) Settle(now time.Time, view View, record Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, serves := m.serving(view)
	if !serves {
		return false
	}
	standing := held.records[record.Key]
	if standing.RequestID == record.RequestID && standing.State > record.State {
		return true
	}
	m.bytes += len(record.Outcome.Body) - len(standing.Outcome.Body)
	held.records[record.Key] = record
	m.shrink(now)
	return true
}

// shrink forgets what has expired, and drops the oldest bodies beyond the limit.
func (m *Member) shrink(now time.Time) {
	if m.bytes <= memoryLimit {
		return
	}
	type aged struct {
		slot   *slot
		record Record
	}
	var all []aged
	for _, held := range m.slots {
		for key, record := range held.records {
			if record.expired(now) {
				m.bytes -= len(record.Outcome.Body)
				delete(held.records, key)
			} else if len(record.Outcome.Body) > 0 {
				all = append(all, aged{held, record})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].record.ClaimedAt.Before(all[j].record.ClaimedAt) })
	const target = memoryLimit * 9 / 10
	for _, one := range all {
		if m.bytes <= target {
			return
		}
		m.bytes -= len(one.record.Outcome.Body)
		one.record.Outcome.Body, one.record.Outcome.Dropped = nil, true
		one.slot.records[one.record.Key] = one.record
	}
}

// Expire forgets what is kept no longer.
func (m *Member) Expire(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, held := range m.slots {
		for key, record := range held.records {
			if record.expired(now) {
				m.bytes -= len(record.Outcome.Body)
				delete(held.records, key)
			}
		}
	}
}

// Seal makes the member refuse a view for ever and returns all it held in it.
// gone says that the process asked for is not this one.
func (m *Member) Seal(view View, process uint64) (state State, heldIt, gone bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if process != m.process {
		return State{}, false, process < m.process
	}
	held := m.slot(view.Key())
	if !held.view.same(view) {
		return State{}, false, false
	}
	held.sealed = true
	state.Plan = held.plan.clone()
	for _, record := range held.records {
		state.Claims = append(state.Claims, record)
	}
	return state, true, false
}

// Install prepares a view with what its predecessor held. It does not serve until
// it is opened. False means that the member is past that epoch.
func (m *Member) Install(view View, state State) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := m.slot(view.Key())
	if held.view.Epoch >= view.Epoch {
		return held.view.same(view)
	}
	held.installed[view.Writer] = installed{view: view, state: state}
	return true
}

// Open makes a view serve that the key-value service holds now. False means that
// the member was not prepared for it.
func (m *Member) Open(view View) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := m.slot(view.Key())
	if held.view.same(view) {
		return true
	}
	prepared, found := held.installed[view.Writer]
	if !found || held.view.Epoch >= view.Epoch {
		return false
	}
	for _, record := range held.records {
		m.bytes -= len(record.Outcome.Body)
	}
	held.records = make(map[string]Record, len(prepared.state.Claims))
	for _, record := range prepared.state.Claims {
		held.records[record.Key] = record
		m.bytes += len(record.Outcome.Body)
	}
	held.view, held.sealed, held.plan = prepared.view, false, prepared.state.Plan.clone()
	held.installed = map[string]installed{}
	return true
}
