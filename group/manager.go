package group

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rendezvous"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	viewPrefix    = "/finchspoke/groups/"
	checkInterval = 500 * time.Millisecond
	callTimeout   = time.Second
	// lossMargin covers the difference of clocks when claims were lost.
	lossMargin = 5 * time.Second
	// makeDelay is the time after start in which only views asked for are made, and
	// makePerCheck how many others are made in one check after it, so that all
	// groups stand before the key-value service has its next outage.
	makeDelay    = 2 * time.Second
	makePerCheck = 4
	// makersPerCheck is about how many daemons of a region make some in one check.
	makersPerCheck = 4
	// expireInterval is how often a member forgets what has expired.
	expireInterval = time.Minute
)

// Manager changes the views of the slots that this daemon leads: the first in the
// slot's ranking of running members. Two that both think they lead are kept apart
// by compare-and-swap. It is a suture service.
type Manager struct {
	selfID  string
	store   kv.Store
	members func() *membership.View
	member  *Member
	pool    *transport.Pool
	log     logrus.FieldLogger

	mutex sync.Mutex // one change at a time
	views map[SlotKey]held

	rankedBy *membership.View // for which led was worked out
	led      []SlotKey
}

// held is a view as last seen in the key-value service.
type held struct {
	view     View
	revision int64 // of its key; zero: none made yet
	opened   bool  // its members were told to serve
}

// NewManager returns the manager of a daemon.
func NewManager(selfID string, store kv.Store, members func() *membership.View, member *Member, pool *transport.Pool, log logrus.FieldLogger) *Manager {
	return &Manager{selfID: selfID, store: store, members: members, member: member, pool: pool, log: log, views: map[SlotKey]held{}}
}

// String names the service in the supervisor's events.
func (m *Manager) String() string { return "group-manager" }

// Serve implements suture.Service.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	makeFrom := time.Now().Add(makeDelay)
	nextExpiry := time.Now().Add(expireInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			m.check(ctx, now.After(makeFrom))
			if now.After(nextExpiry) {
				nextExpiry = now.Add(expireInterval)
				m.member.Expire(now)
			}
		}
	}
}

// leads tells whether this daemon leads a slot.
func (m *Manager) leads(slot SlotKey) bool {
	owner, found := rendezvous.Owner(rankingKey(slot), m.members().RunningIn(slot.Region))
	return found && owner == m.selfID
}

// check looks after the slots led: those in memory, and those that came to this
// daemon with a change of members.
func (m *Manager) check(ctx context.Context, makeMissing bool) {
	region := m.members().Self().Region
	left := 0
	// Many daemons that start together must not ask the service all at once.
	if running := len(m.members().RunningIn(region)); makeMissing && rand.IntN(max(1, running)) < makersPerCheck {
		left = makePerCheck
	}
	for _, slot := range m.ledSlots() {
		m.mutex.Lock()
		known, read := m.views[slot]
		m.mutex.Unlock()
		missing := read && known.revision == 0
		if (missing && left == 0) || (known.opened && !needsChange(m.members(), known.view)) {
			continue
		}
		if missing {
			left--
		}
		if _, err := m.ensure(ctx, slot, missing); err != nil && ctx.Err() == nil {
			m.log.WithError(err).WithField("slot", slot.String()).Debug("group is not changed yet")
		}
	}
}

// ledSlots returns the slots that this daemon leads and forgets the views of
// others. It is worked out anew only when members change.
func (m *Manager) ledSlots() []SlotKey {
	view := m.members()
	if view == m.rankedBy {
		return m.led
	}
	m.rankedBy, m.led = view, nil
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for number := range uint32(Slots + 1) {
		slot := SlotKey{view.Self().Region, number}
		if m.leads(slot) {
			m.led = append(m.led, slot)
		} else {
			delete(m.views, slot)
		}
	}
	return m.led
}

// errNotLeader tells a gateway to ask another daemon for a view.
var errNotLeader = errors.New("this daemon does not know the slot's view")

// View returns a slot's view: made if there is none and this daemon leads the
// slot; otherwise the one it is a member of.
func (m *Manager) View(ctx context.Context, slot SlotKey) (View, error) {
	if m.leads(slot) {
		m.mutex.Lock()
		known := m.views[slot]
		m.mutex.Unlock()
		if known.opened {
			return known.view, nil
		}
		if view, err := m.ensure(ctx, slot, true); err == nil {
			return view, nil
		}
	}
	if view := m.member.View(slot); view.Epoch > 0 {
		return view, nil
	}
	return View{}, errNotLeader
}

// ensure reads a slot's view and brings it to a state in which its group serves.
func (m *Manager) ensure(ctx context.Context, slot SlotKey, create bool) (View, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pair, found, err := m.store.Get(ctx, viewPrefix+slot.String())
	if err != nil {
		return View{}, errors.Wrap(err, "read view")
	}
	if !found {
		m.views[slot] = held{}
		if !create {
			return View{}, errNotLeader
		}
		return m.install(ctx, View{Region: slot.Region, Slot: slot.Slot}, State{}, 0)
	}
	var view View
	if err := json.Unmarshal(pair.Value, &view); err != nil {
		return View{}, errors.Wrap(err, "read view")
	}
	opened := m.open(ctx, view)
	m.views[slot] = held{view: view, revision: pair.ModRevision, opened: opened >= view.writeQuorum()}
	if !needsChange(m.members(), view) && opened == len(view.Members) {
		return view, nil
	}
	return m.change(ctx, view, pair.ModRevision)
}

// change seals a view and installs its successor.
func (m *Manager) change(ctx context.Context, old View, revision int64) (View, error) {
	type sealed struct {
		state State
		held  bool
		gone  bool
	}
	answers := fanOut(old.Members, func(member ViewMember) sealed {
		result := sealed{gone: provenGone(m.members(), member)}
		answer, err := m.client(ctx, member).Seal(withTimeout(ctx), &rpc.SealRequest{View: old.wire(), Process: member.Process})
		if err != nil {
			return result
		}
		result.held, result.gone = answer.GetHeld(), result.gone || answer.GetGone()
		result.state = stateOf(answer.GetState())
		return result
	})
	heldBy, goneCount := 0, 0
	var states []State
	for _, answer := range answers {
		switch {
		case answer.held:
			heldBy++
			states = append(states, answer.state)
		case answer.gone:
			goneCount++
		}
	}
	if heldBy+goneCount < old.sealQuorum() {
		return View{}, errors.Errorf("%d of %d members answer and %d are proven gone; %d are needed",
			heldBy, len(old.Members), goneCount, old.sealQuorum())
	}
	next := old
	if heldBy < old.sealQuorum() {
		next.LostAt = time.Now().Add(lossMargin).UTC()
		m.log.WithField("slot", old.Key().String()).Error("group lost its memory: older keys are answered as unknown, and a plan is made anew from the engines")
	}
	return m.install(ctx, next, mergeStates(states), revision)
}

// install prepares the successor of a view, makes it stand by compare-and-swap,
// and opens it.
func (m *Manager) install(ctx context.Context, old View, state State, revision int64) (View, error) {
	next := old
	next.Epoch = old.Epoch + 1
	next.Writer = uuid.NewString()
	next.Members = nextMembers(m.members(), old.Key(), old.Members)
	message := state.wire()
	count := agreeing(next.Members, func(member ViewMember) bool {
		answer, err := m.client(ctx, member).Install(withTimeout(ctx), &rpc.InstallRequest{View: next.wire(), State: message})
		return err == nil && answer.GetOk()
	})
	if count < len(next.Members) || count == 0 {
		return View{}, errors.Errorf("%d of %d members could be prepared", count, len(next.Members))
	}
	value, err := json.Marshal(next)
	if err != nil {
		return View{}, errors.Wrap(err, "encode view")
	}
	key := viewPrefix + old.Key().String()
	result, err := kv.CommitResolved(ctx, m.store, kv.Txn{
		Conditions: []kv.Condition{{Key: key, ModRevision: revision}}, Puts: []kv.Put{{Key: key, Value: value}}})
	if err != nil {
		return View{}, errors.Wrap(err, "change view")
	}
	if !result.Succeeded {
		delete(m.views, old.Key())
		return View{}, errors.New("another daemon changed the view")
	}
	opened := m.open(ctx, next)
	m.views[old.Key()] = held{view: next, revision: result.Revision, opened: opened >= next.writeQuorum()}
	m.log.WithFields(logrus.Fields{"slot": old.Key().String(), "epoch": next.Epoch, "members": len(next.Members)}).Info("group changed")
	return next, nil
}

// open tells the members of the standing view to serve; it returns how many do.
func (m *Manager) open(ctx context.Context, view View) int {
	return agreeing(view.Members, func(member ViewMember) bool {
		answer, err := m.client(ctx, member).Open(withTimeout(ctx), &rpc.OpenRequest{View: view.wire()})
		return err == nil && answer.GetOk()
	})
}

func (m *Manager) client(ctx context.Context, member ViewMember) rpc.DRPCGroupsClient {
	return rpc.NewDRPCGroupsClient(m.pool.Conn(ctx, member.RPCAddress))
}

// withTimeout bounds one call; the timer ends by itself soon after.
func withTimeout(ctx context.Context) context.Context {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	context.AfterFunc(bounded, cancel)
	return bounded
}

// fanOut calls all members side by side and returns their answers in order.
func fanOut[T any](members []ViewMember, call func(ViewMember) T) []T {
	answers := make([]T, len(members))
	var open sync.WaitGroup
	for index, member := range members {
		open.Add(1)
		go func() {
			defer open.Done()
			answers[index] = call(member)
		}()
	}
	open.Wait()
	return answers
}

// agreeing calls all members side by side and counts those that agree.
func agreeing(members []ViewMember, call func(ViewMember) bool) int {
	count := 0
	for _, agrees := range fanOut(members, call) {
		if agrees {
			count++
		}
	}
	return count
}
