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
	// lossClockMargin covers clock differences when the time of a loss is recorded.
	lossClockMargin = 5 * time.Second
	// createDelay is the time after start in which views are created on request only.
	// Afterwards each check creates up to maxCreatesPerCheck missing views, so that
	// all groups exist before an outage of the key-value service.
	createDelay        = 2 * time.Second
	maxCreatesPerCheck = 4
	// creatorsPerCheck is the expected number of daemons of a region that create views in one check.
	creatorsPerCheck = 4
	expireInterval   = time.Minute
)

// Manager creates and changes the views of the slots that this daemon leads: those
// for which it ranks first among the running members. Compare-and-swap in the
// key-value service resolves conflicts between daemons that both claim to lead.
// It is a suture service.
type Manager struct {
	selfID  string
	store   kv.Store
	members func() *membership.View
	member  *Member
	pool    *transport.Pool
	log     logrus.FieldLogger

	mutex sync.Mutex // guards views and serializes view changes
	views map[SlotKey]storedView

	ledIn *membership.View // the membership view that led was computed from
	led   []SlotKey
}

// storedView is a view as last read from the key-value service.
type storedView struct {
	view     View
	revision int64 // of its key; zero if no view exists yet
	opened   bool  // a write quorum of its members serves it
}

// NewManager returns the manager of the daemon with id selfID; member is its own part
// in groups.
func NewManager(selfID string, store kv.Store, members func() *membership.View, member *Member, pool *transport.Pool, log logrus.FieldLogger) *Manager {
	return &Manager{selfID: selfID, store: store, members: members, member: member, pool: pool, log: log, views: map[SlotKey]storedView{}}
}

// String names the service in the supervisor's events.
func (m *Manager) String() string { return "group-manager" }

// Serve implements suture.Service.
func (m *Manager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	createFrom := time.Now().Add(createDelay)
	nextExpiry := time.Now().Add(expireInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			m.check(ctx, now.After(createFrom))
			if now.After(nextExpiry) {
				nextExpiry = now.Add(expireInterval)
				m.member.Expire(now)
			}
		}
	}
}

// leads reports whether this daemon ranks first for a slot.
func (m *Manager) leads(slot SlotKey) bool {
	owner, found := rendezvous.Owner(rankingKey(slot), m.members().RunningIn(slot.Region))
	return found && owner == m.selfID
}

// check repairs the views of all slots that this daemon leads and creates missing
// ones if createMissing is set.
func (m *Manager) check(ctx context.Context, createMissing bool) {
	region := m.members().Self().Region
	createsLeft := 0
	// Randomization spreads the load when many daemons start together.
	if running := len(m.members().RunningIn(region)); createMissing && rand.IntN(max(1, running)) < creatorsPerCheck {
		createsLeft = maxCreatesPerCheck
	}
	for _, slot := range m.ledSlots() {
		m.mutex.Lock()
		stored, found := m.views[slot]
		m.mutex.Unlock()
		missing := found && stored.revision == 0
		if (missing && createsLeft == 0) || (stored.opened && !needsChange(m.members(), stored.view)) {
			continue
		}
		if missing {
			createsLeft--
		}
		if _, err := m.ensureView(ctx, slot, missing); err != nil && ctx.Err() == nil {
			m.log.WithError(err).WithField("slot", slot.String()).Debug("group view change failed; retrying")
		}
	}
}

// ledSlots returns the slots that this daemon leads and drops the cached views of
// all others. The result is recomputed only when the members change.
func (m *Manager) ledSlots() []SlotKey {
	view := m.members()
	if view == m.ledIn {
		return m.led
	}
	m.ledIn, m.led = view, nil
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

// errViewUnknown makes a gateway query another daemon for the view.
var errViewUnknown = errors.New("this daemon has no view of the slot")

// View returns a slot's view. The leader of the slot creates a missing view; any
// other daemon returns the view that it is a member of.
func (m *Manager) View(ctx context.Context, slot SlotKey) (View, error) {
	if m.leads(slot) {
		m.mutex.Lock()
		stored := m.views[slot]
		m.mutex.Unlock()
		if stored.opened {
			return stored.view, nil
		}
		if view, err := m.ensureView(ctx, slot, true); err == nil {
			return view, nil
		}
	}
	if view := m.member.View(slot); view.Epoch > 0 {
		return view, nil
	}
	return View{}, errViewUnknown
}

// ensureView reads a slot's view, opens it and replaces it if members are missing.
func (m *Manager) ensureView(ctx context.Context, slot SlotKey, create bool) (View, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pair, found, err := m.store.Get(ctx, viewPrefix+slot.String())
	if err != nil {
		return View{}, errors.Wrap(err, "read view")
	}
	if !found {
		m.views[slot] = storedView{}
		if !create {
			return View{}, errViewUnknown
		}
		return m.installView(ctx, View{Region: slot.Region, Slot: slot.Slot}, State{}, 0)
	}
	var view View
	if err := json.Unmarshal(pair.Value, &view); err != nil {
		return View{}, errors.Wrap(err, "read view")
	}
	opened := m.openView(ctx, view)
	m.views[slot] = storedView{view: view, revision: pair.ModRevision, opened: opened >= view.writeQuorum()}
	if !needsChange(m.members(), view) && opened == len(view.Members) {
		return view, nil
	}
	return m.replaceView(ctx, view, pair.ModRevision)
}

// replaceView seals a view and installs its successor.
func (m *Manager) replaceView(ctx context.Context, old View, revision int64) (View, error) {
	type sealResult struct {
		state     State
		hasView   bool
		restarted bool
	}
	results := fanOut(old.Members, func(member ViewMember) sealResult {
		result := sealResult{restarted: isReplaced(m.members(), member)}
		response, err := m.memberClient(ctx, member).Seal(withCallTimeout(ctx), &rpc.SealRequest{View: old.wire(), Process: member.Process})
		if err != nil {
			return result
		}
		result.hasView, result.restarted = response.GetHeld(), result.restarted || response.GetGone()
		result.state = stateFromWire(response.GetState())
		return result
	})
	sealedCount, restartedCount := 0, 0
	var states []State
	for _, response := range results {
		switch {
		case response.hasView:
			sealedCount++
			states = append(states, response.state)
		case response.restarted:
			restartedCount++
		}
	}
	if sealedCount+restartedCount < old.sealQuorum() {
		return View{}, errors.Errorf("%d of %d members sealed and %d restarted; %d are needed",
			sealedCount, len(old.Members), restartedCount, old.sealQuorum())
	}
	next := old
	if sealedCount < old.sealQuorum() {
		next.LostAt = time.Now().Add(lossClockMargin).UTC()
		m.log.WithField("slot", old.Key().String()).Error("group lost its state: outcomes of earlier keys are unknown, and a lost plan is rebuilt from the engines")
	}
	return m.installView(ctx, next, mergeStates(states), revision)
}

// installView prepares the members of a view's successor, commits the successor by
// compare-and-swap and opens it.
func (m *Manager) installView(ctx context.Context, old View, state State, revision int64) (View, error) {
	next := old
	next.Epoch = old.Epoch + 1
	next.Writer = uuid.NewString()
	next.Members = nextMembers(m.members(), old.Key(), old.Members)
	message := state.wire()
	count := countAgreeing(next.Members, func(member ViewMember) bool {
		response, err := m.memberClient(ctx, member).Install(withCallTimeout(ctx), &rpc.InstallRequest{View: next.wire(), State: message})
		return err == nil && response.GetOk()
	})
	if count < len(next.Members) || count == 0 {
		return View{}, errors.Errorf("%d of %d members were prepared", count, len(next.Members))
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
	opened := m.openView(ctx, next)
	m.views[old.Key()] = storedView{view: next, revision: result.Revision, opened: opened >= next.writeQuorum()}
	m.log.WithFields(logrus.Fields{"slot": old.Key().String(), "epoch": next.Epoch, "members": len(next.Members)}).Info("group view changed")
	return next, nil
}

// openView requests all members of a committed view to serve it and returns how many do.
func (m *Manager) openView(ctx context.Context, view View) int {
	return countAgreeing(view.Members, func(member ViewMember) bool {
		response, err := m.memberClient(ctx, member).Open(withCallTimeout(ctx), &rpc.OpenRequest{View: view.wire()})
		return err == nil && response.GetOk()
	})
}

func (m *Manager) memberClient(ctx context.Context, member ViewMember) rpc.DRPCGroupsClient {
	return rpc.NewDRPCGroupsClient(m.pool.Conn(ctx, member.RPCAddress))
}

// withCallTimeout returns a context that ends after callTimeout and then frees its timer.
func withCallTimeout(ctx context.Context) context.Context {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	context.AfterFunc(bounded, cancel)
	return bounded
}

// fanOut calls all members concurrently and returns the results in the order of members.
func fanOut[T any](members []ViewMember, call func(ViewMember) T) []T {
	results := make([]T, len(members))
	var pending sync.WaitGroup
	for index, member := range members {
		pending.Add(1)
		go func() {
			defer pending.Done()
			results[index] = call(member)
		}()
	}
	pending.Wait()
	return results
}

// countAgreeing calls all members concurrently and counts the results that are true.
func countAgreeing(members []ViewMember, call func(ViewMember) bool) int {
	count := 0
	for _, agreed := range fanOut(members, call) {
		if agreed {
			count++
		}
	}
	return count
}
